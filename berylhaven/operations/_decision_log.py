"""One log line for each placement decision, up to a rate limit."""

import math
from dataclasses import dataclass

import orjson

from berylhaven.clock import monotonic_s
from berylhaven.operations._log_setup import ComponentLog
from berylhaven.settings import LogSettings

LOG = ComponentLog("placement")
WINDOW_S = 1.0
LEVELS_WITH_DECISIONS = ("debug", "info")


@dataclass(slots=True)
class PlacementDecision:
    """The choice of a backend server for a call, and the data it is based on."""

    # The id of the call.
    call_id: str
    # The service of the call.
    service: str
    # The registry name of the routing policy.
    policy: str
    # The address of the chosen backend server; None if there was none.
    chosen: str | None
    # The number of servers that could have been chosen.
    candidate_count: int
    # The age of the chosen server's load report in seconds; None without a report.
    news_age_s: float | None
    # The expected time to the answer in seconds; None without an estimate.
    estimated_finish_s: float | None

    def to_text(self) -> str:
        """Return the decision as one short sentence."""
        return (
            f"Call {self.call_id} of {self.service}: chose {self.chosen or 'none'} of "
            f"{self.candidate_count} candidates by {self.policy}; load report age "
            f"{_format_ms(self.news_age_s, 'unknown')}, expected time to answer "
            f"{_format_ms(self.estimated_finish_s, 'unknown')}."
        )

    def to_json(self) -> str:
        """Return the decision as one JSON object."""
        return orjson.dumps(self).decode()


class DecisionLog:
    """Writes decision lines, and drops and counts those above the rate limit.

    Parameters
    ----------
    settings : LogSettings
        Gives the log level, and the format and rate limit of the lines.
    """

    __slots__ = (
        "_settings",
        "_lines_per_s",
        "_window_started_at_s",
        "_written_count",
        "dropped_count",
    )

    def __init__(self, settings: LogSettings) -> None:
        self._settings = settings
        # At a level above info no line would be written, so none is formatted.
        is_enabled = settings.level in LEVELS_WITH_DECISIONS
        self._lines_per_s = settings.decision_lines_per_s if is_enabled else 0
        self._window_started_at_s = -math.inf
        self._written_count = 0
        # The number of decisions without a line since the start.
        self.dropped_count = 0

    def try_acquire_line(self) -> bool:
        """Return whether the next decision may be written, and count it if not.

        Call this before a decision is created: each decision above the rate limit then
        costs only one comparison, however many there are.
        """
        now_s = monotonic_s()
        if now_s - self._window_started_at_s >= WINDOW_S:
            self._window_started_at_s = now_s
            self._written_count = 0
        if self._written_count >= self._lines_per_s:
            self.dropped_count += 1
            return False
        self._written_count += 1
        return True

    def write(self, decision: PlacementDecision) -> None:
        """Write the line of a decision for which `try_acquire_line` returned true."""
        if self._settings.decision_format == "json":
            LOG.info("%s", decision.to_json())
        else:
            LOG.info("%s", decision.to_text())


def _format_ms(duration_s: float | None, unknown: str) -> str:
    if duration_s is None:
        return unknown
    return f"{duration_s * 1000:.1f} ms"
