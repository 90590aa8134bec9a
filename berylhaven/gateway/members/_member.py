"""The state of one instance as gossip tells it."""

from dataclasses import dataclass
from typing import Any

from berylhaven.gateway._store_revision import NO_REVISION, StoreRevision

# An instance counts on from the incarnation that others have of it, and its message
# holds integers up to 64 bits.
RUN_LIMIT = 2**53
# Without the era of the store, which may follow.
ROW_LENGTH = 8


@dataclass(slots=True)
class Member:
    """The known state of one instance."""

    # HOST:PORT for the other instances; it identifies the instance.
    peers_address: str
    # HOST:PORT for callers.
    callers_address: str
    # Its data centre.
    data_centre: str
    # Higher after each start of its process.
    incarnation: int
    # Incremented with each gossip round and each urgent notification.
    heartbeat: int
    # Whether it accepts callers.
    is_ready: bool
    # The store's revision up to which it has all changes.
    revision: StoreRevision = NO_REVISION
    # For how many whole seconds the store has answered it without an outage.
    store_available_s: int = 0
    # How old its heartbeat was when this state was received, in seconds.
    age_s: float = 0.0
    # When it had this heartbeat, on the hub's clock.
    heartbeat_at_s: float = 0.0
    # Whether an exchange with it has failed since.
    is_unreachable: bool = False
    # The digest of its crash evidence; None if unknown. Only the sender of a message
    # tells its own.
    evidence_digest: int | None = None
    # A bit for each service of which half of the servers or more do not answer it.
    unreached_mask: int = 0

    def to_row(self) -> list:
        """Return the member as a row of a message.

        The era is left out if the store has none, so that instances of earlier releases
        accept the row.
        """
        era = [self.revision.era] if self.revision.era else []
        return [
            self.peers_address,
            self.callers_address,
            self.data_centre,
            self.incarnation,
            self.heartbeat,
            # Instances of earlier releases take any value but zero for ready.
            (self.unreached_mask << 1 | 1) if self.is_ready else 0,
            self.revision.number,
            self.store_available_s,
            *era,
        ]

    def is_newer_than(self, other: "Member") -> bool:
        """Return whether this is a later state of the same instance."""
        return (self.incarnation, self.heartbeat) > (other.incarnation, other.heartbeat)


def decode_row(row: Any) -> Member:
    """Decode a row of a message.

    Parameters
    ----------
    row : object
        As decoded from JSON.

    Returns
    -------
    Member
        Without the age of the heartbeat.

    Raises
    ------
    ValueError
        If the row is malformed.
    """
    if not isinstance(row, list) or len(row) not in (ROW_LENGTH, ROW_LENGTH + 1):
        raise ValueError(
            f"member row is not a list of {ROW_LENGTH} values and the store's era"
        )
    if not all(isinstance(value, str) for value in row[:3]):
        raise ValueError(
            "addresses and data centre of a member row are not all text: "
            f"{row[:3]!r:.200}"
        )
    if not all(type(value) is int and value >= 0 for value in row[3:]):
        raise ValueError(
            "incarnation, heartbeat, readiness, revision, store availability and era "
            f"in the member row of {row[0][:100]!r} are not all non-negative integers: "
            f"{row[3:]!r:.200}"
        )
    if max(row[3:5]) >= RUN_LIMIT:
        raise ValueError(
            f"incarnation or heartbeat in the member row of {row[0][:100]!r} is not "
            f"below {RUN_LIMIT}: {row[3:5]}"
        )
    era = row[ROW_LENGTH] if len(row) > ROW_LENGTH else 0
    return Member(
        peers_address=row[0],
        callers_address=row[1],
        data_centre=row[2],
        incarnation=row[3],
        heartbeat=row[4],
        is_ready=bool(row[5]),
        unreached_mask=row[5] >> 1,
        revision=StoreRevision(era, row[6]),
        store_available_s=row[7],
    )
