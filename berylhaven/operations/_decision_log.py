"""One log line for each placement decision, within a bound."""

from dataclasses import asdict, dataclass

import orjson

from berylhaven.clock import monotonic_s
from berylhaven.operations._log_setup import PartLog
from berylhaven.settings import LogSettings

LOG = PartLog("placement")
WINDOW_S = 1.0


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
            f"{_milliseconds(self.news_age_s)}, expected after "
            f"{_milliseconds(self.estimated_finish_s)}."
        )

    def to_json(self) -> str:
        """Return the decision as one JSON object."""
        return orjson.dumps(asdict(self)).decode()


class DecisionLog:
    """Writes decision lines, and counts those over the bound.

    Parameters
    ----------
    settings : LogSettings
        With the lines' form and the bound for a second.
    """

    __slots__ = ("_settings", "_window_started_at_s", "_written", "dropped_count")

    def __init__(self, settings: LogSettings) -> None:
        self._settings = settings
        self._window_started_at_s = 0.0
        self._written = 0
        # Decisions that got no line since the start.
        self.dropped_count = 0

    def write(self, decision: PlacementDecision) -> None:
        """Write a line, or count it if the second's lines are used up."""
        now_s = monotonic_s()
        if now_s - self._window_started_at_s >= WINDOW_S:
            self._window_started_at_s = now_s
            self._written = 0
        if self._written >= self._settings.decision_lines_per_s:
            self.dropped_count += 1
            return
        self._written += 1
        if self._settings.decision_format == "json":
            LOG.info("%s", decision.to_json())
        else:
            LOG.info("%s", decision.to_text())


def _milliseconds(duration_s: float | None) -> str:
    if duration_s is None:
        return "unknown age"
    return f"{duration_s * 1000:.1f} ms"
