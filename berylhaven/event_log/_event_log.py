"""Structured log lines on standard output; rate-limited, and never blocking."""

import time

import eventlet.patcher

from berylhaven.clock import monotonic_s

# Eventlet's patched modules would wait in the hub; the originals don't.
select = eventlet.patcher.original("select")
unpatched_os = eventlet.patcher.original("os")
STANDARD_OUTPUT = 1
# A pipe that is ready for writing accepts this many bytes without blocking (POSIX).
LINE_LIMIT_BYTES = 4_096
WINDOW_S = 1.0
# The maximum number of lines per second. Lines about failures have a limit of their
# own, since they are rarer and more informative than those about normal operation.
LINE_LIMIT_PER_S = 200
FAILURE_LINE_LIMIT_PER_S = 100
QUOTED_CHARACTERS = frozenset(' "=\n\r\t')


class EventLog:
    """The structured log of one process.

    Parameters
    ----------
    descriptor : int
        The file descriptor to which lines are written.
    lines_per_s : int
        The maximum number of lines about normal operation per second.
    failure_lines_per_s : int
        The maximum number of lines about failures per second; further ones count as
        lines about normal operation.
    """

    __slots__ = (
        "_descriptor",
        "_poll",
        "_lines_per_s",
        "_failure_lines_per_s",
        "_window_started_at_s",
        "_written_count",
        "_written_failure_count",
        "_is_closed",
        "dropped_count",
    )

    def __init__(
        self,
        descriptor: int = STANDARD_OUTPUT,
        lines_per_s: int = LINE_LIMIT_PER_S,
        failure_lines_per_s: int = FAILURE_LINE_LIMIT_PER_S,
    ) -> None:
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._lines_per_s = lines_per_s
        self._failure_lines_per_s = failure_lines_per_s
        self._window_started_at_s = monotonic_s()
        self._written_count = 0
        self._written_failure_count = 0
        self._is_closed = False
        # The number of lines dropped since the start.
        self.dropped_count = 0

    def write(self, component: str, event: str, **fields: object) -> None:
        """Write a line about normal operation, or count it as dropped.

        Parameters
        ----------
        component : str
            The component that writes the line, used as its prefix.
        event : str
            What happened, in a few words.
        **fields : object
            Inputs, their age or version, and the outcome.
        """
        if self._try_acquire_line():
            self._write(component, event, fields)

    def write_failure(self, component: str, event: str, **fields: object) -> None:
        """Write a line about a failure, with a rate limit of its own.

        Parameters
        ----------
        component : str
            The component that writes the line, used as its prefix.
        event : str
            What happened, in a few words.
        **fields : object
            Inputs, their age or version, and the outcome.
        """
        if self._try_acquire_failure_line():
            self._write(component, event, fields)

    def close(self) -> None:
        """Drop all further lines: the descriptor may soon be that of a connection."""
        self._is_closed = True

    def _try_acquire_line(self) -> bool:
        self._advance_window()
        if self._written_count >= self._lines_per_s:
            self.dropped_count += 1
            return False
        self._written_count += 1
        return True

    def _try_acquire_failure_line(self) -> bool:
        self._advance_window()
        if self._written_failure_count >= self._failure_lines_per_s:
            return self._try_acquire_line()
        self._written_failure_count += 1
        return True

    def _advance_window(self) -> None:
        now_s = monotonic_s()
        if now_s - self._window_started_at_s >= WINDOW_S:
            self._window_started_at_s = now_s
            self._written_count = self._written_failure_count = 0

    def _write(self, component: str, event: str, fields: dict[str, object]) -> None:
        if self._is_closed:
            self.dropped_count += 1
            return
        line = format_line(component, event, fields)
        try:
            ready = self._poll.poll(0)
            if not ready or not ready[0][1] & select.POLLOUT:
                self.dropped_count += 1
                return
            unpatched_os.write(self._descriptor, line)
        except OSError:
            # The log itself failed, so the failure can only be counted.
            self.dropped_count += 1


def format_line(component: str, event: str, fields: dict[str, object]) -> bytes:
    """Return a line of key=value pairs, truncated to `LINE_LIMIT_BYTES`.

    Parameters
    ----------
    component : str
        The component that writes the line, used as its prefix.
    event : str
        What happened.
    fields : dict
        Values by name; fields with the value None are omitted.

    Returns
    -------
    bytes
        The line with its line break.
    """
    pairs = [f"{component}: at={time.time():.3f} event={_quote(event)}"]
    pairs += [
        f"{name}={_quote(value)}" for name, value in fields.items() if value is not None
    ]
    # Text of others may have halves of surrogate pairs, which UTF-8 does not have.
    line = " ".join(pairs).encode(errors="backslashreplace")
    return line[: LINE_LIMIT_BYTES - 1] + b"\n"


def _quote(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    text = str(value)
    if not text or QUOTED_CHARACTERS.intersection(text):
        escaped = text.replace("\\", "\\\\").replace('"', '\\"')
        return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'
    return text
