"""The protocol between entry instances: rounds of small JSON messages over HTTP."""

from berylhaven.exchange._application import (
    CATALOGUE_PATH,
    EXCHANGE_PATH,
    REVISION_HEADER,
    PeersApplication,
)
from berylhaven.exchange._message import ExchangeMessage
from berylhaven.exchange._peer_client import PeerClient, PeerUnreachable
from berylhaven.exchange._topic import Topic, register_topic, topic_classes

__all__ = [
    "CATALOGUE_PATH",
    "EXCHANGE_PATH",
    "ExchangeMessage",
    "PeerClient",
    "PeerUnreachable",
    "PeersApplication",
    "REVISION_HEADER",
    "Topic",
    "register_topic",
    "topic_classes",
]
