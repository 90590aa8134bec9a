"""The budget of this entry instance for probing one backend server."""

import math

MILLISECONDS_PER_SECOND = 1000.0


def budget_share_ms_per_s(
    measuring_budget_ratio: float, slot_count: int, max_entry_instances: int
) -> float:
    """Return this instance's share of a backend server's probe budget.

    The share does not depend on the number of instances seen: in a partitioned
    fleet each part sees too few members, and would spend the whole budget.

    Parameters
    ----------
    measuring_budget_ratio : float
        The processor time of probes as a ratio of the server's slot time.
    slot_count : int
        The number of calls that the server runs at once.
    max_entry_instances : int
        The largest number of entry instances that run at one time.

    Returns
    -------
    float
        Milliseconds of slot time that may be spent in a second.
    """
    slot_ms_per_s = MILLISECONDS_PER_SECOND * slot_count
    return measuring_budget_ratio * slot_ms_per_s / max_entry_instances


class ProbeBudget:
    """A token bucket of milliseconds that is refilled by time and spent by probes.

    It starts empty or in debt, so that restarts add nothing, and it holds at most
    the maximum cost of one probe, so that a pause adds nothing either. The maximum
    cost is spent when a probe starts, and the unused part is refunded when it ends;
    no cost is ever charged afterwards, since a restart would lose such a debt. Over
    any window of T seconds at most ``share * T`` and the maximum cost of one probe
    are spent.

    Parameters
    ----------
    now_s : float
        The time on the hub's clock.
    debt_ms : float
        Milliseconds to be refilled before the balance is positive.
    """

    __slots__ = ("_balance_ms", "_refilled_at_s", "spent_ms")

    def __init__(self, now_s: float, debt_ms: float = 0.0) -> None:
        # Milliseconds of slot time spent since the start.
        self.spent_ms = 0.0
        self._balance_ms = -debt_ms
        self._refilled_at_s = now_s

    def refill(self, now_s: float, share_ms_per_s: float, limit_ms: float) -> None:
        """Add the share for the time since the last refill.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        share_ms_per_s : float
            Milliseconds that are added in a second.
        limit_ms : float
            The maximum balance in milliseconds.
        """
        elapsed_s = max(0.0, now_s - self._refilled_at_s)
        self._refilled_at_s = now_s
        refilled_ms = self._balance_ms + elapsed_s * share_ms_per_s
        self._balance_ms = min(refilled_ms, limit_ms)

    def can_spend(self, cost_ms: float) -> bool:
        """Return whether the balance covers a cost."""
        # Rounding: many small refills may add up to slightly less than their sum.
        return self._balance_ms >= cost_ms or math.isclose(self._balance_ms, cost_ms)

    def spend(self, cost_ms: float) -> None:
        """Spend milliseconds that the balance covers."""
        self._balance_ms -= cost_ms
        self.spent_ms += cost_ms

    def refund(self, cost_ms: float) -> None:
        """Return the unused part of a cost that was spent."""
        self._balance_ms += cost_ms
        self.spent_ms -= cost_ms
