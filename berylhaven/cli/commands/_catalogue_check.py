"""The command ``catalogue check``."""

from pathlib import Path

from berylhaven.catalogue import CatalogueRefused, read_catalogue
from berylhaven.cli._errors import CommandFailed
from berylhaven.cli._registry import register_command


@register_command("catalogue", "check")
def catalogue_check(path: str) -> None:
    """Check a catalogue file and print every fault.

    Parameters
    ----------
    path : str
        The path of the catalogue's INI text.
    """
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise CommandFailed(str(error)) from None
    try:
        catalogue = read_catalogue(raw)
    except CatalogueRefused as refused:
        raise CommandFailed("\n".join(map(str, refused.exceptions))) from None
    print(f"{path}: good, digest {catalogue.digest}")
