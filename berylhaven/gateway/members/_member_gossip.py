"""Gossip: exchanges of member tables with other instances."""

from collections.abc import Callable
from random import Random

import eventlet

from berylhaven.clock import PauseWatch, monotonic_s, sleep_s
from berylhaven.event_log import EventLog
from berylhaven.gateway.members._member import Member
from berylhaven.gateway.members._member_codec import (
    MESSAGE_LIMIT_BYTES,
    decode_members,
    encode_members,
)
from berylhaven.gateway.members._members import MemberTable
from berylhaven.http1 import REQUEST_ERRORS, BoundedClient

GOSSIP_PATH = "/v1/members"
# The interval between the exchanges of an instance.
GOSSIP_INTERVAL_S = 0.5
# Of this number of exchanges of a relay, one goes to another data centre, where traffic
# is costly.
REMOTE_EXCHANGE_EVERY = 3
EXCHANGE_TIMEOUT_S = 0.4
# A longer time between two exchanges is evidence that the process was paused.
GOSSIP_PAUSE_THRESHOLD_S = 1.2
# The maximum number of instances named in a log line.
NAMED_PEERS_LIMIT = 8
# The maximum number of skipped parts of a message that are logged.
LOGGED_SKIPPED_LIMIT = 3
# Of this number of exchanges, one goes to a seed, so that a seed that did not know the
# others yet is contacted again.
SEED_EXCHANGE_EVERY = 20


class MemberGossip:
    """Exchanges member tables with one random instance at a time.

    Parameters
    ----------
    members : MemberTable
        The membership table.
    seeds : tuple of str
        Addresses of the instances to contact first.
    random : random.Random
        The source of random numbers.
    event_log : EventLog
        Receives the instances that become live or unresponsive.
    synchronise : callable or None
        Gets the address of an instance whose crash evidence differs.
    """

    __slots__ = (
        "_members",
        "_synchronise",
        "_seeds",
        "_random",
        "_event_log",
        "_http",
        "_exchange_count",
        "_known_live",
        "_pause_watch",
    )

    def __init__(
        self,
        members: MemberTable,
        seeds: tuple[str, ...],
        random: Random,
        event_log: EventLog,
        synchronise: Callable[[str], None] | None = None,
    ) -> None:
        self._members = members
        self._synchronise = synchronise
        self.set_seeds(seeds)
        self._random = random
        self._event_log = event_log
        self._http = BoundedClient(MESSAGE_LIMIT_BYTES)
        self._exchange_count = 0
        self._known_live: set[str] = set()
        self._pause_watch = PauseWatch(GOSSIP_PAUSE_THRESHOLD_S)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds.

        Parameters
        ----------
        seeds : tuple of str
            HOST:PORT each; this instance's own address is skipped.
        """
        own_address = self._members.own.peers_address
        self._seeds = tuple(seed for seed in seeds if seed != own_address)

    def run(self) -> None:
        """Run exchanges at the gossip interval, without end."""
        while True:
            self.step()
            sleep_s(GOSSIP_INTERVAL_S * self._random.uniform(0.8, 1.2))

    def step(self) -> None:
        """Increment the heartbeat and exchange tables with one instance."""
        now_s = monotonic_s()
        self._pause_watch.tick()
        self._members.own.heartbeat += 1
        self._members.evict_unresponsive(now_s)
        self._exchange_count += 1
        address = self._peer_address(now_s)
        if address is not None:
            self._exchange(address)
        self._log_changes()

    def notify_peers(self, count: int) -> None:
        """Exchange tables with several instances at once, after an urgent change.

        Parameters
        ----------
        count : int
            The maximum number of instances to notify.
        """
        self._members.own.heartbeat += 1
        live = self._members.live(monotonic_s())
        for member in self._random.sample(live, min(count, len(live))):
            eventlet.spawn(self._exchange, member.peers_address)

    def _peer_address(self, now_s: float) -> str | None:
        is_relay = self._members.own in self._members.relays(now_s)
        is_local_peer = (
            not is_relay or self._exchange_count % REMOTE_EXCHANGE_EVERY != 0
        )
        peer = self._members.random_peer(self._random, now_s, is_local_peer)
        seeds = self._seeds
        if peer is not None:
            # Seeds are contacted from time to time also when peers are known, so that
            # two partitions that evicted each other merge again.
            if self._exchange_count % SEED_EXCHANGE_EVERY != 1:
                return peer.peers_address
            seeds = [s for s in seeds if is_relay or self._members.is_local(s)]
        peer = peer or self._members.random_peer(self._random, now_s, not is_local_peer)
        if peer is None:
            # One that has started again may know only seeds that are off.
            seeds = [*seeds, *self._members.addresses()]
        if seeds:
            return self._random.choice(seeds)
        return peer.peers_address if peer else None

    def _exchange(self, address: str) -> None:
        sent_at_s = monotonic_s()
        body = encode_members(self._reported(address), sent_at_s)
        try:
            answer = self._http.request(
                "POST", f"http://{address}{GOSSIP_PATH}", EXCHANGE_TIMEOUT_S, body
            )
            peer = self.merge(answer.data, monotonic_s() - sent_at_s)
        except (*REQUEST_ERRORS, ValueError) as error:
            self._members.mark_unreachable(address)
            self._event_log.write(
                "members", "talk failed", peer=address, reason=str(error)
            )
        else:
            self._compare_evidence(peer)

    def _compare_evidence(self, peer: Member) -> None:
        own_digest = self._members.own.evidence_digest
        # Instances of earlier releases have no digest.
        is_known = peer.evidence_digest is not None and own_digest is not None
        if is_known and peer.evidence_digest != own_digest and self._synchronise:
            self._synchronise(peer.peers_address)

    def merge(self, body: bytes, unread_s: float) -> Member:
        """Merge a peer's message into the table.

        Parameters
        ----------
        body : bytes
            Encoded rows, the sender's first.
        unread_s : float
            The longest time since the message was sent, in seconds.

        Returns
        -------
        Member
            The sender's state.

        Raises
        ------
        ValueError
            If the message is malformed.
        """
        now_s = monotonic_s()
        message = decode_members(body)
        sender = message.members[0]
        for member in message.members:
            member.age_s += unread_s
            self._members.merge(member, now_s)
        for reason in message.skipped[:LOGGED_SKIPPED_LIMIT]:
            self._event_log.write_failure(
                "members", "row skipped", peer=sender.peers_address, reason=reason
            )
        return sender

    def answer(self, body: bytes) -> bytes:
        """Merge a peer's message and return this instance's message.

        Parameters
        ----------
        body : bytes
            Encoded rows.

        Returns
        -------
        bytes
            Encoded rows.
        """
        unread_s = self._pause_watch.possible_unread_s(monotonic_s())
        sender = self.merge(body, unread_s)
        reported = self._reported(sender.peers_address)
        newer = self._members.newer_state(sender)
        if newer is not None:
            reported.append(newer)
        return encode_members(reported, monotonic_s())

    def _reported(self, address: str) -> list[Member]:
        """Return the members of this instance's message to an instance."""
        now_s = monotonic_s()
        if self._members.is_local(address):
            return self._members.reported_to_local(now_s, self._random)
        data_centre = self._members.data_centre(address)
        return self._members.reported_to_remote(now_s, self._random, data_centre)

    def _log_changes(self) -> None:
        now_s = monotonic_s()
        live = {member.peers_address for member in self._members.live(now_s)}
        self._log_change("instances heard", live - self._known_live, len(live))
        self._log_change("instances silent", self._known_live - live, len(live))
        self._known_live = live

    def _log_change(self, event: str, addresses: set[str], live_count: int) -> None:
        """Write one line for all instances, since a whole fleet may start at once."""
        if not addresses:
            return
        named = sorted(addresses)[:NAMED_PEERS_LIMIT]
        self._event_log.write(
            "members",
            event,
            count=len(addresses),
            live=live_count,
            peers=",".join(named),
            heartbeats=",".join(map(self._members.heartbeat_text, named)),
        )
