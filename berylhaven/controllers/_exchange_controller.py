"""Exchanges news with peers in rounds."""

import eventlet

from berylhaven.clock import monotonic_s
from berylhaven.controllers._context import ControllerContext
from berylhaven.controllers._registry import register_controller
from berylhaven.discovery import INSTANCE_LIST_SECTION
from berylhaven.exchange import (
    PEER_TRAFFIC_SECTION,
    ExchangeMessage,
    HeartbeatRow,
    MemberExchange,
    MemberRow,
    MemberUpdate,
    MessageEffects,
    PeerUnreachable,
    choose_peer,
    choose_urgent_peers,
    topic_classes,
)
from berylhaven.membership import (
    MEMBERSHIP_SECTION,
    PAUSE_SECTION,
    Announcement,
    OwnAddressGuard,
)
from berylhaven.operations import PartLog
from berylhaven.results import AddressContested

LOG = PartLog("exchange")
EXCHANGE_PATH = "/v1/exchange"
ROUND_S = 1.0
# A joiner makes itself known, and learns of the others, by some faster rounds.
START_ROUNDS = 8
START_ROUND_S = 0.25
# Rounds of instances that start together must not stay together.
JITTER_RATIO = 0.2
# Each instance that hears urgent news for the first time passes it on to as many.
FAN_OUT = 3
# What the members' news may take of a message; topics have the rest.
MEMBERS_RATIO = 0.5


@register_controller("exchange")
class ExchangeController:
    """Exchanges messages with one peer each round, and answers theirs.

    Parameters
    ----------
    context : ControllerContext
        With the peers and the client.
    """

    # Urgent news that comes within this time goes out together.
    interval_s = 0.05

    def __init__(self, context: ControllerContext) -> None:
        self._context = context
        self._table = context.peer_table
        self._own_address = context.settings.instance.peers_address
        self._members = MemberExchange(self._table, self._own_address)
        self._guard = OwnAddressGuard()
        # By peer, the nonce of the run that knows this run's whole announcement.
        self._introduced_to: dict[str, str] = {}
        self._own_revision = 0
        self._next_round_at_s = 0.0
        self._round_count = 0
        self._woke_at_s = float("-inf")
        blackboard = context.blackboard
        blackboard.claim(MEMBERSHIP_SECTION, "exchange").write(self._table)
        traffic_writer = blackboard.claim(PEER_TRAFFIC_SECTION, "exchange")
        traffic_writer.write(context.peer_traffic)
        self._topics = {name: cls(context) for name, cls in topic_classes().items()}

    def step(self) -> None:
        """Wait for urgent news or the next round, and act on it."""
        wait_s = self._next_round_at_s - monotonic_s()
        if wait_s > 0 and self._context.urgent_signal.wait(wait_s):
            self._send_urgent_news()
            return
        jitter = self._context.random.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)
        is_start = self._round_count < START_ROUNDS
        self._round_count += 1
        round_s = START_ROUND_S if is_start else ROUND_S
        self._next_round_at_s = monotonic_s() + round_s * jitter
        self._do_round()

    def _send_urgent_news(self) -> None:
        now_s = monotonic_s()
        if not self._context.peer_traffic.allows_urgent(now_s):
            # Beyond the debt that bursts may make, news goes with the rounds.
            return
        self._context.local_instance.next_announcement()
        addresses = choose_urgent_peers(
            self._table, FAN_OUT, self._context.random, now_s
        )
        for address in addresses:
            eventlet.spawn(self._exchange_with, address)

    def _do_round(self) -> None:
        now_s = monotonic_s()
        self._wake_after_pause()
        self._members.remove_expired(now_s)
        announcement = self._context.local_instance.next_announcement()
        if announcement.catalogue_revision != self._own_revision:
            # Rows without a digest would leave peers without the new one.
            self._own_revision = announcement.catalogue_revision
            self._introduced_to.clear()
        address = choose_peer(
            self._table,
            self._fixed_addresses(),
            self._context.settings.instance.data_centre,
            self._context.random,
            now_s,
        )
        if address is not None:
            # Apart from this thread, so that a silent peer holds up no urgent news.
            eventlet.spawn(self._exchange_with, address)

    def receive(self, message: ExchangeMessage) -> ExchangeMessage:
        """Take in a peer's message and return the answer to it."""
        now_s = monotonic_s()
        sender = self._take_in(message, now_s)
        if sender is None:
            return self._answer_to_stranger(message)
        limit_bytes = self._context.peer_traffic.message_limit_bytes(now_s)
        members_bytes = int(limit_bytes * MEMBERS_RATIO)
        address = sender.peers_address
        answer = ExchangeMessage(
            self._own_row(address),
            self._members.compose_answer(message.members, sender, now_s, members_bytes),
        )
        self._add_topics(answer, address, now_s, limit_bytes - members_bytes)
        return answer

    def _exchange_with(self, address: str) -> None:
        began_at_s = monotonic_s()
        message = self._question(address, began_at_s)
        peer = self._table.peer(address)
        if peer is not None:
            peer.contacted_at_s = began_at_s
        try:
            raw = self._context.peer_client.request(
                "POST", address, EXCHANGE_PATH, message.to_bytes()
            )
            self._take_in_answer(address, ExchangeMessage.from_bytes(raw))
        except PeerUnreachable as error:
            self._introduced_to.pop(address, None)
            self._members.record_contact_failure(address, began_at_s)
            LOG.debug("Peer unreachable: %s.", error)
        except ValueError as error:
            LOG.warning("Peer %s sent nonsense: %s.", address, error)

    def _wake_after_pause(self) -> None:
        reading = self._context.blackboard.read(PAUSE_SECTION)
        if reading is None or reading.value.noticed_at_s <= self._woke_at_s:
            return
        # What was not heard meanwhile speaks against this process: ask first.
        self._woke_at_s = reading.value.noticed_at_s
        self._table.record_resume(self._woke_at_s)
        self._members.refresh()

    def _fixed_addresses(self) -> set[str]:
        addresses = set(self._context.settings.instance.seed_peers)
        reading = self._context.blackboard.read(INSTANCE_LIST_SECTION)
        if reading is not None:
            listed = reading.value.entry_instances
            addresses.update(entry.peers_address for entry in listed)
        addresses.discard(self._own_address)
        return addresses

    def _question(self, address: str, now_s: float) -> ExchangeMessage:
        limit_bytes = self._context.peer_traffic.message_limit_bytes(now_s)
        members_bytes = int(limit_bytes * MEMBERS_RATIO)
        message = ExchangeMessage(
            self._own_row(address),
            self._members.compose_request(address, now_s, members_bytes),
        )
        self._add_topics(message, address, now_s, limit_bytes - members_bytes)
        return message

    def _own_row(self, address: str) -> MemberRow | HeartbeatRow:
        announcement = self._context.local_instance.announcement()
        peer = self._table.peer(address)
        known_nonce = peer.announcement.nonce if peer else ""
        if known_nonce and self._introduced_to.get(address) == known_nonce:
            return HeartbeatRow.of(announcement, 0.0)
        return MemberRow(announcement, 0.0)

    def _add_topics(
        self, message: ExchangeMessage, address: str, now_s: float, limit_bytes: int
    ) -> None:
        left = len(self._topics)
        for name, topic in self._topics.items():
            payload = topic.outgoing(address, now_s, limit_bytes // left)
            left -= 1
            if payload is not None:
                message.topics[name] = payload

    def _answer_to_stranger(self, message: ExchangeMessage) -> ExchangeMessage:
        announcement = self._context.local_instance.announcement()
        wanted = MemberUpdate(requested_nonces=[message.sender.nonce])
        return ExchangeMessage(MemberRow(announcement, 0.0), wanted)

    def _take_in_answer(self, address: str, message: ExchangeMessage) -> None:
        own_nonce = self._context.local_instance.identity.nonce
        sender = self._take_in(message, monotonic_s())
        if sender is None or own_nonce in message.members.requested_nonces:
            self._introduced_to.pop(address, None)
            return
        self._introduced_to[address] = sender.nonce
        self._members.record_answer()

    def _take_in(self, message: ExchangeMessage, now_s: float) -> Announcement | None:
        taken = MessageEffects()
        sender = self._sender(message)
        if sender is not None:
            self._members.merge_announcement(sender, 0.0, now_s, taken)
        others = self._members.merge(message.members, now_s)
        seen = taken.own_address_seen or others.own_address_seen
        if seen is not None:
            self._defend_address(seen, now_s)
        if taken.is_urgent or others.is_urgent:
            self._context.urgent_signal.set()
        if sender is None or sender.peers_address == self._own_address:
            return None
        for name, topic in self._topics.items():
            if name in message.topics:
                topic.incoming(message.topics[name], sender.peers_address, now_s)
        return sender

    def _sender(self, message: ExchangeMessage) -> Announcement | None:
        if isinstance(message.sender, MemberRow):
            return message.sender.announcement
        peer = self._table.peer_by_nonce(message.sender.nonce)
        if peer is None:
            return None
        return message.sender.applied_to(peer.announcement)

    def _defend_address(self, seen: Announcement, now_s: float) -> None:
        local = self._context.local_instance
        was_contested = self._guard.is_contested
        incarnation = self._guard.raised_incarnation(local.identity, seen, now_s)
        if incarnation is not None:
            local.raise_incarnation(incarnation)
            local.next_announcement()
            self._introduced_to.clear()
            LOG.info("Raised the incarnation above that of run %s.", seen.nonce)
        if self._guard.is_contested and not was_contested:
            code = AddressContested.code
            LOG.error(
                "%d %s: run %s uses %s too.",
                code.number,
                code.name,
                seen.nonce,
                seen.peers_address,
            )
