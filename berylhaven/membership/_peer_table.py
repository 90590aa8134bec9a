"""The table of peers, merged from announcements."""

import enum
from dataclasses import dataclass

from berylhaven.blackboard import Section
from berylhaven.membership._announcement import Announcement

SUSPECT_AFTER_S = 5.0
GONE_AFTER_S = 30.0


class PeerState(enum.Enum):
    """What the table takes a peer to be."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(slots=True)
class Peer:
    """A peer's last announcement and when it became known."""

    # The newest announcement heard, from the peer itself or through another.
    announcement: Announcement
    # When that announcement was heard, on the hub's clock.
    heard_at_s: float

    def state(self, now_s: float) -> PeerState:
        """Return what to take the peer to be at a time."""
        silence_s = now_s - self.heard_at_s
        if silence_s > GONE_AFTER_S:
            return PeerState.GONE
        if self.announcement.is_leaving:
            return PeerState.LEAVING
        if silence_s > SUSPECT_AFTER_S:
            return PeerState.SUSPECT
        return PeerState.LIVE


class PeerTable:
    """Peers by address.

    Parameters
    ----------
    own_address : str
        The peers' address of this entry instance, which is not its own peer.
    """

    __slots__ = ("_own_address", "_peers")

    def __init__(self, own_address: str) -> None:
        self._own_address = own_address
        self._peers: dict[str, Peer] = {}

    def merge(self, announcement: Announcement, now_s: float) -> bool:
        """Take in an announcement, unless a newer one is known.

        Parameters
        ----------
        announcement : Announcement
            As heard from the peer or through another.
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        bool
            Whether the table changed.
        """
        address = announcement.peers_address
        if address == self._own_address:
            return False
        known = self._peers.get(address)
        if known is not None and not announcement.is_newer_than(known.announcement):
            return False
        self._peers[address] = Peer(announcement, now_s)
        return True

    def peers(self) -> list[Peer]:
        """Return all peers, gone ones too."""
        return list(self._peers.values())

    def peer(self, peers_address: str) -> Peer | None:
        """Return the peer of this address, or None."""
        return self._peers.get(peers_address)

    def in_state(self, now_s: float, *states: PeerState) -> list[Peer]:
        """Return the peers that are in one of some states."""
        return [p for p in self._peers.values() if p.state(now_s) in states]


# Written by the membership controller; the table changes with each heartbeat.
MEMBERSHIP_SECTION = Section[PeerTable]("membership")
