"""One log line for each placement decision, within a bound."""

import math
from dataclasses import dataclass

import orjson

from berylhaven.clock import monotonic_s
from berylhaven.operations._log_setup import ComponentLog
from berylhaven.settings import LogSettings

LOG = ComponentLog("placement")
WINDOW_S = 1.0
SHOWING_LEVELS = ("debug", "info")


@dataclass(slots=True)
class PlacementDecision:
    """What was chosen for a call, out of what, and on what news."""

    # The call's id.
    call_id: str
    # The call's service.
    service: str
    # The routing policy's registry name.
    policy: str
    # The address of the chosen backend server; None if there was none.
    chosen: str | None
    # How many servers could have been chosen.
    candidate_count: int
    # The age of the news about the chosen one in seconds; None without news.
    news_age_s: float | None
    # The expected time to the answer in seconds; None without an estimate.
    estimated_finish_s: float | None

    def to_text(self) -> str:
        """Return the decision as one short sentence."""
        return (
            f"Call {self.call_id} of {self.service} goes to {self.chosen or 'no one'} "
            f"of {self.candidate_count} by {self.policy} on news of "
            f"{_milliseconds(self.news_age_s, 'an unknown age')}, expected after "
            f"{_milliseconds(self.estimated_finish_s, 'an unknown time')}."
        )

    def to_json(self) -> str:
        """Return the decision as one JSON object."""
        return orjson.dumps(self).decode()


class DecisionLog:
    """Writes decision lines, and counts those over the bound.

    Parameters
    ----------
    settings : LogSettings
        With the lines' form and the bound for a second.
    """

    __slots__ = (
        "_settings",
        "_lines_per_s",
        "_window_started_at_s",
        "_written",
        "dropped_count",
    )

    def __init__(self, settings: LogSettings) -> None:
        self._settings = settings
        # At a level above info no line would be written, so none is worded.
        is_shown = settings.level in SHOWING_LEVELS
        self._lines_per_s = settings.decision_lines_per_s if is_shown else 0
        self._window_started_at_s = -math.inf
        self._written = 0
        # Decisions that got no line since the start.
        self.dropped_count = 0

    def try_acquire_line(self) -> bool:
        """Tell whether the next decision gets a line, and count it if not.

        Ask before the decision is put into words: a decision over the bound then
        costs one comparison, however many there are.
        """
        now_s = monotonic_s()
        if now_s - self._window_started_at_s >= WINDOW_S:
            self._window_started_at_s = now_s
            self._written = 0
        if self._written >= self._lines_per_s:
            self.dropped_count += 1
            return False
        self._written += 1
        return True

    def write(self, decision: PlacementDecision) -> None:
        """Write the line of a decision for which `try_acquire_line` returned true."""
        if self._settings.decision_format == "json":
            LOG.info("%s", decision.to_json())
        else:
            LOG.info("%s", decision.to_text())


def _milliseconds(duration_s: float | None, unknown: str) -> str:
    if duration_s is None:
        return unknown
    return f"{duration_s * 1000:.1f} ms"
