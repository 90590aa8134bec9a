"""The command ``settings check``."""

from berylhaven.cli._errors import CommandFailed
from berylhaven.cli._registry import register_command
from berylhaven.settings import SettingsRefused, load_settings


@register_command("settings", "check")
def settings_check(path: str) -> None:
    """Check a settings file and print every fault.

    Parameters
    ----------
    path : str
        The path of the settings file.
    """
    try:
        load_settings(path)
    except SettingsRefused as refused:
        raise CommandFailed("\n".join(map(str, refused.exceptions))) from None
    print(f"{path}: good")
