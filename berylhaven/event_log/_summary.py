"""Counting how requests ended, from the logs of many instances."""

import collections
import re
from collections.abc import Iterable
from dataclasses import dataclass, field

REQUEST_LINE = re.compile(
    r"\brequest: at=(?P<at_s>[0-9.]+) event=(?P<event>answered|refused) "
)
STATUS = re.compile(r"\bstatus=(?P<status>[0-9]{3})\b")
REASON = re.compile(r'\breason=(?:"(?P<quoted>(?:[^"\\]|\\.)*)"|(?P<plain>\S+))')
DURATION = re.compile(r"\bduration_s=(?P<duration_s>[0-9.e-]+)")
# Ids, addresses and numbers differ from request to request; what is left is the cause.
PARTICULARS = re.compile(r"\\?\"[^\"\\]*\\?\"|\b[\w.-]*[0-9][\w.:-]*")
ANSWERED = "answered by a server"


@dataclass(slots=True, frozen=True)
class OutcomeCause:
    """One way in which requests ended."""

    # The HTTP status.
    status: int
    # Why, without the particulars of single requests.
    cause: str


@dataclass(slots=True)
class OutcomeCounts:
    """Requests that ended in one way."""

    # How many.
    count: int = 0
    # How long they took together, in seconds.
    duration_s: float = 0.0
    # Counts by whole second of the Unix time.
    by_second: collections.Counter = field(default_factory=collections.Counter)

    @property
    def mean_s(self) -> float:
        """Return their mean duration in seconds."""
        return self.duration_s / self.count if self.count else 0.0


def summarize(lines: Iterable[str]) -> dict[OutcomeCause, OutcomeCounts]:
    """Count the final answers of requests by status and cause.

    Parameters
    ----------
    lines : iterable of str
        Logs of one or more instances, in any order.

    Returns
    -------
    dict
        Counts by status and cause, the most frequent first.
    """
    found: dict[OutcomeCause, OutcomeCounts] = {}
    for line in lines:
        match = REQUEST_LINE.search(line)
        status = STATUS.search(line)
        if match is None or status is None:
            continue
        cause = ANSWERED if match["event"] == "answered" else _cause(line)
        key = OutcomeCause(int(status["status"]), cause)
        counts = found.setdefault(key, OutcomeCounts())
        counts.count += 1
        counts.by_second[int(float(match["at_s"]))] += 1
        duration = DURATION.search(line)
        if duration is not None:
            counts.duration_s += float(duration["duration_s"])
    return dict(sorted(found.items(), key=lambda item: -item[1].count))


def _cause(line: str) -> str:
    match = REASON.search(line)
    if match is None:
        return "no reason given"
    reason = match["quoted"] or match["plain"] or ""
    return " ".join(PARTICULARS.sub("...", reason).split())
