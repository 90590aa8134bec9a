"""When the store was last away or restored, and what that means for its entries."""

from collections.abc import Iterable

from berylhaven.clock import monotonic_s
from berylhaven.gateway.members._member import Member

# An outage counts as local only if a peer has had answers of the store since at least
# this time before the outage was detected here, since the peer may detect it later.
OUTAGE_DETECTION_MARGIN_S = 3.0
STORE_AVAILABLE_LIMIT_S = 1_000
# The platform guarantees that entries which expired during an outage of the store are
# back within two seconds of its recovery.
EXPIRED_ENTRY_GRACE_S = 2.0


class StoreOutages:
    """The times of the last outage and of the last restore, on the hub's clock."""

    __slots__ = ("_began_at_s", "_recovered_at_s", "_restored_at_s")

    def __init__(self) -> None:
        self._began_at_s = monotonic_s()
        self._recovered_at_s = float("-inf")
        self._restored_at_s = float("-inf")

    def record_outage(self) -> None:
        """Record that an outage begins now."""
        self._began_at_s = monotonic_s()

    def record_recovery(self) -> None:
        """Record that the store answers again now."""
        self._recovered_at_s = monotonic_s()

    def record_restore(self) -> None:
        """Record that the store has returned from an older copy.

        Entries that the copy lacks are written again by their servers, so they are
        treated like entries that expired during an outage.
        """
        self._restored_at_s = monotonic_s()

    @property
    def grace_end_s(self) -> float:
        """The end of the latest grace period, on the hub's clock."""
        return max(self._recovered_at_s, self._restored_at_s) + EXPIRED_ENTRY_GRACE_S

    @property
    def is_in_grace(self) -> bool:
        """Whether the store recovered or was restored within the grace period."""
        return monotonic_s() < self.grace_end_s

    def is_local(self, peers: Iterable[Member]) -> bool:
        """Return whether a peer had answers of the store during the outage seen here.

        The outage was local then, and no entries expired: they expire only while the
        store itself is unavailable.

        Parameters
        ----------
        peers : iterable of Member
            The live instances.

        Returns
        -------
        bool
            False after a restore, which concerns all instances.
        """
        if self._restored_at_s > self._recovered_at_s:
            return False
        return any(
            peer.heartbeat_at_s > self._recovered_at_s
            and peer.store_available_s
            > peer.heartbeat_at_s - self._began_at_s + OUTAGE_DETECTION_MARGIN_S
            for peer in peers
        )

    def available_s(self, is_failing: bool) -> int:
        """Return for how many whole seconds the store has answered without an outage.

        Parameters
        ----------
        is_failing : bool
            Whether the last call to the store failed.

        Returns
        -------
        int
            At most STORE_AVAILABLE_LIMIT_S.
        """
        if is_failing:
            return 0
        since_s = max(self._began_at_s, self._recovered_at_s)
        return min(STORE_AVAILABLE_LIMIT_S, int(monotonic_s() - since_s))
