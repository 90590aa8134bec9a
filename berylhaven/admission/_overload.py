"""Shedding while the process's event loop is late."""

from berylhaven.catalogue import CallClass

# A loop later than this at its timers costs calls more than they may be delayed.
LATENESS_TARGET_S = 0.010
# How fast the pressure follows the lateness.
RISE_RATIO = 0.20
FALL_RATIO = 0.10
# How many recent calls the firms' shares are taken over.
RECENT_CALL_COUNT = 200.0
# Each class is shed over its third of the pressure, bulk first.
CLASS_RANKS = {
    CallClass.BULK: 0,
    CallClass.INTERACTIVE: 1,
    CallClass.TRANSACTION: 2,
}


class OverloadEstimator:
    """Turns the event loop's lateness into a probability of shedding.

    The pressure rises while the loop is late and falls while it is not. A firm
    whose share of recent calls is within its guarantee is never shed: guarantees add
    up to one at most, so while calls are too many, some other firm is over its own.
    """

    __slots__ = ("_pressure", "_recent", "_recent_total")

    def __init__(self) -> None:
        self._pressure = 0.0
        self._recent: dict[str, float] = {}
        self._recent_total = 0.0

    @property
    def pressure(self) -> float:
        """From 0, nothing is shed, to 1, all over the guaranteed shares is."""
        return self._pressure

    def observe_lateness(self, lateness_s: float) -> None:
        """Take in how late a timer of the event loop was.

        Parameters
        ----------
        lateness_s : float
            Seconds from when it was due to when it ran.
        """
        if lateness_s > LATENESS_TARGET_S:
            excess_ratio = min(1.0, lateness_s / LATENESS_TARGET_S - 1.0)
            self._pressure = min(1.0, self._pressure + RISE_RATIO * excess_ratio)
        else:
            self._pressure = max(0.0, self._pressure - FALL_RATIO)

    def record_call(self, firm: str) -> None:
        """Count a call of a firm, whether it is taken in or not."""
        decay = 1.0 - 1.0 / RECENT_CALL_COUNT
        self._recent_total = self._recent_total * decay + 1.0
        for name in self._recent:
            self._recent[name] *= decay
        self._recent[firm] = self._recent.get(firm, 0.0) + 1.0

    def shed_probability(
        self, firm: str, guaranteed_share_ratio: float, call_class: CallClass
    ) -> float:
        """Return with what probability a call is to be refused.

        Parameters
        ----------
        firm : str
            The firm that owns the call's service.
        guaranteed_share_ratio : float
            The firm's guaranteed share.
        call_class : CallClass
            The call's class.

        Returns
        -------
        float
            From 0 to 1.
        """
        if self._pressure == 0.0:
            return 0.0
        share = self._recent.get(firm, 0.0) / max(1.0, self._recent_total)
        if share <= guaranteed_share_ratio:
            return 0.0
        third = self._pressure * len(CLASS_RANKS) - CLASS_RANKS[call_class]
        return min(1.0, max(0.0, third))
