"""The command ``catalogue status``."""

from berylhaven.cli._catalogue_view import parse_catalogue_view
from berylhaven.cli._operators_client import fetch_status
from berylhaven.cli._output import print_json, table
from berylhaven.cli._registry import register_command
from berylhaven.results import DigestsDiffer

HEADERS = ("instance", "data_centre", "state", "revision", "digest", "heard_s_ago")


@register_command("catalogue", "status")
def catalogue_status(*, entry: str, json: bool = False) -> None:
    """Print which catalogue is active at each known entry instance.

    Parameters
    ----------
    entry : str
        HOST:PORT of the operators' port of any entry instance.
    json : bool
        Print JSON.
    """
    view = parse_catalogue_view(fetch_status(entry))
    if json:
        print_json(view.to_json())
    else:
        print(table(HEADERS, [row.cells() for row in view.rows]))
        print(view.summary())
    conflicts = view.conflicting_revisions()
    if conflicts and not json:
        revisions = ", ".join(map(str, conflicts))
        raise DigestsDiffer(f"more than one digest for revision {revisions}")
