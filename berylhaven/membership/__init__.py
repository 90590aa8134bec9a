"""Membership of entry instances: announcements, peer states and draining."""

from berylhaven.membership._announcement import Announcement
from berylhaven.membership._drain import (
    DRAIN_SECTION,
    Drain,
    DrainProgress,
    DrainStage,
)
from berylhaven.membership._identity import Identity, new_identity
from berylhaven.membership._local_instance import LocalInstance
from berylhaven.membership._own_address_guard import OwnAddressGuard
from berylhaven.membership._pause import PAUSE_SECTION, Pause
from berylhaven.membership._pause_detector import PauseDetector
from berylhaven.membership._peer import (
    GONE_AFTER_S,
    HEARTBEAT_TIMEOUT_S,
    SUSPECT_AFTER_S,
    Peer,
    PeerState,
)
from berylhaven.membership._peer_table import (
    ANNOUNCEMENT_AGE_LIMIT_S,
    FORGET_AFTER_S,
    MEMBERSHIP_SECTION,
    PEER_LIMIT,
    MergeResult,
    PeerTable,
)
from berylhaven.membership._watch_holders import watch_holders

__all__ = [
    "DRAIN_SECTION",
    "FORGET_AFTER_S",
    "GONE_AFTER_S",
    "MEMBERSHIP_SECTION",
    "ANNOUNCEMENT_AGE_LIMIT_S",
    "PAUSE_SECTION",
    "PEER_LIMIT",
    "HEARTBEAT_TIMEOUT_S",
    "SUSPECT_AFTER_S",
    "Announcement",
    "Drain",
    "DrainProgress",
    "DrainStage",
    "Identity",
    "LocalInstance",
    "MergeResult",
    "OwnAddressGuard",
    "Pause",
    "PauseDetector",
    "Peer",
    "PeerState",
    "PeerTable",
    "new_identity",
    "watch_holders",
]
