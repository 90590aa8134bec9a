"""This instance's quota of a fleet-wide limit on calls per second."""

from berylhaven.admission._escrow import Escrow

# The bucket's capacity, in seconds of the usable rate.
BURST_S = 0.2
# The capacity is at least one call; otherwise a small quota would admit none.
MIN_BURST_COUNT = 1.0


class RateLimit:
    """A token bucket, filled at the rate of the own quota and the borrowed leases.

    The bucket starts empty, so that instances that restart together admit no burst. A
    borrowed lease fills it only until the lease ends, even if the process is paused
    beyond that time.

    Parameters
    ----------
    escrow : Escrow
        The own quota and the leases, in calls per second.
    now_s : float
        The time on the hub's clock.
    """

    __slots__ = (
        "escrow",
        "_tokens",
        "_refilled_at_s",
        "_own_per_s",
        "_borrowed_per_s",
        "_demand_count",
        "_demand_since_s",
    )

    def __init__(self, escrow: Escrow, now_s: float) -> None:
        # The own quota and the leases.
        self.escrow = escrow
        self._tokens = 0.0
        self._refilled_at_s = now_s
        self._own_per_s = escrow.usable_quota(now_s)
        self._borrowed_per_s = 0.0
        self._demand_count = 0
        self._demand_since_s = now_s

    def try_acquire(self, now_s: float) -> bool:
        """Take one token for a call that starts now; return False if there is none."""
        self._demand_count += 1
        self.refill(now_s)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def return_token(self) -> None:
        """Return a token that was not used."""
        self._tokens += 1.0

    def collect_demand(self, now_s: float) -> float:
        """Return the requested calls per second since the last collection."""
        elapsed_s = now_s - self._demand_since_s
        demand_per_s = self._demand_count / elapsed_s if elapsed_s > 0 else 0.0
        self._demand_count = 0
        self._demand_since_s = now_s
        return demand_per_s

    def refill(self, now_s: float) -> None:
        """Refill the bucket for the time since the last refill.

        Must be called before the quota or the leases change. For the time since the
        last refill, the own quota and the leases each count with the smaller of their
        amounts at its start and at its end, so that a lease that ended in that time
        adds no tokens.
        """
        own_per_s = self.escrow.usable_quota(now_s)
        borrowed_per_s = self.escrow.borrowed_amount(now_s)
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        fill_rate_per_s = min(own_per_s, self._own_per_s)
        fill_rate_per_s += min(borrowed_per_s, self._borrowed_per_s)
        burst = (own_per_s + borrowed_per_s) * BURST_S
        burst = max(MIN_BURST_COUNT, burst)
        self._tokens = min(burst, self._tokens + fill_rate_per_s * elapsed_s)
        self._refilled_at_s = max(now_s, self._refilled_at_s)
        self._own_per_s = own_per_s
        self._borrowed_per_s = borrowed_per_s
