"""The command ``entry run``."""

from berylhaven.cli._errors import CommandFailed
from berylhaven.cli._registry import register_command
from berylhaven.entry import EntryInstance
from berylhaven.operations import set_up_logging
from berylhaven.settings import SettingsRefused, load_settings


@register_command("entry", "run")
def entry_run(settings: str) -> None:
    """Run an entry instance until it is told to stop.

    Parameters
    ----------
    settings : str
        The path of the settings file.
    """
    try:
        checked = load_settings(settings)
    except SettingsRefused as refused:
        raise CommandFailed("\n".join(map(str, refused.exceptions))) from None
    set_up_logging(checked.log)
    instance = EntryInstance(checked)
    instance.start()
    instance.wait()
