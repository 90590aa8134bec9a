"""Exchanges membership updates and topics with peers in rounds."""

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
from berylhaven.operations import ComponentLog
from berylhaven.results import AddressContested

LOG = ComponentLog("exchange")
EXCHANGE_PATH = "/v1/exchange"
ROUND_INTERVAL_S = 1.0
# A joining instance runs some faster rounds, to become known and to learn the members.
START_ROUND_COUNT = 8
START_ROUND_INTERVAL_S = 0.25
# Jitter desynchronizes the rounds of instances that start together.
JITTER_RATIO = 0.2
# The number of peers to which an instance forwards an urgent update on first receipt.
URGENT_FAN_OUT = 3
# The share of a message for membership updates; topics have the rest.
MEMBERS_BYTES_RATIO = 0.5


@register_controller("exchange")
class ExchangeController:
    """Exchanges messages with one peer each round, and answers those of peers.

    Parameters
    ----------
    context : ControllerContext
        Provides the peers and the peer client.
    """

    # Urgent updates that arise within this interval are sent together.
    interval_s = 0.05

    def __init__(self, context: ControllerContext) -> None:
        self._context = context
        self._table = context.peer_table
        self._own_address = context.settings.instance.peers_address
        self._members = MemberExchange(self._table, self._own_address)
        self._guard = OwnAddressGuard()
        # By peer address, the nonce of the peer's run that has received the whole
        # announcement of this run.
        self._announced_to: dict[str, str] = {}
        self._announced_revision = 0
        self._next_round_at_s = 0.0
        self._round_count = 0
        self._resumed_at_s = float("-inf")
        blackboard = context.blackboard
        blackboard.claim(MEMBERSHIP_SECTION, "exchange").write(self._table)
        traffic_writer = blackboard.claim(PEER_TRAFFIC_SECTION, "exchange")
        traffic_writer.write(context.peer_traffic)
        self._topics = {name: cls(context) for name, cls in topic_classes().items()}

    def step(self) -> None:
        """Wait for an urgent update or the next round, and handle it."""
        wait_s = self._next_round_at_s - monotonic_s()
        if wait_s > 0 and self._context.urgent_signal.wait(wait_s):
            self._send_urgent_update()
            return
        jitter = self._context.random.uniform(1 - JITTER_RATIO, 1 + JITTER_RATIO)
        is_start = self._round_count < START_ROUND_COUNT
        self._round_count += 1
        round_s = START_ROUND_INTERVAL_S if is_start else ROUND_INTERVAL_S
        self._next_round_at_s = monotonic_s() + round_s * jitter
        self._do_round()

    def _send_urgent_update(self) -> None:
        now_s = monotonic_s()
        if not self._context.peer_traffic.allows_urgent(now_s):
            # Beyond the debt allowed for bursts, updates are sent with the rounds.
            return
        self._context.local_instance.next_announcement()
        addresses = choose_urgent_peers(
            self._table, URGENT_FAN_OUT, self._context.random, now_s
        )
        for address in addresses:
            eventlet.spawn(self._exchange_with, address)

    def _do_round(self) -> None:
        now_s = monotonic_s()
        self._resume_after_pause()
        self._members.remove_expired(now_s)
        announcement = self._context.local_instance.next_announcement()
        if announcement.catalogue_revision != self._announced_revision:
            # Heartbeat rows carry no digest, so peers would not receive the new one.
            self._announced_revision = announcement.catalogue_revision
            self._announced_to.clear()
        address = choose_peer(
            self._table,
            self._configured_addresses(),
            self._context.settings.instance.data_centre,
            self._context.random,
            now_s,
        )
        if address is not None:
            # In a green thread, so that an unresponsive peer delays no urgent update.
            eventlet.spawn(self._exchange_with, address)

    def receive(self, message: ExchangeMessage) -> ExchangeMessage:
        """Process a peer's message and return the answer to it."""
        now_s = monotonic_s()
        sender = self._process(message, now_s)
        if sender is None:
            return self._answer_to_unknown_sender(message)
        limit_bytes = self._context.peer_traffic.message_limit_bytes(now_s)
        members_bytes = int(limit_bytes * MEMBERS_BYTES_RATIO)
        address = sender.peers_address
        answer = ExchangeMessage(
            self._own_row(address),
            self._members.compose_answer(message.members, sender, now_s, members_bytes),
        )
        self._add_topics(answer, address, now_s, limit_bytes - members_bytes)
        return answer

    def _exchange_with(self, address: str) -> None:
        began_at_s = monotonic_s()
        message = self._compose_request(address, began_at_s)
        peer = self._table.peer(address)
        if peer is not None:
            peer.contacted_at_s = began_at_s
        try:
            raw = self._context.peer_client.request(
                "POST", address, EXCHANGE_PATH, message.to_bytes()
            )
            self._process_answer(address, ExchangeMessage.from_bytes(raw))
        except PeerUnreachable as error:
            self._announced_to.pop(address, None)
            self._members.record_contact_failure(address, began_at_s)
            LOG.debug("Exchange with an unreachable peer failed: %s.", error)
        except ValueError as error:
            LOG.warning("Peer %s sent a malformed answer: %s.", address, error)

    def _resume_after_pause(self) -> None:
        reading = self._context.blackboard.read(PAUSE_SECTION)
        if reading is None or reading.value.noticed_at_s <= self._resumed_at_s:
            return
        # Updates missed during the pause are no evidence against peers, so query them
        # before suspecting any.
        self._resumed_at_s = reading.value.noticed_at_s
        self._table.record_resume(self._resumed_at_s)
        self._members.refresh()

    def _configured_addresses(self) -> set[str]:
        addresses = set(self._context.settings.instance.seed_peers)
        reading = self._context.blackboard.read(INSTANCE_LIST_SECTION)
        if reading is not None:
            listed = reading.value.entry_instances
            addresses.update(entry.peers_address for entry in listed)
        addresses.discard(self._own_address)
        return addresses

    def _compose_request(self, address: str, now_s: float) -> ExchangeMessage:
        limit_bytes = self._context.peer_traffic.message_limit_bytes(now_s)
        members_bytes = int(limit_bytes * MEMBERS_BYTES_RATIO)
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
        if known_nonce and self._announced_to.get(address) == known_nonce:
            return HeartbeatRow.from_announcement(announcement, 0.0)
        return MemberRow(announcement, 0.0)

    def _add_topics(
        self, message: ExchangeMessage, address: str, now_s: float, limit_bytes: int
    ) -> None:
        remaining_topics = len(self._topics)
        for name, topic in self._topics.items():
            payload = topic.outgoing(address, now_s, limit_bytes // remaining_topics)
            remaining_topics -= 1
            if payload is not None:
                message.topics[name] = payload

    def _answer_to_unknown_sender(self, message: ExchangeMessage) -> ExchangeMessage:
        announcement = self._context.local_instance.announcement()
        request_for_row = MemberUpdate(requested_nonces=[message.sender.nonce])
        return ExchangeMessage(MemberRow(announcement, 0.0), request_for_row)

    def _process_answer(self, address: str, message: ExchangeMessage) -> None:
        own_nonce = self._context.local_instance.identity.nonce
        sender = self._process(message, monotonic_s())
        if sender is None or own_nonce in message.members.requested_nonces:
            self._announced_to.pop(address, None)
            return
        self._announced_to[address] = sender.nonce
        self._members.record_answer()

    def _process(self, message: ExchangeMessage, now_s: float) -> Announcement | None:
        sender_effects = MessageEffects()
        sender = self._sender(message)
        if sender is not None:
            self._members.merge_announcement(sender, 0.0, now_s, sender_effects)
        members_effects = self._members.merge(message.members, now_s)
        seen = (
            sender_effects.own_address_announcement
            or members_effects.own_address_announcement
        )
        if seen is not None:
            self._defend_address(seen, now_s)
        if sender_effects.is_urgent or members_effects.is_urgent:
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
            self._announced_to.clear()
            LOG.info("Raised the own incarnation above that of run %s.", seen.nonce)
        if self._guard.is_contested and not was_contested:
            code = AddressContested.code
            LOG.error(
                "%d %s: run %s also uses the address %s.",
                code.number,
                code.name,
                seen.nonce,
                seen.peers_address,
            )
