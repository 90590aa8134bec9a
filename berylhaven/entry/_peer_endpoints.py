"""The endpoints on the peers' port, built for one instance."""

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
    """Answers the rounds of peers.

    Parameters
    ----------
    receive : callable
        Takes a peer's message and returns the answer to it.
    """

    def __init__(self, receive: Callable[[ExchangeMessage], ExchangeMessage]) -> None:
        self._receive = receive

    def answer(self, request: PeerRequest) -> PeerAnswer:
        """Answer one message with another."""
        message = ExchangeMessage.from_bytes(request.body)
        return PeerAnswer(self._receive(message).to_bytes())


def peer_endpoints(
    context: ControllerContext,
    receive: Callable[[ExchangeMessage], ExchangeMessage],
) -> dict[str, PeerEndpoint]:
    """Build the endpoints of one instance.

    Parameters
    ----------
    context : ControllerContext
        What registered endpoints are built with.
    receive : callable
        The exchange's answer to a peer's message.

    Returns
    -------
    dict
        Endpoints by path.
    """
    built = {path: cls(context) for path, cls in peer_endpoint_classes().items()}
    built[EXCHANGE_PATH] = ExchangeEndpoint(receive)
    return built
