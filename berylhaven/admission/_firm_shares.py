"""Guaranteed shares of one entry instance, by firm."""

from berylhaven.catalogue import CallClass

# The share of the instance's concurrency limit up to which calls of a class are
# admitted.
CLASS_CEILING_RATIOS = {
    CallClass.BULK: 0.8,
    CallClass.INTERACTIVE: 0.95,
    CallClass.TRANSACTION: 1.0,
}


class FirmShares:
    """Counts calls in flight by firm and applies the guaranteed shares.

    A call within its firm's guaranteed share is admitted even when other firms fill
    the instance, so the calls in flight may reach the sum of the concurrency limit
    and the guaranteed shares. Beyond its share, a firm may use what other firms leave
    of the concurrency limit; that capacity is freed as those calls end.

    Parameters
    ----------
    concurrency_limit : int
        The maximum number of calls in flight at this instance.
    """

    __slots__ = ("_concurrency_limit", "_in_flight", "_total")

    def __init__(self, concurrency_limit: int) -> None:
        self._concurrency_limit = concurrency_limit
        self._in_flight: dict[str, int] = {}
        self._total = 0

    @property
    def in_flight_count(self) -> int:
        """The number of calls in flight, all firms together."""
        return self._total

    def firm_in_flight_count(self, firm: str) -> int:
        """Return the number of a firm's calls in flight."""
        return self._in_flight.get(firm, 0)

    def may_admit(
        self, firm: str, guaranteed_share_ratio: float, call_class: CallClass
    ) -> bool:
        """Return whether a call may be admitted.

        Parameters
        ----------
        firm : str
            The firm that owns the call's service.
        guaranteed_share_ratio : float
            The firm's guaranteed share of the concurrency limit, from 0 to 1.
        call_class : CallClass
            The call's class; lower classes leave capacity to higher ones.

        Returns
        -------
        bool
            True if the call is within the firm's guaranteed share or within the
            limit of its class.
        """
        ceiling = CLASS_CEILING_RATIOS[call_class]
        guaranteed = self._concurrency_limit * guaranteed_share_ratio
        if self.firm_in_flight_count(firm) + 1 <= guaranteed * ceiling:
            return True
        return self._total + 1 <= self._concurrency_limit * ceiling

    def acquire(self, firm: str) -> None:
        """Count a call that was admitted."""
        self._in_flight[firm] = self._in_flight.get(firm, 0) + 1
        self._total += 1

    def release(self, firm: str) -> None:
        """Count a call that has ended."""
        self._in_flight[firm] -= 1
        self._total -= 1
