"""This instance's share of a limit on calls in flight."""

from berylhaven.admission._escrow import Escrow
from berylhaven.admission._lease import BorrowedLease


class ConcurrencySlot:
    """The right to have one call in flight.

    Parameters
    ----------
    lease : BorrowedLease or None
        The borrowed piece that it uses; None for the own part.
    """

    __slots__ = ("lease",)

    def __init__(self, lease: BorrowedLease | None) -> None:
        # The borrowed piece that it uses; None for the own part.
        self.lease = lease


class ConcurrencyLimit:
    """Counts one service's calls in flight against the own and borrowed parts.

    A call on a borrowed piece must be due before the lease ends, so that nothing
    runs on the piece when its lender uses it again.

    Parameters
    ----------
    escrow : Escrow
        The parts.
    """

    __slots__ = ("escrow", "_own_in_use", "_peak_demand", "_refused_count")

    def __init__(self, escrow: Escrow) -> None:
        # The parts of the limit.
        self.escrow = escrow
        self._own_in_use = 0
        self._peak_demand = 0
        self._refused_count = 0

    @property
    def own_in_use(self) -> int:
        """Calls in flight on the own part."""
        return self._own_in_use

    def in_flight_count(self, now_s: float) -> int:
        """Return the calls in flight on all parts."""
        borrowed = self.escrow.borrowed(now_s)
        return self._own_in_use + sum(lease.in_use for lease in borrowed)

    def try_acquire(self, now_s: float, deadline_s: float) -> ConcurrencySlot | None:
        """Take a slot for one call.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        deadline_s : float
            When the call ends at the latest.

        Returns
        -------
        ConcurrencySlot or None
            None if no part has room for a call of this length.
        """
        if self._own_in_use + 1 <= self.escrow.usable_quota(now_s):
            self._own_in_use += 1
            self._note_demand(now_s)
            return ConcurrencySlot(None)
        for lease in self.escrow.borrowed(now_s):
            if lease.in_use + 1 <= lease.amount and deadline_s <= lease.ends_at_s:
                lease.in_use += 1
                self._note_demand(now_s)
                return ConcurrencySlot(lease)
        self._refused_count += 1
        return None

    def release(self, slot: ConcurrencySlot) -> None:
        """Give a slot back when its call has ended."""
        if slot.lease is None:
            self._own_in_use -= 1
        else:
            slot.lease.in_use -= 1

    def collect_demand(self) -> float:
        """Return the most slots wanted at once since the last question."""
        demand = self._peak_demand + self._refused_count
        self._peak_demand = self._own_in_use
        self._refused_count = 0
        return float(demand)

    def _note_demand(self, now_s: float) -> None:
        self._peak_demand = max(self._peak_demand, self.in_flight_count(now_s))
