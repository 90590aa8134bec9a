"""One peer: its last announcement and the evidence of its failure."""

import enum
from dataclasses import dataclass

from berylhaven.membership._announcement import Announcement

# A failed contact makes a peer suspect only after no announcement for this time.
SUSPECT_AFTER_S = 3.0
# Without an announcement for this time a peer is suspect even if no contact failed. In
# a working fleet announcements arrive far more often.
HEARTBEAT_TIMEOUT_S = 60.0
# How long a peer is suspect before it is considered gone.
GONE_AFTER_S = 20.0


class PeerState(enum.Enum):
    """The state of a peer in the table."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(slots=True)
class Peer:
    """A peer's last announcement, and the evidence whether the peer is alive."""

    # The newest announcement received, from the peer itself or through another.
    announcement: Announcement
    # The latest time at which the peer can have made it, on this instance's hub clock.
    announced_at_s: float
    # When the failed contact that raised the suspicion began, at any instance; None if
    # there was none.
    suspected_at_s: float | None = None
    # When this process last resumed from a pause; the heartbeat timeout restarts then.
    resumed_at_s: float = float("-inf")
    # When this instance last started a contact with the peer.
    contacted_at_s: float = float("-inf")

    def suspect_since_s(self) -> float:
        """Return when the peer becomes suspect without a further announcement.

        Returns
        -------
        float
            The time on the hub's clock; it may be in the future.
        """
        last_sign_of_life_at_s = max(self.announced_at_s, self.resumed_at_s)
        by_timeout_s = last_sign_of_life_at_s + HEARTBEAT_TIMEOUT_S
        if self.suspected_at_s is None or self.suspected_at_s < last_sign_of_life_at_s:
            return by_timeout_s
        by_suspicion_s = max(
            self.suspected_at_s, last_sign_of_life_at_s + SUSPECT_AFTER_S
        )
        return min(by_timeout_s, by_suspicion_s)

    def gone_since_s(self) -> float:
        """Return when the peer is gone without a further announcement."""
        return self.suspect_since_s() + GONE_AFTER_S

    def state(self, now_s: float) -> PeerState:
        """Return the state of the peer at a point in time."""
        suspect_since_s = self.suspect_since_s()
        if now_s >= suspect_since_s + GONE_AFTER_S:
            return PeerState.GONE
        if self.announcement.is_leaving:
            return PeerState.LEAVING
        if now_s >= suspect_since_s:
            return PeerState.SUSPECT
        return PeerState.LIVE

    def announcement_age_s(self, now_s: float) -> float:
        """Return the age of the peer's announcement in seconds."""
        return now_s - self.announced_at_s
