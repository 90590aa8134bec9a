"""Each firm's guaranteed share of one entry instance."""

from berylhaven.catalogue import CallClass

# Up to which share of the instance's bound calls of a class are taken in.
CLASS_CEILING_RATIOS = {
    CallClass.BULK: 0.8,
    CallClass.INTERACTIVE: 0.95,
    CallClass.TRANSACTION: 1.0,
}


class FirmShares:
    """Counts calls in flight by firm against guaranteed and borrowable room.

    A firm's guaranteed share is there at once: such a call is taken in even
    when others fill the instance, so calls in flight may reach the bound and the
    guaranteed shares together. Beyond its share a firm borrows what others leave
    of the bound, and what it borrowed comes back as those calls end.

    Parameters
    ----------
    concurrency_limit : int
        The instance's bound of calls in flight.
    """

    __slots__ = ("_concurrency_limit", "_in_flight", "_total")

    def __init__(self, concurrency_limit: int) -> None:
        self._concurrency_limit = concurrency_limit
        self._in_flight: dict[str, int] = {}
        self._total = 0

    @property
    def in_flight_count(self) -> int:
        """Calls in flight of all firms."""
        return self._total

    def firm_in_flight_count(self, firm: str) -> int:
        """Return a firm's calls in flight."""
        return self._in_flight.get(firm, 0)

    def may_admit(
        self, firm: str, guaranteed_share_ratio: float, call_class: CallClass
    ) -> bool:
        """Tell whether a call may be taken in.

        Parameters
        ----------
        firm : str
            The firm that owns the call's service.
        guaranteed_share_ratio : float
            The firm's guaranteed share of the instance.
        call_class : CallClass
            The call's class; the lower ones leave room for the higher.

        Returns
        -------
        bool
            Whether the call is within the guarantee or within the class's room.
        """
        ceiling = CLASS_CEILING_RATIOS[call_class]
        guaranteed = self._concurrency_limit * guaranteed_share_ratio
        if self.firm_in_flight_count(firm) + 1 <= guaranteed * ceiling:
            return True
        return self._total + 1 <= self._concurrency_limit * ceiling

    def acquire(self, firm: str) -> None:
        """Count a call that was taken in."""
        self._in_flight[firm] = self._in_flight.get(firm, 0) + 1
        self._total += 1

    def release(self, firm: str) -> None:
        """Count a call that has ended."""
        self._in_flight[firm] -= 1
        self._total -= 1
