"""The WSGI application on the peers' port."""

from collections.abc import Callable, Iterable

from berylhaven.blackboard import Blackboard
from berylhaven.catalogue import CATALOGUE_SECTION
from berylhaven.exchange._message import ExchangeMessage

EXCHANGE_PATH = "/v1/exchange"
CATALOGUE_PATH = "/v1/catalogue"
REVISION_HEADER = "Catalogue-Revision"
MESSAGE_LIMIT_BYTES = 1_000_000


class PeersApplication:
    """Answers other entry instances.

    Parameters
    ----------
    blackboard : Blackboard
        With the catalogue that peers may fetch.
    receive : callable
        Takes a peer's message and returns the answer to it.
    """

    __slots__ = ("_blackboard", "_receive")

    def __init__(
        self,
        blackboard: Blackboard,
        receive: Callable[[ExchangeMessage], ExchangeMessage],
    ) -> None:
        self._blackboard = blackboard
        self._receive = receive

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one request."""
        path = environ["PATH_INFO"]
        if path == EXCHANGE_PATH and environ["REQUEST_METHOD"] == "POST":
            return self._exchange(environ, start_response)
        if path == CATALOGUE_PATH:
            return self._catalogue(start_response)
        start_response("404 Not Found", [])
        return [b""]

    def _exchange(self, environ: dict, start_response: Callable) -> list[bytes]:
        raw = environ["wsgi.input"].read(MESSAGE_LIMIT_BYTES)
        try:
            message = ExchangeMessage.from_bytes(raw)
            answer = self._receive(message)
        except ValueError as error:
            start_response("400 Bad Request", [])
            return [str(error).encode()]
        start_response("200 OK", [("Content-Type", "application/json")])
        return [answer.to_bytes()]

    def _catalogue(self, start_response: Callable) -> list[bytes]:
        reading = self._blackboard.read(CATALOGUE_SECTION)
        if reading is None:
            start_response("404 Not Found", [])
            return [b""]
        in_force = reading.value
        headers = [
            ("Content-Type", "text/plain; charset=utf-8"),
            (REVISION_HEADER, str(in_force.revision)),
        ]
        start_response("200 OK", headers)
        return [in_force.catalogue.text.encode()]
