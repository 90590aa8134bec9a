"""The command ``gateway check``."""

from berylhaven.cli._documents import load_checked_gateway_settings
from berylhaven.cli._output import print_json
from berylhaven.cli._registry import register_command


@register_command("gateway", "check")
def gateway_check(path: str, *, json: bool = False) -> None:
    """Check a gateway's settings file and print every problem.

    Parameters
    ----------
    path : str
        The path of the settings file, as the platform's template renders it.
    json : bool
        Print JSON.
    """
    load_checked_gateway_settings(path)
    if json:
        print_json({"path": path, "problems": []})
    else:
        print(f"{path}: good")
