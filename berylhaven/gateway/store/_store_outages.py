"""When the store was last away or restored, and what that means for its entries."""

from collections.abc import Iterable

from berylhaven.clock import monotonic_s
from berylhaven.gateway.members._member import Member
from berylhaven.gateway.store._fleet_source import OutageAge

# Servers write their entries at about this interval, and an entry expires after three
# of them without a write. No server misses two writes in a shorter outage.
MIN_EXPIRY_OUTAGE_S = 1.5
# An outage counts as local only if a peer has had answers of the store since at least
# this time before the outage began, since the peer may detect it later.
OUTAGE_DETECTION_MARGIN_S = 3.0
STORE_AVAILABLE_LIMIT_S = 1_000
# The platform guarantees that entries which expired during an outage of the store are
# back within two seconds of its recovery.
EXPIRED_ENTRY_GRACE_S = 2.0
# Peers of earlier releases report an outage without its age. An instance detects a
# longer one by its own calls.
UNKNOWN_OUTAGE_AGE = OutageAge(began_age_s=10.0, ended_age_s=0.0)


class StoreOutages:
    """The times of the last outage and of the last restore, on the hub's clock.

    Entries may have expired in an outage if no answer of the store is known for a time
    that is long enough for it, and no peer had answers meanwhile. A single lost call
    proves neither.
    """

    __slots__ = (
        "_answered_at_s",
        "_started_at_s",
        "_recovered_at_s",
        "_began_at_s",
        "_ended_at_s",
        "_restored_at_s",
    )

    def __init__(self) -> None:
        self._started_at_s = monotonic_s()
        # The newest answer of the store that is known, also those to peers.
        self._answered_at_s = self._started_at_s
        # When the store answered again after the last failed call.
        self._recovered_at_s = float("-inf")
        # The last outage in which entries may have expired, seen here or by a peer.
        self._began_at_s = float("-inf")
        self._ended_at_s = float("-inf")
        self._restored_at_s = float("-inf")

    def record_answer(self, age_s: float) -> None:
        """Record that the store answered this instance or a peer.

        Parameters
        ----------
        age_s : float
            How long ago, in seconds.
        """
        self._answered_at_s = max(self._answered_at_s, monotonic_s() - age_s)

    def record_recovery(self) -> None:
        """Record that the store answers again now, after a call that failed."""
        now_s = self._recovered_at_s = monotonic_s()
        if now_s - self._answered_at_s >= MIN_EXPIRY_OUTAGE_S:
            self._began_at_s, self._ended_at_s = self._answered_at_s, now_s

    def record_peer_outage(self, age: OutageAge) -> None:
        """Record an outage that a peer reports.

        Parameters
        ----------
        age : OutageAge
            How long ago it began and ended. The first known end of an outage counts,
            so that further reports of it do not prolong the grace period.
        """
        now_s = monotonic_s()
        began_at_s, ended_at_s = now_s - age.began_age_s, now_s - age.ended_age_s
        is_known = began_at_s < self._ended_at_s
        if is_known and ended_at_s < self._ended_at_s + EXPIRED_ENTRY_GRACE_S:
            return
        self._began_at_s, self._ended_at_s = began_at_s, ended_at_s

    def record_restore(self) -> None:
        """Record that the store has returned from an older copy.

        Entries that the copy lacks are written again by their servers, so they are
        treated like entries that expired during an outage.
        """
        self._restored_at_s = monotonic_s()

    @property
    def age(self) -> OutageAge:
        """How long ago the last outage or restore was, for peers."""
        now_s = monotonic_s()
        if self._restored_at_s > self._ended_at_s:
            age_s = now_s - self._restored_at_s
            return OutageAge(age_s, age_s)
        return OutageAge(now_s - self._began_at_s, now_s - self._ended_at_s)

    @property
    def evacuation_grace_end_s(self) -> float:
        """Until when the store may lack an evacuation, on the hub's clock."""
        latest_s = max(self._recovered_at_s, self._ended_at_s, self._restored_at_s)
        return latest_s + EXPIRED_ENTRY_GRACE_S

    @property
    def is_in_grace(self) -> bool:
        """Whether entries that the store lacks may be written again soon."""
        latest_s = max(self._ended_at_s, self._restored_at_s)
        return monotonic_s() < latest_s + EXPIRED_ENTRY_GRACE_S

    def is_local(self, peers: Iterable[Member]) -> bool:
        """Return whether a peer had answers of the store during the last outage.

        The outage was local then, and no entries expired: they expire only while the
        store itself is unavailable.

        Parameters
        ----------
        peers : iterable of Member
            The live instances.

        Returns
        -------
        bool
            False shortly after a restore, which concerns all instances.
        """
        if monotonic_s() < self._restored_at_s + EXPIRED_ENTRY_GRACE_S:
            return False
        return any(
            peer.heartbeat_at_s > self._ended_at_s
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
        since_s = max(self._started_at_s, self._recovered_at_s)
        return min(STORE_AVAILABLE_LIMIT_S, int(monotonic_s() - since_s))
