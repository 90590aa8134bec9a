"""The command ``version``."""

import platform

from berylhaven import VERSION
from berylhaven.cli._build import build_name
from berylhaven.cli._output import print_json
from berylhaven.cli._registry import register_command


@register_command("version")
def version(*, json: bool = False) -> None:
    """Print the version and build of the program.

    Parameters
    ----------
    json : bool
        Print JSON.
    """
    build = build_name()
    python = platform.python_version()
    if json:
        print_json({"version": VERSION, "build": build, "python": python})
    else:
        print(f"berylhaven {VERSION}, build {build}, Python {python}")
