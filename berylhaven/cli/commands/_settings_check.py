"""The command ``settings check``."""

from berylhaven.cli._documents import load_checked_settings
from berylhaven.cli._output import print_json
from berylhaven.cli._registry import register_command


@register_command("settings", "check")
def settings_check(path: str, *, json: bool = False) -> None:
    """Check a settings file and print every problem.

    Parameters
    ----------
    path : str
        The path of the settings file.
    json : bool
        Print JSON.
    """
    load_checked_settings(path)
    if json:
        print_json({"path": path, "problems": []})
    else:
        print(f"{path}: good")
