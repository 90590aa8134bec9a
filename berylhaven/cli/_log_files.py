"""Reading of the log files that are passed to a command."""

import contextlib
import sys
from collections.abc import Iterable

from berylhaven.results import BadUsage

STANDARD_INPUT = "-"


def log_lines(logs: str) -> Iterable[str]:
    """Yield the lines of log files or of standard input.

    Parameters
    ----------
    logs : str
        Paths separated by commas; `-` is standard input.

    Returns
    -------
    iterable of str
        The lines, one file after the other.

    Raises
    ------
    BadUsage
        If a file cannot be opened.
    """
    if logs == STANDARD_INPUT:
        yield from sys.stdin
        return
    for path in logs.split(","):
        with contextlib.ExitStack() as stack:
            try:
                file = stack.enter_context(open(path, errors="replace"))
            except OSError as error:
                raise BadUsage(f"{path}: {error.strerror}") from None
            yield from file
