"""Topics: what may ride on the exchange, in a registry."""

from collections.abc import Callable
from typing import Any, Protocol, TypeVar

C = TypeVar("C", bound=type)

_TOPICS: dict[str, type] = {}


class Topic(Protocol):
    """One kind of news that peers exchange."""

    def outgoing(
        self, peers_address: str, now_s: float, limit_bytes: int
    ) -> Any | None:
        """Return the JSON value for a peer, or None if there is nothing to say.

        Parameters
        ----------
        peers_address : str
            Who will get it.
        now_s : float
            The time on the hub's clock.
        limit_bytes : int
            The most bytes that the value may take as JSON; the most useful news
            goes in first. A value over the limit is not sent.

        Returns
        -------
        object or None
            What `incoming` of the peer's topic is given.
        """

    def incoming(self, payload: Any, peers_address: str, now_s: float) -> None:
        """Take in a peer's JSON value; raise ValueError if it is malformed.

        Parameters
        ----------
        payload : object
            What `outgoing` of the peer's topic returned.
        peers_address : str
            Who sent it.
        now_s : float
            The time on the hub's clock.
        """


def register_topic(name: str) -> Callable[[C], C]:
    """Register a class as a topic of the exchange.

    Parameters
    ----------
    name : str
        The topic's name on the wire.

    Returns
    -------
    callable
        The class decorator.
    """

    def decorate(topic: C) -> C:
        _TOPICS[name] = topic
        topic.topic_name = name
        return topic

    return decorate


def topic_classes() -> dict[str, type]:
    """Return the registered topics by name."""
    return dict(_TOPICS)
