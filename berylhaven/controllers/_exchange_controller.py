"""Exchanges news with peers in rounds."""

from berylhaven.clock import monotonic_s
from berylhaven.controllers._context import ControllerContext
from berylhaven.controllers._registry import register_controller
from berylhaven.exchange import (
    ExchangeMessage,
    PeerUnreachable,
    topic_classes,
)
from berylhaven.membership import MEMBERSHIP_SECTION, Announcement, PeerState
from berylhaven.operations import PartLog

LOG = PartLog("exchange")
EXCHANGE_PATH = "/v1/exchange"
PEERS_PER_ROUND = 2
TOPIC_LIMIT_BYTES = 400
MEMBERS_TOPIC = "members"


@register_controller("exchange")
class ExchangeController:
    """Sends a message to a few random peers each round, and answers theirs.

    Parameters
    ----------
    context : ControllerContext
        With the peers and the client.
    """

    interval_s = 0.5

    def __init__(self, context: ControllerContext) -> None:
        self._context = context
        self._table = context.peer_table
        writer = context.blackboard.claim(MEMBERSHIP_SECTION, "exchange")
        writer.write(self._table)
        self._topics = {name: cls(context) for name, cls in topic_classes().items()}

    def step(self) -> None:
        """Do one round."""
        self._context.local_instance.next_announcement()
        addresses = self._addresses()
        count = min(PEERS_PER_ROUND, len(addresses))
        for address in self._context.random.sample(addresses, count):
            self._exchange_with(address)

    def receive(self, message: ExchangeMessage) -> ExchangeMessage:
        """Take in a peer's message and return the answer to it."""
        self._take_in(message)
        return self._message_for(message.sender.peers_address)

    def _addresses(self) -> list[str]:
        now_s = monotonic_s()
        known = self._table.in_state(
            now_s, PeerState.LIVE, PeerState.SUSPECT, PeerState.LEAVING
        )
        addresses = {peer.announcement.peers_address for peer in known}
        addresses.update(self._context.settings.instance.seed_peers)
        addresses.discard(self._context.settings.instance.peers_address)
        return sorted(addresses)

    def _exchange_with(self, address: str) -> None:
        message = self._message_for(address)
        try:
            raw = self._context.peer_client.request(
                "POST", address, EXCHANGE_PATH, message.to_bytes()
            )
            self._take_in(ExchangeMessage.from_bytes(raw))
        except PeerUnreachable as error:
            LOG.debug("Peer unreachable: %s.", error)
        except ValueError as error:
            LOG.warning("Peer %s sent nonsense: %s.", address, error)

    def _message_for(self, address: str) -> ExchangeMessage:
        now_s = monotonic_s()
        message = ExchangeMessage(self._context.local_instance.announcement())
        live = self._table.in_state(now_s, PeerState.LIVE, PeerState.LEAVING)
        message.topics[MEMBERS_TOPIC] = [p.announcement.to_json() for p in live]
        for name, topic in self._topics.items():
            payload = topic.outgoing(address, now_s, TOPIC_LIMIT_BYTES)
            if payload is not None:
                message.topics[name] = payload
        return message

    def _take_in(self, message: ExchangeMessage) -> None:
        now_s = monotonic_s()
        self._table.merge(message.sender, now_s)
        for member in message.topics.get(MEMBERS_TOPIC, []):
            self._table.merge(Announcement.from_json(member), now_s)
        for name, topic in self._topics.items():
            if name in message.topics:
                topic.incoming(
                    message.topics[name], message.sender.peers_address, now_s
                )
