"""Registry of topics: data of other components that exchange messages carry."""

from collections.abc import Callable
from typing import Any, Protocol, TypeVar

C = TypeVar("C", bound=type)

_TOPICS: dict[str, type] = {}


class Topic(Protocol):
    """One kind of data that peers exchange."""

    def outgoing(
        self, peers_address: str, now_s: float, limit_bytes: int
    ) -> Any | None:
        """Return the JSON value to send to a peer, or None if there is none.

        Parameters
        ----------
        peers_address : str
            HOST:PORT of the receiver.
        now_s : float
            The current time on the hub's clock, in seconds.
        limit_bytes : int
            The size limit of the value as JSON, in bytes. The most useful data must
            come first; a value over the limit is not sent.

        Returns
        -------
        object or None
            The value that `incoming` of the peer's topic receives.
        """

    def incoming(self, payload: Any, peers_address: str, now_s: float) -> None:
        """Process the JSON value of a peer; raise ValueError if it is malformed.

        Parameters
        ----------
        payload : object
            The value that `outgoing` of the peer's topic returned.
        peers_address : str
            HOST:PORT of the sender.
        now_s : float
            The current time on the hub's clock, in seconds.
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
