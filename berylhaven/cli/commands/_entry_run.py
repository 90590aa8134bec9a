"""The command ``entry run``."""

import signal

from berylhaven.cli._documents import load_checked_settings
from berylhaven.cli._registry import register_command
from berylhaven.entry import EntryInstance
from berylhaven.operations import set_up_logging
from berylhaven.results import CannotListen


@register_command("entry", "run")
def entry_run(*, settings: str) -> None:
    """Run an entry instance until it is told to stop.

    SIGTERM stops it gracefully. The log goes to standard error, one line each.

    Parameters
    ----------
    settings : str
        The path of the settings file.
    """
    checked = load_checked_settings(settings)
    set_up_logging(checked.log)
    instance = EntryInstance(checked)
    try:
        instance.start()
    except OSError as error:
        instance.stop()
        own = checked.instance
        ports = f"{own.callers_port}, {own.peers_port}, {own.operators_port}"
        message = f"{own.host}, ports {ports}: {error.strerror}"
        raise CannotListen(message) from None
    # The handler only sets a flag; what follows runs in green threads.
    signal.signal(signal.SIGTERM, lambda number, frame: instance.leave())
    instance.wait()
