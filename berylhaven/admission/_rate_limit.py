"""This instance's share of a limit on calls a second."""

from berylhaven.admission._escrow import Escrow

# How much unused rate is kept for a burst, as seconds of the usable rate.
BURST_S = 0.2
# A bucket holds at least one call, or a small part would never admit any.
SMALLEST_BURST_COUNT = 1.0


class RateLimit:
    """A token bucket filled at the rate of the own and borrowed parts.

    It starts empty, so that restarts together admit no burst. A borrowed part
    fills it only until the lease's end, however late the process wakes up.

    Parameters
    ----------
    escrow : Escrow
        The parts, in calls a second.
    now_s : float
        The time on the hub's clock.
    """

    __slots__ = (
        "escrow",
        "_tokens",
        "_filled_at_s",
        "_own_per_s",
        "_borrowed_per_s",
        "_demand_count",
        "_asked_at_s",
    )

    def __init__(self, escrow: Escrow, now_s: float) -> None:
        # The parts of the limit.
        self.escrow = escrow
        self._tokens = 0.0
        self._filled_at_s = now_s
        self._own_per_s = escrow.usable_quota(now_s)
        self._borrowed_per_s = 0.0
        self._demand_count = 0
        self._asked_at_s = now_s

    def try_acquire(self, now_s: float) -> bool:
        """Take the right to start one call now; False if there is none."""
        self._demand_count += 1
        self.refill(now_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def return_token(self) -> None:
        """Give a right back that was not used."""
        self._tokens += 1.0

    def collect_demand(self, now_s: float) -> float:
        """Return the calls a second that were wanted since the last question."""
        passed_s = now_s - self._asked_at_s
        demand_per_s = self._demand_count / passed_s if passed_s > 0 else 0.0
        self._demand_count = 0
        self._asked_at_s = now_s
        return demand_per_s

    def refill(self, now_s: float) -> None:
        """Fill the bucket at the parts held so far; to be called before they change.

        Of the time since the last filling, each part counts with the smaller of
        its sizes at both ends, so that a lease that ended within it earns nothing.
        """
        own_per_s = self.escrow.usable_quota(now_s)
        borrowed_per_s = self.escrow.borrowed_amount(now_s)
        passed_s = max(0.0, now_s - self._filled_at_s)
        earning_per_s = min(own_per_s, self._own_per_s)
        earning_per_s += min(borrowed_per_s, self._borrowed_per_s)
        burst = (own_per_s + borrowed_per_s) * BURST_S
        burst = max(SMALLEST_BURST_COUNT, burst)
        self._tokens = min(burst, self._tokens + earning_per_s * passed_s)
        self._filled_at_s = max(now_s, self._filled_at_s)
        self._own_per_s = own_per_s
        self._borrowed_per_s = borrowed_per_s
