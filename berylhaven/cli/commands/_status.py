"""The command ``status``."""

from berylhaven.cli._operators_client import fetch_status
from berylhaven.cli._output import print_json
from berylhaven.cli._registry import register_command
from berylhaven.cli._status_text import status_text


@register_command("status")
def status(*, entry: str, json: bool = False) -> None:
    """Print peers, backend servers, load and its age, limits and leases.

    Parameters
    ----------
    entry : str
        HOST:PORT of the operators' port of any entry instance.
    json : bool
        Print JSON.
    """
    document = fetch_status(entry)
    if json:
        print_json(document)
    else:
        print(status_text(document))
