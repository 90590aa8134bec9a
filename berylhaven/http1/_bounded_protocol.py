"""HTTP protocol of the ports with short requests: each is read whole, within limits."""

import http
import io
from collections.abc import Callable, Iterable

import eventlet

from berylhaven.http1._port_connections import PortConnections
from berylhaven.http1._request_body import RequestBody
from berylhaven.http1._strict_protocol import LINGER_TIMEOUT_S, StrictProtocol
from berylhaven.http1._wsgi_answer import PLAIN_TEXT
from berylhaven.results import (
    BodyTooLarge,
    CallRefused,
    InstanceOverloaded,
    SenderTooSlow,
)

# The heads of all connections of a port are in memory at once.
HEADER_LIMIT_BYTES = 16_384
# A piece is counted once it is whole.
PIECE_BYTES = 8_192


class WholeBody(io.BytesIO):
    """A body that was read before the application is called."""

    # The WSGI server has neither to discard a rest nor to send 100 Continue.
    chunked_input = False
    content_length = position = 0
    should_send_hundred_continue = False
    # Set by the WSGI server.
    headers_sent: list | None = None


class BoundedProtocol(StrictProtocol):
    """Serves one connection of a port with short requests.

    A request is refused with 413 if its body exceeds the limit of the port, with 408 if
    it is not whole in time, with 400 if it is malformed, and with 503 if the bodies of
    other requests take up the room of the port. The connection is then closed.

    Parameters
    ----------
    connections : PortConnections
        The connections of the port.
    conn_state : list
        The WSGI server's record of the connection.
    server : eventlet.wsgi.Server
        The WSGI server; its socket timeout is also the time limit of a head, and of a
        body.
    """

    def __init__(
        self, connections: PortConnections, conn_state: list, server: object
    ) -> None:
        self._connections = connections
        self._held_bytes = 0
        super().__init__(HEADER_LIMIT_BYTES, server.socket_timeout, conn_state, server)

    def handle_one_request(self) -> None:
        """Serve a request; the connection may be closed while it waits for its peer."""
        self._connections.begin_wait(self.connection)
        try:
            super().handle_one_request()
        finally:
            self._connections.end_wait()
            self._connections.held_bytes -= self._held_bytes
            self._held_bytes = 0

    def get_environ(self) -> dict:
        """Return the WSGI environment with the whole body."""
        body = self._read_body()
        self._connections.end_wait()
        whole = WholeBody(body)
        return {
            **self.server.get_environ(),
            **super().get_environ(),
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": whole,
            "eventlet.input": whole,
        }

    def _read_body(self) -> bytes:
        body = RequestBody(
            self.rfile,
            self._framing,
            self._sender_timeout_s,
            self._send_continue if self._is_continue_expected() else None,
        )
        limit_bytes = body.limit_bytes = self._connections.body_limit_bytes
        if (body.content_length or 0) > limit_bytes:
            raise BodyTooLarge(f"the body exceeds {limit_bytes} bytes")
        late = SenderTooSlow(f"no whole body within {self._sender_timeout_s:g} s")
        pieces = bytearray()
        with eventlet.Timeout(self._sender_timeout_s, late):
            while not body.is_ended:
                self._hold(piece := body.read(PIECE_BYTES))
                pieces += piece
        return bytes(pieces)

    def _hold(self, piece: bytes) -> None:
        self._held_bytes += len(piece)
        self._connections.held_bytes += len(piece)
        if not self._connections.has_room:
            raise InstanceOverloaded("the bodies of other requests leave no room")

    def handle_one_response(self) -> None:
        """Answer the request."""
        self.application = self._call_application
        super().handle_one_response()

    def _call_application(
        self, environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        answer = self.server.app(environ, start_response)
        # The peer may not take the answer.
        self._connections.begin_wait(self.connection)
        return answer

    def refusal_answer(
        self, refusal: CallRefused
    ) -> tuple[str, list[tuple[str, str]], list[bytes]]:
        """Return a short text with the reason."""
        status = http.HTTPStatus(refusal.code.status)
        body = f"{refusal.message}\n".encode()
        headers = [("Content-Type", PLAIN_TEXT), ("Content-Length", str(len(body)))]
        return f"{status.value} {status.phrase}", headers, [body]

    def _linger(self) -> None:
        # Output to a peer that reset the connection counts as undelivered for ever.
        with eventlet.Timeout(LINGER_TIMEOUT_S, False):
            super()._linger()

    def finish(self) -> None:
        """Close the connection; what is undelivered is waited for."""
        self._connections.begin_wait(self.connection)
        try:
            super().finish()
        finally:
            self._connections.end_wait()
