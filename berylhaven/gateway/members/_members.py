"""The membership table: the instances that are known by gossip."""

import zlib
from random import Random

from berylhaven.gateway._store_revision import NO_REVISION, StoreRevision
from berylhaven.gateway.members._member import Member

# An instance of this data centre whose heartbeat is older counts as unresponsive.
LOCAL_UNRESPONSIVE_AFTER_S = 4.5
# Heartbeats of other data centres arrive less often.
REMOTE_UNRESPONSIVE_AFTER_S = 15.0
# An instance of any data centre whose heartbeat is older is not given to callers.
LOCATE_HEARTBEAT_LIMIT_S = 4.5
# How long gossip takes at most to discover the other instances after a start.
DISCOVERY_S = 5.0
# Members without a new heartbeat for this time are evicted.
EVICT_AFTER_S = 60.0
# Relays read the store and gossip with other data centres. Two of them, so that
# updates are still passed on while one of them is isolated.
RELAYS_PER_DATA_CENTRE = 2
# The maximum number of rows of remote instances in a local message, and of local ones
# in a message to another data centre; they are sampled anew for each message.
REMOTE_ROWS_LIMIT = 16
# The maximum number of rows of the receiver's own data centre in a message to it.
RETURNED_ROWS_LIMIT = 4


class MemberTable:
    """This instance and the others that are known by gossip.

    Parameters
    ----------
    own : Member
        This instance.
    expects_peers : bool
        Whether the settings name other instances.
    """

    __slots__ = ("own", "expects_peers", "_others", "_peak_count")

    def __init__(self, own: Member, expects_peers: bool = False) -> None:
        # This instance.
        self.own = own
        # Whether there are other instances, known already or not.
        self.expects_peers = expects_peers
        self._others: dict[str, Member] = {}
        self._peak_count = 1

    @property
    def peak_count(self) -> int:
        """The highest number of instances known at one time, this one included."""
        return self._peak_count

    def merge(self, member: Member, now_s: float) -> bool:
        """Merge the state of an instance if it is newer than the known one.

        A state of this instance that is newer than its own comes from an earlier run
        with a higher incarnation: the wall clock was set back. This run takes a higher
        one still.

        Parameters
        ----------
        member : Member
            The state that a peer has sent.
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        bool
            Whether the instance was unknown before.
        """
        if member.peers_address == self.own.peers_address:
            if member.is_newer_than(self.own):
                self.own.incarnation = member.incarnation + 1
            return False
        known = self._others.get(member.peers_address)
        if known is not None and not member.is_newer_than(known):
            return False
        member.heartbeat_at_s = now_s - member.age_s
        self._others[member.peers_address] = member
        self._peak_count = max(self._peak_count, len(self._others) + 1)
        return known is None

    def newer_state(self, member: Member) -> Member | None:
        """Return the known state of an instance if it is newer than the one sent.

        Parameters
        ----------
        member : Member
            The state of an instance as it sent it itself.

        Returns
        -------
        Member or None
            The state by which its current run learns of an earlier one with a higher
            incarnation.
        """
        known = self._others.get(member.peers_address)
        return known if known is not None and known.is_newer_than(member) else None

    def mark_unreachable(self, peers_address: str) -> None:
        """Treat an instance as unresponsive until a newer state of it is received.

        It refused a connection, or its answer was late or malformed.
        """
        member = self._others.get(peers_address)
        if member is not None:
            member.is_unreachable = True

    def evict_unresponsive(self, now_s: float) -> None:
        """Evict members that are unresponsive for long."""
        for address, member in list(self._others.items()):
            if now_s - member.heartbeat_at_s > EVICT_AFTER_S:
                del self._others[address]

    def live(self, now_s: float) -> list[Member]:
        """Return the other instances with a recent heartbeat."""
        return [m for m in self._others.values() if self._is_live(m, now_s)]

    def reachable(self, now_s: float) -> list[Member]:
        """Return the other instances that may be running, though not all are live."""
        return [
            member
            for member in self._others.values()
            if not member.is_unreachable
            and now_s - member.heartbeat_at_s <= REMOTE_UNRESPONSIVE_AFTER_S
        ]

    def ready(self, now_s: float) -> list[Member]:
        """Return the instances that accept callers, this one included."""
        members = [
            member
            for member in self.live(now_s)
            if member.is_ready
            and now_s - member.heartbeat_at_s <= LOCATE_HEARTBEAT_LIMIT_S
        ]
        return [self.own, *members] if self.own.is_ready else members

    def reported_to_local(self, now_s: float, random: Random) -> list[Member]:
        """Return the members in a message to an instance of this data centre.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        random : random.Random
            The source of random numbers.

        Returns
        -------
        list of Member
            This instance, all live local ones, and a sample of the remote ones.
        """
        local, remote = self._local_and_remote(now_s)
        return [self.own, *local, *_sample(remote, REMOTE_ROWS_LIMIT, random)]

    def reported_to_remote(
        self, now_s: float, random: Random, data_centre: str | None
    ) -> list[Member]:
        """Return the members in a message to another data centre, which is costly.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        random : random.Random
            The source of random numbers.
        data_centre : str or None
            The receiver's data centre; None if unknown.

        Returns
        -------
        list of Member
            This instance, a sample of the local ones, and a few of the receiver's data
            centre, by which an instance that has just started finds its local peers.
        """
        local, remote = self._local_and_remote(now_s)
        theirs = [member for member in remote if member.data_centre == data_centre]
        reported = [self.own, *_sample(local, REMOTE_ROWS_LIMIT - 1, random)]
        return reported + _sample(theirs, RETURNED_ROWS_LIMIT, random)

    def _local_and_remote(self, now_s: float) -> tuple[list[Member], list[Member]]:
        """Return the live members by place, for a message of this moment."""
        self.own.heartbeat_at_s = now_s
        local: list[Member] = []
        remote: list[Member] = []
        for member in self.live(now_s):
            is_here = member.data_centre == self.own.data_centre
            (local if is_here else remote).append(member)
        return local, remote

    def relays(self, now_s: float) -> list[Member]:
        """Return the relays of this data centre.

        Instances with the same membership table select the same relays.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        list of Member
            Ready instances; this one may be among them.
        """
        local = [
            member
            for member in self.live(now_s)
            if member.data_centre == self.own.data_centre and member.is_ready
        ]
        if self.own.is_ready:
            local.append(self.own)
        # Instances without an answer of the store come last.
        local.sort(key=lambda member: (member.store_available_s == 0, rank(member)))
        return local[:RELAYS_PER_DATA_CENTRE]

    def newest_revision(self, now_s: float) -> StoreRevision:
        """Return the highest revision of the live instances."""
        return max((m.revision for m in self.live(now_s)), default=NO_REVISION)

    def heartbeat_text(self, peers_address: str) -> str:
        """Return the known incarnation and heartbeat of an instance for a log line."""
        member = self._others.get(peers_address)
        return f"{member.incarnation}.{member.heartbeat}" if member else "evicted"

    def data_centre(self, peers_address: str) -> str | None:
        """Return the data centre of an instance, or None if unknown."""
        member = self._others.get(peers_address)
        return member.data_centre if member else None

    def is_local(self, peers_address: str) -> bool:
        """Return whether an instance is known to be in this data centre."""
        return self.data_centre(peers_address) == self.own.data_centre

    def addresses(self) -> list[str]:
        """Return the peers' addresses of the other instances, live or not."""
        return list(self._others)

    def has_host(self, host: str) -> bool:
        """Return whether another instance has its peers' port on a host."""
        return any(address.rpartition(":")[0] == host for address in self._others)

    def random_peer(
        self, random: Random, now_s: float, is_local_peer: bool
    ) -> Member | None:
        """Return a random live instance to gossip with, or None.

        Parameters
        ----------
        random : random.Random
            The source of random numbers.
        now_s : float
            The time on the hub's clock.
        is_local_peer : bool
            Whether it must be in this data centre; otherwise in another one.

        Returns
        -------
        Member or None
            None if no live instance matches.
        """
        found = [
            member
            for member in self.live(now_s)
            if (member.data_centre == self.own.data_centre) == is_local_peer
        ]
        return random.choice(found) if found else None

    def _is_live(self, member: Member, now_s: float) -> bool:
        if member.is_unreachable:
            return False
        is_local_peer = member.data_centre == self.own.data_centre
        limit_s = (
            LOCAL_UNRESPONSIVE_AFTER_S if is_local_peer else REMOTE_UNRESPONSIVE_AFTER_S
        )
        return now_s - member.heartbeat_at_s <= limit_s


def rank(member: Member) -> int:
    """Return a hash that orders instances the same way on all instances, and evenly."""
    return zlib.crc32(member.peers_address.encode())


def _sample(members: list[Member], limit: int, random: Random) -> list[Member]:
    return random.sample(members, min(limit, len(members)))
