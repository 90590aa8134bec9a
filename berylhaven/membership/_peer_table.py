"""The table of peers, built from announcements."""

import enum

from berylhaven.blackboard import Section
from berylhaven.membership._announcement import Announcement
from berylhaven.membership._peer import Peer, PeerState

# Older announcements are ignored, so that relayed ones cannot revive a peer that has
# stopped.
ANNOUNCEMENT_AGE_LIMIT_S = 20.0
# A gone peer is contacted at a low rate for this time, so that partitions heal.
FORGET_AFTER_S = 7_200.0
# Limits the table's memory; the peer that has been gone longest is evicted first.
PEER_LIMIT = 1_024


class MergeResult(enum.Enum):
    """The effect of an announcement on the table."""

    # No effect: an announcement at least as new is stored, or this one is too old.
    IGNORED = "ignored"
    # The peer is alive, and nothing else has changed.
    REFRESHED = "refreshed"
    # The peer is new, restarted or back, or has changed in a way to be gossiped soon.
    CHANGED = "changed"


class PeerTable:
    """Peers by address.

    Parameters
    ----------
    own_address : str
        This instance's HOST:PORT for peers; announcements of it are ignored.
    """

    __slots__ = ("_own_address", "_peers", "_addresses_by_nonce")

    def __init__(self, own_address: str) -> None:
        self._own_address = own_address
        self._peers: dict[str, Peer] = {}
        self._addresses_by_nonce: dict[str, str] = {}

    def merge(
        self, announcement: Announcement, now_s: float, age_s: float = 0.0
    ) -> MergeResult:
        """Merge an announcement into the table, unless a newer one is stored.

        Parameters
        ----------
        announcement : Announcement
            The announcement, received from the peer itself or through another.
        now_s : float
            The time on the hub's clock.
        age_s : float
            The age of the announcement in seconds; each forwarding instance adds the
            time for which it stored it.

        Returns
        -------
        MergeResult
            The effect on the table.
        """
        address = announcement.peers_address
        if address == self._own_address or age_s > ANNOUNCEMENT_AGE_LIMIT_S:
            return MergeResult.IGNORED
        known = self._peers.get(address)
        if known is None:
            return self._add(announcement, now_s, age_s)
        if not announcement.is_newer_than(known.announcement):
            return MergeResult.IGNORED
        return self._replace(known, announcement, now_s, age_s)

    def record_suspicion(
        self, peers_address: str, incarnation: int, at_s: float
    ) -> bool:
        """Record the suspicion of a peer after a failed contact.

        Parameters
        ----------
        peers_address : str
            The peer's HOST:PORT for peers.
        incarnation : int
            The incarnation that was contacted; other incarnations are not suspected.
        at_s : float
            When the contact began, on the hub's clock.

        Returns
        -------
        bool
            Whether this is a new suspicion.
        """
        peer = self._peers.get(peers_address)
        if peer is None or peer.announcement.incarnation != incarnation:
            return False
        if at_s <= peer.announced_at_s or at_s <= (
            peer.suspected_at_s or float("-inf")
        ):
            return False
        is_first = (
            peer.suspected_at_s is None or peer.suspected_at_s < peer.announced_at_s
        )
        # A later failure must not delay the time at which the peer is gone.
        if is_first:
            peer.suspected_at_s = at_s
        return is_first

    def record_resume(self, now_s: float) -> None:
        """Restart the heartbeat timeouts after a pause of this process.

        Parameters
        ----------
        now_s : float
            When the pause was detected. Announcements missing until then are due to
            this process, not to its peers.
        """
        for peer in self._peers.values():
            peer.resumed_at_s = now_s

    def forget(self, now_s: float) -> None:
        """Remove the peers that have been gone for longer than `FORGET_AFTER_S`."""
        for address, peer in list(self._peers.items()):
            if now_s - peer.gone_since_s() > FORGET_AFTER_S:
                self._drop(address)

    def peers(self) -> list[Peer]:
        """Return all peers, including gone ones."""
        return list(self._peers.values())

    def peer(self, peers_address: str) -> Peer | None:
        """Return the peer with this address, or None."""
        return self._peers.get(peers_address)

    def peer_by_nonce(self, nonce: str) -> Peer | None:
        """Return the peer whose run has this nonce, or None."""
        return self._peers.get(self._addresses_by_nonce.get(nonce, ""))

    def in_state(self, now_s: float, *states: PeerState) -> list[Peer]:
        """Return the peers that are in one of the given states."""
        return [p for p in self._peers.values() if p.state(now_s) in states]

    def _add(
        self, announcement: Announcement, now_s: float, age_s: float
    ) -> MergeResult:
        if len(self._peers) >= PEER_LIMIT and not self._evict_gone_peer(now_s):
            return MergeResult.IGNORED
        address = announcement.peers_address
        self._peers[address] = Peer(announcement, now_s - age_s)
        self._addresses_by_nonce[announcement.nonce] = address
        return MergeResult.CHANGED

    def _replace(
        self, known: Peer, announcement: Announcement, now_s: float, age_s: float
    ) -> MergeResult:
        before = known.announcement
        was_gone = known.state(now_s) is PeerState.GONE
        known.announcement = announcement
        known.announced_at_s = max(known.announced_at_s, now_s - age_s)
        if announcement.incarnation != before.incarnation:
            known.announced_at_s = now_s - age_s
            known.suspected_at_s = None
            self._addresses_by_nonce.pop(before.nonce, None)
            self._addresses_by_nonce[announcement.nonce] = announcement.peers_address
        is_changed = was_gone or announcement.needs_prompt_gossip_after(before)
        return MergeResult.CHANGED if is_changed else MergeResult.REFRESHED

    def _evict_gone_peer(self, now_s: float) -> bool:
        gone = self.in_state(now_s, PeerState.GONE)
        if not gone:
            return False
        longest = min(gone, key=lambda peer: peer.gone_since_s())
        self._drop(longest.announcement.peers_address)
        return True

    def _drop(self, address: str) -> None:
        peer = self._peers.pop(address)
        self._addresses_by_nonce.pop(peer.announcement.nonce, None)


# Written by the exchange controller; the table changes with each heartbeat.
MEMBERSHIP_SECTION = Section[PeerTable]("membership")
