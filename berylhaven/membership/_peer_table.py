"""The table of peers, merged from announcements."""

import enum

from berylhaven.blackboard import Section
from berylhaven.membership._announcement import Announcement
from berylhaven.membership._peer import Peer, PeerState

# Older news is not taken in, so that what is relayed cannot raise the dead.
ANNOUNCEMENT_AGE_LIMIT_S = 20.0
# A gone peer is tried again at a low rate for as long, so that partitions heal.
FORGET_AFTER_S = 7_200.0
# Bounds the table's memory; the peers that are gone longest make room.
PEER_LIMIT = 1_024


class MergeResult(enum.Enum):
    """What an announcement did to the table."""

    # An announcement as new or newer is known, or this one is too old.
    IGNORED = "ignored"
    # The peer is alive, and nothing else is new.
    REFRESHED = "refreshed"
    # The peer is new, restarted, back, or says something that others must hear.
    CHANGED = "changed"


class PeerTable:
    """Peers by address.

    Parameters
    ----------
    own_address : str
        The peers' address of this entry instance, which is not its own peer.
    """

    __slots__ = ("_own_address", "_peers", "_addresses_by_nonce")

    def __init__(self, own_address: str) -> None:
        self._own_address = own_address
        self._peers: dict[str, Peer] = {}
        self._addresses_by_nonce: dict[str, str] = {}

    def merge(
        self, announcement: Announcement, now_s: float, age_s: float = 0.0
    ) -> MergeResult:
        """Take in an announcement, unless a newer one is known.

        Parameters
        ----------
        announcement : Announcement
            As heard from the peer or through another.
        now_s : float
            The time on the hub's clock.
        age_s : float
            How old the announcement is; each relay adds what it held it for.

        Returns
        -------
        MergeResult
            What changed.
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
        """Note that a contact with a peer failed.

        Parameters
        ----------
        peers_address : str
            The peer.
        incarnation : int
            The run that was meant; another run is not doubted.
        at_s : float
            When the contact began, on the hub's clock.

        Returns
        -------
        bool
            Whether this is news.
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
        # A later failure must not put off the time at which the peer is gone.
        if is_first:
            peer.suspected_at_s = at_s
        return is_first

    def record_resume(self, now_s: float) -> None:
        """Count silence anew after this process was paused.

        Parameters
        ----------
        now_s : float
            When the pause was noticed. What was not heard until then speaks against
            this process, not against its peers.
        """
        for peer in self._peers.values():
            peer.resumed_at_s = now_s

    def forget(self, now_s: float) -> None:
        """Drop the peers that are gone for long."""
        for address, peer in list(self._peers.items()):
            if now_s - peer.gone_since_s() > FORGET_AFTER_S:
                self._drop(address)

    def peers(self) -> list[Peer]:
        """Return all peers, gone ones too."""
        return list(self._peers.values())

    def peer(self, peers_address: str) -> Peer | None:
        """Return the peer of this address, or None."""
        return self._peers.get(peers_address)

    def peer_by_nonce(self, nonce: str) -> Peer | None:
        """Return the peer whose run has this nonce, or None."""
        return self._peers.get(self._addresses_by_nonce.get(nonce, ""))

    def in_state(self, now_s: float, *states: PeerState) -> list[Peer]:
        """Return the peers that are in one of some states."""
        return [p for p in self._peers.values() if p.state(now_s) in states]

    def _add(
        self, announcement: Announcement, now_s: float, age_s: float
    ) -> MergeResult:
        if len(self._peers) >= PEER_LIMIT and not self._make_room(now_s):
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

    def _make_room(self, now_s: float) -> bool:
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
