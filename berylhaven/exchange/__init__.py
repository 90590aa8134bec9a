"""The protocol between entry instances: rounds of small JSON messages over HTTP."""

from berylhaven.exchange._application import PeersApplication
from berylhaven.exchange._message import ExchangeMessage
from berylhaven.exchange._peer_client import PeerClient, PeerUnreachable
from berylhaven.exchange._peer_endpoint import (
    PeerAnswer,
    PeerEndpoint,
    PeerRequest,
    peer_endpoint_classes,
    register_peer_endpoint,
)
from berylhaven.exchange._topic import Topic, register_topic, topic_classes

__all__ = [
    "ExchangeMessage",
    "PeerAnswer",
    "PeerClient",
    "PeerEndpoint",
    "PeerRequest",
    "PeerUnreachable",
    "PeersApplication",
    "Topic",
    "peer_endpoint_classes",
    "register_peer_endpoint",
    "register_topic",
    "topic_classes",
]
