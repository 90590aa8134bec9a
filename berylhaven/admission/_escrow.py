"""One instance's quota of a fleet-wide limit, with its lent and borrowed leases."""

from berylhaven.admission._lease import LEASE_DURATION_S, BorrowedLease, LentLease

# The share of its quota that an instance may lend.
LENDABLE_RATIO = 0.5


class Escrow:
    """Tracks how much of a fleet-wide limit this instance may use.

    Each instance owns the limit divided by the maximum number of instances, so the
    quotas of all instances never exceed the limit, even in a network partition. A
    restarted instance has no record of the leases that the previous run granted;
    until those have expired, it uses only what could not have been lent.

    Parameters
    ----------
    quota : float
        The instance's own quota of the limit.
    started_at_s : float
        When this run started, on the hub's clock.
    """

    __slots__ = ("_quota", "_started_at_s", "_lent", "_borrowed")

    def __init__(self, quota: float, started_at_s: float) -> None:
        self._quota = quota
        self._started_at_s = started_at_s
        self._lent: dict[str, LentLease] = {}
        self._borrowed: dict[str, BorrowedLease] = {}

    @property
    def quota(self) -> float:
        """The instance's own quota of the limit, lent leases included."""
        return self._quota

    @property
    def _lendable(self) -> int:
        # Whole units only, so that a quota of 1 is never lent and always usable.
        return int(self._quota * LENDABLE_RATIO)

    def set_quota(self, quota: float) -> None:
        """Set the quota that follows from a new catalogue."""
        self._quota = quota

    def usable_quota(self, now_s: float) -> float:
        """Return how much of its own quota this instance may use now."""
        if now_s - self._started_at_s < LEASE_DURATION_S:
            return self._quota - self._lendable
        if not self._lent:
            return self._quota
        return self._quota - self.lent_amount(now_s)

    def lent_amount(self, now_s: float) -> float:
        """Return how much of the own quota is lent now; drop expired leases."""
        ended = [k for k, lease in self._lent.items() if lease.ends_at_s <= now_s]
        for lease_id in ended:
            del self._lent[lease_id]
        return sum(lease.amount for lease in self._lent.values())

    def lend(
        self, lease_id: str, wanted: float, reserved: float, now_s: float
    ) -> LentLease | None:
        """Lend some of the own quota.

        Parameters
        ----------
        lease_id : str
            The id that the borrower gave the lease; a repeated request with the same
            id gets the same lease.
        wanted : float
            The amount requested by the borrower, in units of the limit.
        reserved : float
            The amount that this instance needs for its own calls.
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        LentLease or None
            A lease of at most the wanted amount; None if less than 1 can be lent.
        """
        if lease_id in self._lent:
            return self._lent[lease_id]
        if now_s - self._started_at_s < LEASE_DURATION_S:
            return None
        lent = self.lent_amount(now_s)
        spare = min(self._lendable, self._quota - reserved) - lent
        amount = float(int(min(wanted, spare)))
        if amount < 1.0:
            return None
        lease = LentLease(lease_id, amount, now_s + LEASE_DURATION_S)
        self._lent[lease_id] = lease
        return lease

    def reclaim(self, lease_id: str) -> None:
        """End a lent lease early, after its borrower returned it."""
        self._lent.pop(lease_id, None)

    def add_borrowed(self, lease: BorrowedLease) -> None:
        """Add a lease that a peer granted."""
        self._borrowed[lease.lease_id] = lease

    def drop_borrowed(self, lease_id: str) -> BorrowedLease | None:
        """Remove a borrowed lease and return it, or None if there is no such lease."""
        return self._borrowed.pop(lease_id, None)

    @property
    def has_borrowed(self) -> bool:
        """Whether borrowed leases are stored; some may have expired."""
        return bool(self._borrowed)

    def borrowed(self, now_s: float) -> list[BorrowedLease]:
        """Return the borrowed leases that have not expired; drop the others."""
        if not self._borrowed:
            return []
        ended = [k for k, lease in self._borrowed.items() if lease.ends_at_s <= now_s]
        for lease_id in ended:
            del self._borrowed[lease_id]
        return list(self._borrowed.values())

    def borrowed_amount(self, now_s: float) -> float:
        """Return the total amount of the unexpired borrowed leases."""
        return sum(lease.amount for lease in self.borrowed(now_s))
