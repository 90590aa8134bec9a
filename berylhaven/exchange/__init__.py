"""The gossip protocol of entry instances: rounds of small JSON messages over HTTP."""

from berylhaven.exchange._application import PeersApplication
from berylhaven.exchange._http_size import answer_size_bytes, request_size_bytes
from berylhaven.exchange._member_exchange import MemberExchange, MessageEffects
from berylhaven.exchange._message import ExchangeMessage, MemberUpdate
from berylhaven.exchange._peer_choice import choose_peer, choose_urgent_peers
from berylhaven.exchange._peer_client import PeerClient, PeerUnreachable
from berylhaven.exchange._peer_endpoint import (
    PeerAnswer,
    PeerEndpoint,
    PeerRequest,
    peer_endpoint_classes,
    register_peer_endpoint,
)
from berylhaven.exchange._rows import HeartbeatRow, MemberRow, SuspicionRow
from berylhaven.exchange._topic import Topic, register_topic, topic_classes
from berylhaven.exchange._traffic import (
    EXCHANGE_BYTES_PER_S,
    MESSAGE_FLOOR_BYTES,
    PEER_TRAFFIC_SECTION,
    PeerTraffic,
)
from berylhaven.exchange._urgent_signal import UrgentSignal

__all__ = [
    "EXCHANGE_BYTES_PER_S",
    "MESSAGE_FLOOR_BYTES",
    "PEER_TRAFFIC_SECTION",
    "SuspicionRow",
    "ExchangeMessage",
    "MemberExchange",
    "MemberUpdate",
    "MemberRow",
    "PeerAnswer",
    "PeerClient",
    "PeerEndpoint",
    "PeerRequest",
    "PeerTraffic",
    "PeerUnreachable",
    "PeersApplication",
    "HeartbeatRow",
    "MessageEffects",
    "Topic",
    "UrgentSignal",
    "answer_size_bytes",
    "choose_peer",
    "choose_urgent_peers",
    "peer_endpoint_classes",
    "register_peer_endpoint",
    "register_topic",
    "request_size_bytes",
    "topic_classes",
]
