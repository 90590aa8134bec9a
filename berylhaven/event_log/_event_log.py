"""Structured lines on standard output, bounded and never waiting for a reader."""

import time

import eventlet.patcher

from berylhaven.clock import monotonic_s

# The patched modules wait in the hub; these never do.
select = eventlet.patcher.original("select")
plain_os = eventlet.patcher.original("os")
STANDARD_OUTPUT = 1
# A pipe that is ready for writing takes this many bytes without blocking (POSIX).
LINE_LIMIT_BYTES = 4_096
WINDOW_S = 1.0
# Lines for a second; a share of them is kept for failures, which are rarer and tell
# more than the ordinary run.
LINES_PER_S = 200
FAILURE_LINES_PER_S = 100
NEEDS_QUOTES = frozenset(' "=\n\r\t')


class EventLog:
    """The structured log of one process.

    Parameters
    ----------
    descriptor : int
        Where lines are written.
    lines_per_s : int
        The most lines about the ordinary run in a second.
    failure_lines_per_s : int
        The most lines about failures in a second, besides the others.
    """

    __slots__ = (
        "_descriptor",
        "_poll",
        "_lines_per_s",
        "_failure_lines_per_s",
        "_window_started_at_s",
        "_written",
        "_failures_written",
        "dropped_count",
    )

    def __init__(
        self,
        descriptor: int = STANDARD_OUTPUT,
        lines_per_s: int = LINES_PER_S,
        failure_lines_per_s: int = FAILURE_LINES_PER_S,
    ) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._lines_per_s = lines_per_s
        self._failure_lines_per_s = failure_lines_per_s
        self._window_started_at_s = monotonic_s()
        self._written = 0
        self._failures_written = 0
        # Lines that were not written since the start.
        self.dropped_count = 0

    def write(self, part: str, event: str, **fields: object) -> None:
        """Write a line about the ordinary run, or count it as dropped.

        Parameters
        ----------
        part : str
            The part of the program that speaks.
        event : str
            What happened, in a few words.
        **fields : object
            Inputs, their age or version, and the outcome.
        """
        if self._takes_line():
            self._write(part, event, fields)

    def write_failure(self, part: str, event: str, **fields: object) -> None:
        """Write a line about a failure, for which room is kept.

        Parameters
        ----------
        part : str
            The part of the program that speaks.
        event : str
            What happened, in a few words.
        **fields : object
            Inputs, their age or version, and the outcome.
        """
        if self._takes_failure_line():
            self._write(part, event, fields)

    def _takes_line(self) -> bool:
        self._turn_window()
        if self._written >= self._lines_per_s:
            self.dropped_count += 1
            return False
        self._written += 1
        return True

    def _takes_failure_line(self) -> bool:
        self._turn_window()
        if self._failures_written >= self._failure_lines_per_s:
            return self._takes_line()
        self._failures_written += 1
        return True

    def _turn_window(self) -> None:
        now_s = monotonic_s()
        if now_s - self._window_started_at_s >= WINDOW_S:
            self._window_started_at_s = now_s
            self._written = self._failures_written = 0

    def _write(self, part: str, event: str, fields: dict[str, object]) -> None:
        line = format_line(part, event, fields)
        try:
            ready = self._poll.poll(0)
            if not ready or not ready[0][1] & select.POLLOUT:
                self.dropped_count += 1
                return
            plain_os.write(self._descriptor, line)
        except OSError:
            # Nobody can be told that the log itself is gone but the counter.
            self.dropped_count += 1


def format_line(part: str, event: str, fields: dict[str, object]) -> bytes:
    """Return a line of key=value pairs, cut to what a pipe takes at once.

    Parameters
    ----------
    part : str
        The fixed prefix.
    event : str
        What happened.
    fields : dict
        Values by name; None is left out.

    Returns
    -------
    bytes
        The line with its end.
    """
    words = [f"{part}: at={time.time():.3f} event={_quoted(event)}"]
    words += [
        f"{name}={_quoted(value)}"
        for name, value in fields.items()
        if value is not None
    ]
    line = " ".join(words).encode()
    return line[: LINE_LIMIT_BYTES - 1] + b"\n"


def _quoted(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    text = str(value)
    if not text or NEEDS_QUOTES.intersection(text):
        escaped = text.replace("\\", "\\\\").replace('"', '\\"')
        return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'
    return text
