"""The command ``version``."""

from berylhaven import VERSION
from berylhaven.cli._registry import register_command


@register_command("version")
def version() -> None:
    """Print the program's version."""
    print(f"berylhaven {VERSION}")
