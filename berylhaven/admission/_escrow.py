"""One instance's part of a fleet-wide limit, and the pieces lent and borrowed."""

from berylhaven.admission._lease import LEASE_DURATION_S, BorrowedLease, LentLease

# The share of its part that an instance may lend away.
LENDABLE_RATIO = 0.5


class Escrow:
    """Keeps the parts of all instances from adding up to more than the limit.

    Each instance owns the limit divided by the largest number of instances, so
    no two parts overlap in any partition. A new run does not know what its
    predecessor lent; until those leases have ended, it uses only what the
    predecessor could not have lent.

    Parameters
    ----------
    part : float
        The instance's own part of the limit.
    started_at_s : float
        When this run began, on the hub's clock.
    """

    __slots__ = ("_part", "_started_at_s", "_lent", "_borrowed")

    def __init__(self, part: float, started_at_s: float) -> None:
        self._part = part
        self._started_at_s = started_at_s
        self._lent: dict[str, LentLease] = {}
        self._borrowed: dict[str, BorrowedLease] = {}

    @property
    def quota(self) -> float:
        """The instance's own part of the limit, lent pieces included."""
        return self._part

    @property
    def _lendable(self) -> int:
        # Whole units only, so that a part of one is never lent and always usable.
        return int(self._part * LENDABLE_RATIO)

    def set_quota(self, part: float) -> None:
        """Take over the part that a new catalogue gives."""
        self._part = part

    def usable_quota(self, now_s: float) -> float:
        """Return how much of the own part this instance may use now."""
        if now_s - self._started_at_s < LEASE_DURATION_S:
            return self._part - self._lendable
        if not self._lent:
            return self._part
        return self._part - self.lent_amount(now_s)

    def lent_amount(self, now_s: float) -> float:
        """Return how much is lent away now."""
        ended = [k for k, lease in self._lent.items() if lease.ends_at_s <= now_s]
        for lease_id in ended:
            del self._lent[lease_id]
        return sum(lease.amount for lease in self._lent.values())

    def lend(
        self, lease_id: str, wanted: float, reserved: float, now_s: float
    ) -> LentLease | None:
        """Lend a piece of the own part.

        Parameters
        ----------
        lease_id : str
            The borrower's name for the lease; a repeat gets the same lease.
        wanted : float
            How much the borrower asks for.
        reserved : float
            How much this instance needs itself.
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        LentLease or None
            A piece of at most the wanted size; None if there is none to spare.
        """
        if lease_id in self._lent:
            return self._lent[lease_id]
        if now_s - self._started_at_s < LEASE_DURATION_S:
            return None
        lent = self.lent_amount(now_s)
        spare = min(self._lendable, self._part - reserved) - lent
        amount = float(int(min(wanted, spare)))
        if amount < 1.0:
            return None
        lease = LentLease(lease_id, amount, now_s + LEASE_DURATION_S)
        self._lent[lease_id] = lease
        return lease

    def reclaim(self, lease_id: str) -> None:
        """End a lent lease early, because its borrower gave it back."""
        self._lent.pop(lease_id, None)

    def add_borrowed(self, lease: BorrowedLease) -> None:
        """Count a piece that a peer lent."""
        self._borrowed[lease.lease_id] = lease

    def drop_borrowed(self, lease_id: str) -> BorrowedLease | None:
        """Stop using a borrowed piece, and return it if it was there."""
        return self._borrowed.pop(lease_id, None)

    @property
    def has_borrowed(self) -> bool:
        """Whether there are borrowed pieces, ended ones perhaps among them."""
        return bool(self._borrowed)

    def borrowed(self, now_s: float) -> list[BorrowedLease]:
        """Return the borrowed pieces that may be used now."""
        if not self._borrowed:
            return []
        ended = [k for k, lease in self._borrowed.items() if lease.ends_at_s <= now_s]
        for lease_id in ended:
            del self._borrowed[lease_id]
        return list(self._borrowed.values())

    def borrowed_amount(self, now_s: float) -> float:
        """Return how much is borrowed now."""
        return sum(lease.amount for lease in self.borrowed(now_s))
