"""Wire form of announcements: JSON arrays, with one class for each kind of row."""

from dataclasses import dataclass, replace
from typing import Any

from berylhaven.membership import Announcement

READY_FLAG = 1
LEAVING_FLAG = 2
# Ages are sent in tenths of a second, rounded up so that no age decreases in transit.
AGE_STEPS_PER_S = 10
# Load ratios are sent in hundredths.
LOAD_STEPS = 100


@dataclass(slots=True, frozen=True)
class MemberRow:
    """A full announcement (13 elements), for receivers that lack the run."""

    # The announcement of the member.
    announcement: Announcement
    # The age of the announcement, in seconds.
    age_s: float

    def to_json(self) -> list:
        """Encode the row as a JSON array."""
        announcement = self.announcement
        return [
            announcement.peers_address,
            announcement.callers_address,
            announcement.data_centre,
            announcement.firm,
            announcement.incarnation,
            announcement.nonce,
            announcement.sequence,
            _flags(announcement),
            round(announcement.load_ratio * LOAD_STEPS),
            announcement.uptime_s,
            announcement.catalogue_revision,
            announcement.catalogue_digest,
            _age_steps(self.age_s),
        ]

    @classmethod
    def from_json(cls, row: Any) -> "MemberRow":
        """Decode a row.

        Parameters
        ----------
        row : object
            A JSON value received from a peer.

        Returns
        -------
        MemberRow
            The decoded row.

        Raises
        ------
        ValueError
            If the value is not a row of this kind.
        """
        values = _validated(
            row, (str, str, str, str, int, str) + (int,) * 5 + (str, int)
        )
        announcement = Announcement(
            peers_address=values[0],
            callers_address=values[1],
            data_centre=values[2],
            firm=values[3],
            incarnation=values[4],
            nonce=values[5],
            sequence=values[6],
            is_ready=bool(values[7] & READY_FLAG),
            is_leaving=bool(values[7] & LEAVING_FLAG),
            load_ratio=values[8] / LOAD_STEPS,
            uptime_s=values[9],
            catalogue_revision=values[10],
            catalogue_digest=values[11],
        )
        return cls(announcement, _age_s(values[12]))


@dataclass(slots=True, frozen=True)
class HeartbeatRow:
    """The variable fields of an announcement (7 elements), if the run is known."""

    # The nonce of the run.
    nonce: str
    # The sequence number of the announcement.
    sequence: int
    # The sum of READY_FLAG and LEAVING_FLAG, as far as they apply.
    flags: int
    # Calls in flight, in hundredths of the instance's concurrency limit.
    load_percent: int
    # Seconds since the start of the run.
    uptime_s: int
    # The revision of the active catalogue.
    catalogue_revision: int
    # The age of the announcement, in seconds.
    age_s: float

    @classmethod
    def from_announcement(
        cls, announcement: Announcement, age_s: float
    ) -> "HeartbeatRow":
        """Return the heartbeat of an announcement."""
        return cls(
            announcement.nonce,
            announcement.sequence,
            _flags(announcement),
            round(announcement.load_ratio * LOAD_STEPS),
            announcement.uptime_s,
            announcement.catalogue_revision,
            age_s,
        )

    def to_json(self) -> list:
        """Encode the row as a JSON array."""
        return [
            self.nonce,
            self.sequence,
            self.flags,
            self.load_percent,
            self.uptime_s,
            self.catalogue_revision,
            _age_steps(self.age_s),
        ]

    @classmethod
    def from_json(cls, row: Any) -> "HeartbeatRow":
        """Decode a row; raise ValueError if the value is not a row of this kind."""
        values = _validated(row, (str,) + (int,) * 6)
        return cls(*values[:6], age_s=_age_s(values[6]))

    def applied_to(self, known: Announcement) -> Announcement:
        """Return an earlier announcement of the run, updated with the row's fields."""
        is_same_revision = self.catalogue_revision == known.catalogue_revision
        return replace(
            known,
            sequence=self.sequence,
            is_ready=bool(self.flags & READY_FLAG),
            is_leaving=bool(self.flags & LEAVING_FLAG),
            load_ratio=self.load_percent / LOAD_STEPS,
            uptime_s=self.uptime_s,
            catalogue_revision=self.catalogue_revision,
            catalogue_digest=known.catalogue_digest if is_same_revision else "",
        )


@dataclass(slots=True, frozen=True)
class SuspicionRow:
    """A failed contact with a member (2 elements)."""

    # The nonce of the run that did not answer.
    nonce: str
    # Seconds since the contact began.
    age_s: float

    def to_json(self) -> list:
        """Encode the row as a JSON array."""
        return [self.nonce, _age_steps(self.age_s)]

    @classmethod
    def from_json(cls, row: Any) -> "SuspicionRow":
        """Decode a row; raise ValueError if the value is not a row of this kind."""
        nonce, age_steps = _validated(row, (str, int))
        return cls(nonce, _age_s(age_steps))


def _flags(announcement: Announcement) -> int:
    ready = READY_FLAG if announcement.is_ready else 0
    leaving = LEAVING_FLAG if announcement.is_leaving else 0
    return ready | leaving


def _age_steps(age_s: float) -> int:
    return int(max(0.0, age_s) * AGE_STEPS_PER_S) + 1


def _age_s(age_steps: int) -> float:
    if age_steps < 0:
        raise ValueError(f"row: age {age_steps} is negative")
    return age_steps / AGE_STEPS_PER_S


def _validated(row: Any, types: tuple[type, ...]) -> list:
    if not isinstance(row, list) or len(row) != len(types):
        raise ValueError(f"row is not an array of {len(types)} elements")
    for value, kind in zip(row, types, strict=True):
        if type(value) is not kind:
            raise ValueError(f"row: {value!r} is not of type {kind.__name__}")
    return row
