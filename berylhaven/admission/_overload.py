"""Load shedding while the event loop of the process is late."""

from berylhaven.catalogue import CallClass

# Timer lateness above which the event loop delays calls by more than is acceptable.
LATENESS_TARGET_S = 0.010
# How much one observation raises or lowers the pressure at most.
PRESSURE_RISE_RATIO = 0.20
PRESSURE_FALL_RATIO = 0.10
# The number of recent calls over which firms' shares are averaged (exponentially).
RECENT_CALL_COUNT = 200.0
# Each class is shed within its own third of the pressure range, bulk first.
CLASS_RANKS = {
    CallClass.BULK: 0,
    CallClass.INTERACTIVE: 1,
    CallClass.TRANSACTION: 2,
}


class OverloadEstimator:
    """Computes the probability of shedding a call from the event loop's lateness.

    The pressure rises while the loop is late and falls while it is not. Calls of a
    firm whose share of recent calls is within its guaranteed share are never shed:
    the guaranteed shares add up to at most 1, so under overload some other firm
    exceeds its own.
    """

    __slots__ = ("_pressure", "_recent", "_recent_total")

    def __init__(self) -> None:
        self._pressure = 0.0
        self._recent: dict[str, float] = {}
        self._recent_total = 0.0

    @property
    def pressure(self) -> float:
        """From 0 (nothing is shed) to 1 (all above the guaranteed shares is shed)."""
        return self._pressure

    def observe_lateness(self, lateness_s: float) -> None:
        """Update the pressure by the lateness of an event loop timer.

        Parameters
        ----------
        lateness_s : float
            Seconds from when the timer was due to when it ran.
        """
        if lateness_s > LATENESS_TARGET_S:
            excess_ratio = min(1.0, lateness_s / LATENESS_TARGET_S - 1.0)
            self._pressure = min(
                1.0, self._pressure + PRESSURE_RISE_RATIO * excess_ratio
            )
        else:
            self._pressure = max(0.0, self._pressure - PRESSURE_FALL_RATIO)

    def record_call(self, firm: str) -> None:
        """Count a call of a firm, whether it is admitted or not."""
        decay = 1.0 - 1.0 / RECENT_CALL_COUNT
        self._recent_total = self._recent_total * decay + 1.0
        for name in self._recent:
            self._recent[name] *= decay
        self._recent[firm] = self._recent.get(firm, 0.0) + 1.0

    def shed_probability(
        self, firm: str, guaranteed_share_ratio: float, call_class: CallClass
    ) -> float:
        """Return the probability with which a call is to be shed.

        Parameters
        ----------
        firm : str
            The firm that owns the call's service.
        guaranteed_share_ratio : float
            The firm's guaranteed share of the instance, from 0 to 1.
        call_class : CallClass
            The call's class.

        Returns
        -------
        float
            The probability, from 0 to 1.
        """
        if self._pressure == 0.0:
            return 0.0
        share = self._recent.get(firm, 0.0) / max(1.0, self._recent_total)
        if share <= guaranteed_share_ratio:
            return 0.0
        third = self._pressure * len(CLASS_RANKS) - CLASS_RANKS[call_class]
        return min(1.0, max(0.0, third))
