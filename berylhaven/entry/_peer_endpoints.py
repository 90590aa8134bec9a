"""Constructs the endpoints on the peers' port of one instance."""

from collections.abc import Callable

from berylhaven.controllers import ControllerContext
from berylhaven.exchange import (
    ExchangeMessage,
    PeerAnswer,
    PeerEndpoint,
    PeerRequest,
    peer_endpoint_classes,
)

EXCHANGE_PATH = "/v1/exchange"


class ExchangeEndpoint:
    """Answers the exchange messages of peers.

    Parameters
    ----------
    receive : callable
        Processes a peer's message and returns the answer to it.
    """

    def __init__(self, receive: Callable[[ExchangeMessage], ExchangeMessage]) -> None:
        self._receive = receive

    def answer(self, request: PeerRequest) -> PeerAnswer:
        """Decode a peer's message, process it and encode the answer."""
        message = ExchangeMessage.from_bytes(request.body)
        return PeerAnswer(self._receive(message).to_bytes())


def peer_endpoints(
    context: ControllerContext,
    receive: Callable[[ExchangeMessage], ExchangeMessage],
) -> dict[str, PeerEndpoint]:
    """Construct the endpoints of one instance.

    Parameters
    ----------
    context : ControllerContext
        The components that registered endpoints are constructed with.
    receive : callable
        The exchange's handler, which returns the answer to a peer's message.

    Returns
    -------
    dict
        Endpoints by path.
    """
    endpoints = {path: cls(context) for path, cls in peer_endpoint_classes().items()}
    endpoints[EXCHANGE_PATH] = ExchangeEndpoint(receive)
    return endpoints
