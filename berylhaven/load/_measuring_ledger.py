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


class MeasuringLedger:
    """Milliseconds that may be spent, earned by time and spent by probes.

    It starts empty, so that restarts earn nothing, and holds no more than one
    probe, so that a pause earns nothing either. Over any window of T seconds it
    pays for at most ``share * T`` and one probe, and for what the last probe of
    the window takes beyond its price.

    Parameters
    ----------
    now_s : float
        The time on the hub's clock.
    """

    __slots__ = ("_balance_ms", "_earned_until_s", "spent_ms")

    def __init__(self, now_s: float) -> None:
        # All that was spent since the start, in milliseconds of a slot.
        self.spent_ms = 0.0
        self._balance_ms = 0.0
        self._earned_until_s = now_s

    def earn(self, now_s: float, share_ms_per_s: float, probe_cost_ms: float) -> None:
        """Add what the time since the last call earned.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        share_ms_per_s : float
            What is earned in a second.
        probe_cost_ms : float
            The price of one probe, which is the most that is kept.
        """
        elapsed_s = max(0.0, now_s - self._earned_until_s)
        self._earned_until_s = now_s
        earned_ms = self._balance_ms + elapsed_s * share_ms_per_s
        self._balance_ms = min(earned_ms, probe_cost_ms)

    def can_pay(self, probe_cost_ms: float) -> bool:
        """Tell whether one probe can be paid."""
        # Many small earnings may add up to a little less than their sum.
        return self._balance_ms >= probe_cost_ms or math.isclose(
            self._balance_ms, probe_cost_ms
        )

    def pay(self, cost_ms: float) -> None:
        """Spend; what goes beyond the balance is a debt, to be earned first."""
        self._balance_ms -= cost_ms
        self.spent_ms += cost_ms

    @property
    def is_in_debt(self) -> bool:
        """Whether more was spent than earned."""
        return self._balance_ms < 0
