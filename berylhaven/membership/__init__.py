"""Which entry instances there are, and what each says of itself."""

from berylhaven.membership._announcement import Announcement
from berylhaven.membership._identity import Identity, new_identity
from berylhaven.membership._local_instance import LocalInstance
from berylhaven.membership._peer_table import (
    MEMBERSHIP_SECTION,
    Peer,
    PeerState,
    PeerTable,
)

__all__ = [
    "MEMBERSHIP_SECTION",
    "Announcement",
    "Identity",
    "LocalInstance",
    "Peer",
    "PeerState",
    "PeerTable",
    "new_identity",
]
