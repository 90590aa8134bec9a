"""How announcements travel: JSON arrays, whose places the classes here name."""

from dataclasses import dataclass, replace
from typing import Any

from berylhaven.membership import Announcement

READY_FLAG = 1
LEAVING_FLAG = 2
# Ages travel in tenths of a second, rounded up so that news never grows younger.
AGE_STEPS_PER_S = 10
LOAD_STEPS = 100


@dataclass(slots=True, frozen=True)
class MemberRow:
    """A whole announcement: 13 places, for a receiver that does not know the run."""

    # What the member said of itself.
    announcement: Announcement
    # How old that is, in seconds.
    age_s: float

    def to_json(self) -> list:
        """Return the row as a JSON array."""
        said = self.announcement
        return [
            said.peers_address,
            said.callers_address,
            said.data_centre,
            said.firm,
            said.incarnation,
            said.nonce,
            said.sequence,
            _flags(said),
            round(said.load_ratio * LOAD_STEPS),
            said.uptime_s,
            said.catalogue_revision,
            said.catalogue_digest,
            _age_steps(self.age_s),
        ]

    @classmethod
    def from_json(cls, row: Any) -> "MemberRow":
        """Read a row.

        Parameters
        ----------
        row : object
            A JSON value as a peer sent it.

        Returns
        -------
        MemberRow
            The typed value.

        Raises
        ------
        ValueError
            If it is not such an array.
        """
        values = _checked(row, (str, str, str, str, int, str) + (int,) * 5 + (str, int))
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
    """What changes in an announcement: 7 places, for one who knows the run."""

    # The nonce of the run.
    nonce: str
    # The announcement's sequence number.
    sequence: int
    # READY_FLAG and LEAVING_FLAG.
    flags: int
    # Calls in flight in hundredths of what the instance can have.
    load_percent: int
    # Seconds since the run began.
    uptime_s: int
    # The revision of the catalogue in force.
    catalogue_revision: int
    # How old the announcement is, in seconds.
    age_s: float

    @classmethod
    def of(cls, announcement: Announcement, age_s: float) -> "HeartbeatRow":
        """Return the row of an announcement."""
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
        """Return the row as a JSON array."""
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
        """Read a row; raise ValueError if it is not such an array."""
        values = _checked(row, (str,) + (int,) * 6)
        return cls(*values[:6], age_s=_age_s(values[6]))

    def applied_to(self, known: Announcement) -> Announcement:
        """Return the announcement that the row makes of an earlier one of the run."""
        is_same = self.catalogue_revision == known.catalogue_revision
        return replace(
            known,
            sequence=self.sequence,
            is_ready=bool(self.flags & READY_FLAG),
            is_leaving=bool(self.flags & LEAVING_FLAG),
            load_ratio=self.load_percent / LOAD_STEPS,
            uptime_s=self.uptime_s,
            catalogue_revision=self.catalogue_revision,
            catalogue_digest=known.catalogue_digest if is_same else "",
        )


@dataclass(slots=True, frozen=True)
class SuspicionRow:
    """A failed contact with a member: 2 places."""

    # The nonce of the run that did not answer.
    nonce: str
    # How long ago the contact began, in seconds.
    age_s: float

    def to_json(self) -> list:
        """Return the row as a JSON array."""
        return [self.nonce, _age_steps(self.age_s)]

    @classmethod
    def from_json(cls, row: Any) -> "SuspicionRow":
        """Read a row; raise ValueError if it is not such an array."""
        nonce, age_steps = _checked(row, (str, int))
        return cls(nonce, _age_s(age_steps))


def _flags(announcement: Announcement) -> int:
    ready = READY_FLAG if announcement.is_ready else 0
    leaving = LEAVING_FLAG if announcement.is_leaving else 0
    return ready | leaving


def _age_steps(age_s: float) -> int:
    return int(max(0.0, age_s) * AGE_STEPS_PER_S) + 1


def _age_s(age_steps: int) -> float:
    if age_steps < 0:
        raise ValueError("row: an age is negative")
    return age_steps / AGE_STEPS_PER_S


def _checked(row: Any, types: tuple[type, ...]) -> list:
    if not isinstance(row, list) or len(row) != len(types):
        raise ValueError(f"row: not an array of {len(types)}")
    for value, kind in zip(row, types, strict=True):
        if type(value) is not kind:
            raise ValueError(f"row: {value!r} is not {kind.__name__}")
    return row
