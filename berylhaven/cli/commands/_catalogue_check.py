"""The command ``catalogue check``."""

from berylhaven.cli._documents import load_catalogue
from berylhaven.cli._output import print_json
from berylhaven.cli._registry import register_command


@register_command("catalogue", "check")
def catalogue_check(path: str, *, json: bool = False) -> None:
    """Check a catalogue file and print every problem.

    Parameters
    ----------
    path : str
        The path of the catalogue file (INI).
    json : bool
        Print JSON.
    """
    catalogue = load_catalogue(path)
    if json:
        services = sorted(catalogue.services)
        print_json({"path": path, "digest": catalogue.digest, "services": services})
    else:
        print(f"{path}: good, digest {catalogue.digest}")
