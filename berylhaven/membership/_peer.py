"""One peer: what it said last, and what speaks against its being alive."""

import enum
from dataclasses import dataclass

from berylhaven.membership._announcement import Announcement

# A failed contact counts only against a peer that was silent for as long.
SUSPECT_AFTER_S = 3.0
# Silence alone makes a peer suspect; in a working fleet news comes far sooner.
HEARTBEAT_TIMEOUT_S = 60.0
# How long a peer stays suspect before it is taken to be gone.
GONE_AFTER_S = 20.0


class PeerState(enum.Enum):
    """What the table takes a peer to be."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(slots=True)
class Peer:
    """A peer's last announcement, and the evidence for and against its life."""

    # The newest announcement heard, from the peer itself or through another.
    announcement: Announcement
    # When the peer made that announcement, at the latest, on the hub's clock here.
    announced_at_s: float
    # When the last failed contact began, anyone's; None if there was none.
    suspected_at_s: float | None = None
    # When this process last woke from a pause, since which silence counts.
    resumed_at_s: float = float("-inf")
    # When this instance last began a contact with the peer.
    contacted_at_s: float = float("-inf")

    def suspect_since_s(self) -> float:
        """Return the time from which the peer is suspect, unless it is heard again.

        Returns
        -------
        float
            On the hub's clock; it may lie in the future.
        """
        heard_at_s = max(self.announced_at_s, self.resumed_at_s)
        by_silence_s = heard_at_s + HEARTBEAT_TIMEOUT_S
        if self.suspected_at_s is None or self.suspected_at_s < heard_at_s:
            return by_silence_s
        by_doubt_s = max(self.suspected_at_s, heard_at_s + SUSPECT_AFTER_S)
        return min(by_silence_s, by_doubt_s)

    def gone_since_s(self) -> float:
        """Return the time from which the peer is gone, unless it is heard again."""
        return self.suspect_since_s() + GONE_AFTER_S

    def state(self, now_s: float) -> PeerState:
        """Return what to take the peer to be at a time."""
        suspect_since_s = self.suspect_since_s()
        if now_s >= suspect_since_s + GONE_AFTER_S:
            return PeerState.GONE
        if self.announcement.is_leaving:
            return PeerState.LEAVING
        if now_s >= suspect_since_s:
            return PeerState.SUSPECT
        return PeerState.LIVE

    def announcement_age_s(self, now_s: float) -> float:
        """Return how old the peer's announcement is, in seconds."""
        return now_s - self.announced_at_s
