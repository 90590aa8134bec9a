"""Counts of request outcomes from the logs of many instances."""

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
# Ids, addresses and numbers differ between requests; they are removed from the reason,
# so that requests with the same cause are counted together.
# Each run of characters is tried from its start only, so that the time is proportional
# to the length.
VARIABLE_TEXT = re.compile(
    r"\\?\"[^\"\\]*\\?\""
    r"|(?<![\w.-])(?P<marks>[.-]*+)(?:[^\W0-9]|[.-])*+[0-9][\w.:-]*"
)
ANSWERED = "answered by a server"


@dataclass(slots=True, frozen=True)
class OutcomeCause:
    """Status and cause of an outcome."""

    # The HTTP status.
    status: int
    # The reason without the ids, addresses and numbers of single requests.
    cause: str


@dataclass(slots=True)
class OutcomeCounts:
    """Counts of the requests with the same outcome."""

    # The number of requests.
    count: int = 0
    # The sum of their durations, in seconds.
    duration_s: float = 0.0
    # The number of requests by whole second of Unix time.
    by_second: collections.Counter = field(default_factory=collections.Counter)

    @property
    def mean_s(self) -> float:
        """Return the mean duration of the requests in seconds."""
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
        Counts by status and cause, in descending order of count.
    """
    counts_by_cause: dict[OutcomeCause, OutcomeCounts] = {}
    for line in lines:
        match = REQUEST_LINE.search(line)
        status = STATUS.search(line)
        if match is None or status is None:
            continue
        cause = ANSWERED if match["event"] == "answered" else _cause(line)
        outcome = OutcomeCause(int(status["status"]), cause)
        counts = counts_by_cause.setdefault(outcome, OutcomeCounts())
        counts.count += 1
        counts.by_second[int(float(match["at_s"]))] += 1
        duration = DURATION.search(line)
        if duration is not None:
            counts.duration_s += float(duration["duration_s"])
    return dict(sorted(counts_by_cause.items(), key=lambda item: -item[1].count))


def _cause(line: str) -> str:
    match = REASON.search(line)
    if match is None:
        return "no reason given"
    reason = match["quoted"] or match["plain"] or ""
    return " ".join(VARIABLE_TEXT.sub(r"\g<marks>...", reason).split())
