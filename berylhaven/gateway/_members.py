"""The entry instances that know of one another."""

import zlib
from dataclasses import dataclass
from random import Random
from typing import Any

# An instance whose sign of life has not risen for so long takes no callers.
LOCAL_UNRESPONSIVE_AFTER_S = 3.0
# Instances of other data centres are heard of more rarely.
REMOTE_UNRESPONSIVE_AFTER_S = 8.0
# An instance that was silent for so long is forgotten.
EVICT_AFTER_S = 60.0
# With a smaller share of live ones among those heard within the time below, this
# instance takes itself as cut off.
ISOLATION_LIVE_RATIO = 0.34
ISOLATION_TRUST_S = 20.0
# Instances of a data centre that read the store and talk to other data centres; two, so
# that news goes on while one of them is cut off.
RELAYS_PER_DATA_CENTRE = 2
# A message tells of so many instances of another data centre, and one to another data
# centre of so many of this one, drawn anew each time.
REMOTE_ROWS_LIMIT = 16
# And of so many of the receiver's own data centre.
RETURNED_ROWS_LIMIT = 4
ROW_LENGTH = 8


@dataclass(slots=True)
class Member:
    """What is known of one instance."""

    # Where other instances reach it; it names the instance.
    peers_address: str
    # Where callers reach it.
    callers_address: str
    # The data centre in which it stands.
    data_centre: str
    # Rises with each start of its process.
    incarnation: int
    # Rises with each sign of life.
    heartbeat: int
    # Whether it takes callers.
    is_ready: bool
    # The store's revision up to which it knows all changes.
    revision: int = 0
    # For how many whole seconds the store has answered it without an outage.
    store_available_s: int = 0
    # When its beat was last seen to rise, on the hub's clock.
    heartbeat_at_s: float = 0.0

    def to_row(self) -> list:
        """Return the row of a message."""
        return [
            self.peers_address,
            self.callers_address,
            self.data_centre,
            self.incarnation,
            self.heartbeat,
            int(self.is_ready),
            self.revision,
            self.store_available_s,
        ]

    def is_newer_than(self, other: "Member") -> bool:
        """Tell whether this is later news of the same instance."""
        return (self.incarnation, self.heartbeat) > (other.incarnation, other.heartbeat)


def decode_row(row: Any) -> Member:
    """Return what a row of a message tells.

    Parameters
    ----------
    row : object
        As decoded from JSON.

    Returns
    -------
    Member
        Without the time of hearing.

    Raises
    ------
    ValueError
        If the row is malformed.
    """
    if not isinstance(row, list) or len(row) != ROW_LENGTH:
        raise ValueError("a member must be a row of eight values")
    if not all(isinstance(value, str) for value in row[:3]):
        raise ValueError("a member's addresses and data centre must be text")
    if not all(type(value) is int and value >= 0 for value in row[3:]):
        raise ValueError(
            "a member's incarnation, beat, state and revision must be numbers"
        )
    return Member(row[0], row[1], row[2], row[3], row[4], bool(row[5]), *row[6:])


class MemberTable:
    """This instance and those that it has heard of.

    Parameters
    ----------
    own : Member
        This instance.
    expects_peers : bool
        Whether the settings name other instances.
    """

    __slots__ = ("own", "expects_peers", "_others", "_most_count")

    def __init__(self, own: Member, expects_peers: bool = False) -> None:
        # This instance.
        self.own = own
        # Whether there are other instances, heard of or not.
        self.expects_peers = expects_peers
        self._others: dict[str, Member] = {}
        self._most_count = 1

    @property
    def peak_count(self) -> int:
        """The most instances that were known at one time."""
        return self._most_count

    def merge(self, member: Member, now_s: float) -> bool:
        """Take in news of an instance.

        Parameters
        ----------
        member : Member
            What a peer told.
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        bool
            Whether the instance was not known before.
        """
        if member.peers_address == self.own.peers_address:
            return False
        known = self._others.get(member.peers_address)
        # After a step back of its wall clock a new start may bear a smaller number.
        is_trusted = known is not None and self._is_live(known, now_s)
        if is_trusted and not member.is_newer_than(known):
            return False
        member.heartbeat_at_s = now_s
        self._others[member.peers_address] = member
        self._most_count = max(self._most_count, len(self._others) + 1)
        return known is None

    def mark_unreachable(self, peers_address: str) -> None:
        """Take in that an instance refused a connection; it must be heard anew."""
        member = self._others.get(peers_address)
        if member is not None:
            member.heartbeat_at_s = float("-inf")

    def evict_unresponsive(self, now_s: float) -> None:
        """Forget instances that were silent for long."""
        for address, member in list(self._others.items()):
            silent_s = now_s - member.heartbeat_at_s
            if EVICT_AFTER_S < silent_s < float("inf"):
                del self._others[address]

    def live(self, now_s: float) -> list[Member]:
        """Return the other instances that gave a sign of life lately."""
        return [m for m in self._others.values() if self._is_live(m, now_s)]

    def ready(self, now_s: float) -> list[Member]:
        """Return the instances that take callers, this one too.

        Where most fell silent at once, it is more likely that this instance is cut off
        than that they are gone, and callers may still reach them.
        """
        live = self.live(now_s)
        known = [
            m
            for m in self._others.values()
            if now_s - m.heartbeat_at_s <= ISOLATION_TRUST_S
        ]
        if len(live) < ISOLATION_LIVE_RATIO * len(known):
            live = known
        members = [m for m in live if m.is_ready]
        return [self.own, *members] if self.own.is_ready else members

    def local_rows(self, now_s: float, random: Random) -> list[list]:
        """Return the rows of a message that stays in this data centre.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        random : random.Random
            The source of random numbers.

        Returns
        -------
        list of list
            This instance, all live ones near, and some of the others.
        """
        near, far = self._near_and_far(now_s)
        told = [self.own, *near, *_some(far, REMOTE_ROWS_LIMIT, random)]
        return [member.to_row() for member in told]

    def remote_rows(
        self, now_s: float, random: Random, data_centre: str | None
    ) -> list[list]:
        """Return the rows of a message to another data centre, where bytes cost.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        random : random.Random
            The source of random numbers.
        data_centre : str or None
            Where the receiver stands; None if that is not known.

        Returns
        -------
        list of list
            This instance, some others of this data centre, and a few of the receiver's,
            by which an instance that has just started finds those near it.
        """
        near, far = self._near_and_far(now_s)
        theirs = [member for member in far if member.data_centre == data_centre]
        told = [self.own, *_some(near, REMOTE_ROWS_LIMIT - 1, random)]
        told += _some(theirs, RETURNED_ROWS_LIMIT, random)
        return [member.to_row() for member in told]

    def _near_and_far(self, now_s: float) -> tuple[list[Member], list[Member]]:
        near: list[Member] = []
        far: list[Member] = []
        for member in self.live(now_s):
            is_here = member.data_centre == self.own.data_centre
            (near if is_here else far).append(member)
        return near, far

    def relays(self, now_s: float) -> list[Member]:
        """Return the instances that read the store for this data centre.

        All instances that know the same members name the same ones.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        list of Member
            Ready ones; this instance may be among them.
        """
        near = [
            member
            for member in self.live(now_s)
            if member.data_centre == self.own.data_centre and member.is_ready
        ]
        if self.own.is_ready:
            near.append(self.own)
        # One that does not hear the store gives way to the next.
        near.sort(key=lambda member: (member.store_available_s == 0, rank(member)))
        return near[:RELAYS_PER_DATA_CENTRE]

    def newest_revision(self, now_s: float) -> int:
        """Return the highest revision that a live instance knows."""
        return max((m.revision for m in self.live(now_s)), default=0)

    def data_centre(self, peers_address: str) -> str | None:
        """Return where an instance is known to stand, or None."""
        member = self._others.get(peers_address)
        return member.data_centre if member else None

    def is_local(self, peers_address: str) -> bool:
        """Tell whether an instance is known to stand in this data centre."""
        return self.data_centre(peers_address) == self.own.data_centre

    def random_peer(self, random: Random, now_s: float, is_near: bool) -> Member | None:
        """Return a live instance to talk to, or None.

        Parameters
        ----------
        random : random.Random
            The source of random numbers.
        now_s : float
            The time on the hub's clock.
        is_near : bool
            Whether it shall stand in the same data centre or in another.

        Returns
        -------
        Member or None
            None if there is none.
        """
        found = [
            member
            for member in self.live(now_s)
            if (member.data_centre == self.own.data_centre) == is_near
        ]
        return random.choice(found) if found else None

    def _is_live(self, member: Member, now_s: float) -> bool:
        is_near = member.data_centre == self.own.data_centre
        limit_s = LOCAL_UNRESPONSIVE_AFTER_S if is_near else REMOTE_UNRESPONSIVE_AFTER_S
        return now_s - member.heartbeat_at_s <= limit_s


def rank(member: Member) -> int:
    """Return a number that orders instances alike everywhere, and evenly."""
    return zlib.crc32(member.peers_address.encode())


def _some(members: list[Member], limit: int, random: Random) -> list[Member]:
    return random.sample(members, min(limit, len(members)))
