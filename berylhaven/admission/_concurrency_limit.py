"""This instance's quota of a fleet-wide limit on calls in flight."""

from berylhaven.admission._escrow import Escrow
from berylhaven.admission._lease import BorrowedLease


class ConcurrencySlot:
    """One slot of a concurrency limit, held by one call in flight.

    Parameters
    ----------
    lease : BorrowedLease or None
        The borrowed lease that the slot belongs to; None for the instance's own quota.
    """

    __slots__ = ("lease",)

    def __init__(self, lease: BorrowedLease | None) -> None:
        # The borrowed lease that the slot belongs to; None for the own quota.
        self.lease = lease


class ConcurrencyLimit:
    """Limits one service's calls in flight to the own quota and the borrowed leases.

    The deadline of a call on a borrowed lease must not be later than the end of the
    lease, so that no call still uses the lease when its lender does again.

    Parameters
    ----------
    escrow : Escrow
        The own quota and the leases, in calls.
    """

    __slots__ = ("escrow", "_own_in_use", "_peak_demand", "_refused_count")

    def __init__(self, escrow: Escrow) -> None:
        # The own quota and the leases.
        self.escrow = escrow
        self._own_in_use = 0
        self._peak_demand = 0
        self._refused_count = 0

    @property
    def own_in_use(self) -> int:
        """Calls in flight on the own quota."""
        return self._own_in_use

    def in_flight_count(self, now_s: float) -> int:
        """Return the calls in flight on the own quota and on borrowed leases."""
        borrowed = self.escrow.borrowed(now_s)
        return self._own_in_use + sum(lease.in_use for lease in borrowed)

    def try_acquire(self, now_s: float, deadline_s: float) -> ConcurrencySlot | None:
        """Acquire a slot for one call.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        deadline_s : float
            The call's deadline, on the hub's clock.

        Returns
        -------
        ConcurrencySlot or None
            None if neither the own quota nor a lease that lasts until the deadline
            has a free slot.
        """
        if self._own_in_use + 1 <= self.escrow.usable_quota(now_s):
            self._own_in_use += 1
            self._record_demand(now_s)
            return ConcurrencySlot(None)
        for lease in self.escrow.borrowed(now_s):
            if lease.in_use + 1 <= lease.amount and deadline_s <= lease.ends_at_s:
                lease.in_use += 1
                self._record_demand(now_s)
                return ConcurrencySlot(lease)
        self._refused_count += 1
        return None

    def release(self, slot: ConcurrencySlot) -> None:
        """Release the slot of a call that has ended."""
        if slot.lease is None:
            self._own_in_use -= 1
        else:
            slot.lease.in_use -= 1

    def collect_demand(self) -> float:
        """Return the peak demand for slots since the last collection, and reset it.

        The demand is the peak of calls in flight plus the calls refused.
        """
        demand = self._peak_demand + self._refused_count
        self._peak_demand = self._own_in_use
        self._refused_count = 0
        return float(demand)

    def _record_demand(self, now_s: float) -> None:
        self._peak_demand = max(self._peak_demand, self.in_flight_count(now_s))
