"""The limit that operators set for hedges.

Load pattern: hedges shorten the slowest answers while the servers have room, and make
all answers slower when they have none. Operators decide how much extra work they
accept.
"""

from dataclasses import dataclass

# The bounds of the share of requests that are late enough for a hedge. A hedge for
# fewer would come after most objectives.
MIN_LATE_RATIO = 0.1
MAX_LATE_RATIO = 0.3
# More requests are late than the limit pays for, since not each late one can be hedged.
LATE_PER_HEDGE = 1.5


@dataclass(slots=True, frozen=True)
class HedgeLimit:
    """The hedges that all instances together may send."""

    # Hedges per request of a service; 0 for none.
    extra_request_ratio: float
    # The share of a service's slots in use beyond which no hedge is sent.
    busy_slot_ratio: float

    @property
    def delay_quantile(self) -> float:
        """The quantile of a route's times after which a hedge is due.

        Somewhat more requests are still unanswered then than the limit pays for, so
        that the budget is spent on the slowest ones.
        """
        late_ratio = LATE_PER_HEDGE * self.extra_request_ratio
        return 1 - min(MAX_LATE_RATIO, max(MIN_LATE_RATIO, late_ratio))
