"""The command ``entry run``."""

import signal

from berylhaven.cli._documents import load_checked_settings
from berylhaven.cli._registry import register_command
from berylhaven.entry import EntryInstance
from berylhaven.operations import set_up_logging
from berylhaven.results import CannotListen


@register_command("entry", "run")
def entry_run(*, settings: str) -> None:
    """Run an entry instance until it is stopped.

    SIGTERM stops it gracefully. Log lines are written to standard error.

    Parameters
    ----------
    settings : str
        The path of the settings file.
    """
    checked_settings = load_checked_settings(settings)
    set_up_logging(checked_settings.log)
    instance = EntryInstance(checked_settings)
    try:
        instance.start()
    except OSError as error:
        instance.stop()
        config = checked_settings.instance
        ports = f"{config.callers_port}, {config.peers_port}, {config.operators_port}"
        message = f"{config.host}, ports {ports}: {error.strerror}"
        raise CannotListen(message) from None
    # The handler only sets a flag; the drain itself runs in green threads.
    signal.signal(signal.SIGTERM, lambda number, frame: instance.leave())
    instance.wait()
