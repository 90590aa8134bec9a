"""The account of what this entry instance spends on measuring one backend server."""

import math

MILLISECONDS_PER_SECOND = 1000.0


def budget_share_ms_per_s(
    measuring_budget_ratio: float, slot_count: int, max_entry_instances: int
) -> float:
    """Return this instance's part of a backend server's measuring budget.

    The part does not depend on how many instances are seen: a fleet that is split
    counts its members short, and would spend the budget once in each part.

    Parameters
    ----------
    measuring_budget_ratio : float
        Probes' processor time as a share of the server's slot time.
    slot_count : int
        The server's slots.
    max_entry_instances : int
        The largest number of entry instances that run at one time.

    Returns
    -------
    float
        Milliseconds of a slot that may be spent in a second.
    """
    slot_ms_per_s = MILLISECONDS_PER_SECOND * slot_count
    return measuring_budget_ratio * slot_ms_per_s / max_entry_instances


class ProbeBudget:
    """Milliseconds that may be spent, earned by time and spent by probes.

    It starts empty or in debt, so that restarts earn nothing, and it keeps no more
    than the most that one probe can cost, so that a pause earns nothing either. A
    probe is paid at that most, and what it did not take is given back; nothing
    ever has to be earned back, which a restart would forget. Over any window of T
    seconds it pays for at most ``share * T`` and one probe at its most.

    Parameters
    ----------
    now_s : float
        The time on the hub's clock.
    debt_ms : float
        What is to be earned before anything can be kept.
    """

    __slots__ = ("_balance_ms", "_earned_until_s", "spent_ms")

    def __init__(self, now_s: float, debt_ms: float = 0.0) -> None:
        # All that was spent since the start, in milliseconds of a slot.
        self.spent_ms = 0.0
        self._balance_ms = -debt_ms
        self._earned_until_s = now_s

    def refill(self, now_s: float, share_ms_per_s: float, limit_ms: float) -> None:
        """Add what the time since the last call earned.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        share_ms_per_s : float
            What is earned in a second.
        limit_ms : float
            The most that is kept.
        """
        elapsed_s = max(0.0, now_s - self._earned_until_s)
        self._earned_until_s = now_s
        earned_ms = self._balance_ms + elapsed_s * share_ms_per_s
        self._balance_ms = min(earned_ms, limit_ms)

    def can_spend(self, cost_ms: float) -> bool:
        """Tell whether so much can be paid."""
        # Many small earnings may add up to a little less than their sum.
        return self._balance_ms >= cost_ms or math.isclose(self._balance_ms, cost_ms)

    def spend(self, cost_ms: float) -> None:
        """Spend milliseconds that can be paid."""
        self._balance_ms -= cost_ms
        self.spent_ms += cost_ms

    def refund(self, cost_ms: float) -> None:
        """Take back what was paid and not used."""
        self._balance_ms += cost_ms
        self.spent_ms -= cost_ms
