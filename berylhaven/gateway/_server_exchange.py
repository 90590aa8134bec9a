"""One request sent to one backend server, and its whole answer."""

import io
from dataclasses import dataclass

import eventlet

from berylhaven.attempts import AttemptEnd, AttemptFailed
from berylhaven.clock import monotonic_s
from berylhaven.gateway._dialect import Dialect
from berylhaven.gateway._request import GatewayRequest
from berylhaven.http1 import (
    CALLER_ENDS,
    CONNECTION_ERRORS,
    MALFORMED_ANSWER,
    REQUEST_FRAMING,
    AnswerCut,
    AnswerHead,
    AnswerSource,
    HeadFields,
    UpstreamConnection,
    end_to_end,
    read_framing,
)

# Within a region an opening is answered in milliseconds; a lost packet is sent again
# after a second only, when another server has long been the better choice.
CONNECT_TIMEOUT_S = 0.25
# A body up to this size is sent without a second green thread, since it fits into the
# socket's buffer.
SMALL_BODY_BYTES = 8_192
PIECE_BYTES = 65_536
# Answers of other requests that are passed over before the connection is given up.
FOREIGN_ANSWERS_LIMIT = 4
# The largest answer that is held in memory.
ANSWER_LIMIT_BYTES = 32_000_000
BODYLESS_STATUSES = frozenset({204, 304})
LAST_CHUNK = b"0\r\n\r\n"


@dataclass(slots=True)
class ServerAnswer:
    """A backend server's whole answer."""

    # The HTTP status.
    status: int
    # The reason phrase.
    reason: str
    # The headers.
    fields: HeadFields
    # The whole body.
    body: bytes
    # Whether its connection can carry another request.
    is_reusable: bool


def exchange(
    connection: UpstreamConnection,
    request: GatewayRequest,
    dialect: Dialect,
    server_id: str,
    deadline_s: float,
) -> ServerAnswer:
    """Send a request and read the whole answer.

    Parameters
    ----------
    connection : UpstreamConnection
        Open or not; it carries no other request.
    request : GatewayRequest
        The caller's request.
    dialect : Dialect
        The headers' names.
    server_id : str
        The backend server that must run it.
    deadline_s : float
        When the answer is of no more use, on the hub's clock.

    Returns
    -------
    ServerAnswer
        The answer.

    Raises
    ------
    AttemptFailed
        With the place at which it ended.
    """
    attempt = _Exchange(connection, request, dialect, server_id, deadline_s)
    remaining_s = deadline_s - monotonic_s()
    if remaining_s <= 0:
        raise attempt.too_late()
    timer = eventlet.Timeout(remaining_s)
    try:
        attempt.connect(remaining_s)
        attempt.send()
        return attempt.read()
    except eventlet.Timeout as timeout:
        if timeout is not timer:
            raise
        raise attempt.too_late() from None
    finally:
        timer.cancel()
        attempt.stop_sending()


class _Exchange:
    """The steps of one exchange."""

    __slots__ = (
        "_connection",
        "_request",
        "_dialect",
        "_server_id",
        "_deadline_s",
        "_was_sent",
        "_sender",
        "_send_failure",
    )

    def __init__(
        self,
        connection: UpstreamConnection,
        request: GatewayRequest,
        dialect: Dialect,
        server_id: str,
        deadline_s: float,
    ) -> None:
        self._connection = connection
        self._request = request
        self._dialect = dialect
        self._server_id = server_id
        self._deadline_s = deadline_s
        self._was_sent = False
        # Sends a large body while the answer is awaited.
        self._sender: eventlet.greenthread.GreenThread | None = None
        self._send_failure: AttemptFailed | None = None

    def too_late(self) -> AttemptFailed:
        """Return the failure if the deadline passes now."""
        if self._was_sent:
            end = AttemptEnd.DEADLINE_BEFORE_HEAD
            return AttemptFailed(end, "no answer in time")
        end = AttemptEnd.DEADLINE_BEFORE_SENDING
        return AttemptFailed(end, "the deadline passed before the request was sent")

    def connect(self, remaining_s: float) -> None:
        """Open the connection if it is not."""
        if self._connection.is_open:
            return
        try:
            self._connection.open(min(remaining_s, CONNECT_TIMEOUT_S))
        except CONNECTION_ERRORS as error:
            message = f"no connection: {error}"
            raise AttemptFailed(AttemptEnd.NOT_CONNECTED, message) from error

    def send(self) -> None:
        """Send the head and the body; a large body by a green thread of its own.

        A server may answer before it has read the whole body, and reads no more of it
        until its answer is taken.
        """
        body = self._request.body
        length_bytes = body.content_length
        if not body.has_body:
            self._write(self._head())
        elif length_bytes is not None and length_bytes <= SMALL_BODY_BYTES:
            self._write(self._head() + b"".join(body.pieces(PIECE_BYTES)))
        else:
            self._write(self._head())
            self._sender = eventlet.spawn(self._send_body)

    def _write(self, data: bytes) -> None:
        # From here on a part may have reached the server, even if this fails.
        self._was_sent = True
        try:
            self._connection.send(data)
        except CONNECTION_ERRORS as error:
            end = AttemptEnd.BROKEN_WHILE_SENDING
            raise AttemptFailed(end, f"the connection broke: {error}") from error

    def _send_body(self) -> None:
        is_chunked = self._request.body.content_length is None
        try:
            for piece in self._request.body.pieces(PIECE_BYTES):
                if is_chunked:
                    piece = b"%x\r\n%b\r\n" % (len(piece), piece)
                self._connection.send(piece)
            if is_chunked:
                self._connection.send(LAST_CHUNK)
        except tuple(CALLER_ENDS) as error:
            self._send_failure = AttemptFailed(CALLER_ENDS[type(error)], error.message)
            # The reader of the answer is woken by the end of the connection.
            self._connection.shut_down()
        except CONNECTION_ERRORS as error:
            end = AttemptEnd.BROKEN_WHILE_SENDING
            self._send_failure = AttemptFailed(end, f"the connection broke: {error}")

    def stop_sending(self) -> None:
        """End the green thread that sends the body, if it has not ended."""
        if self._sender is not None:
            self._sender.kill()

    def _is_body_sent(self) -> bool:
        return self._sender is None or (
            self._sender.dead and self._send_failure is None
        )

    def _head(self) -> bytes:
        request = self._request
        dropped = REQUEST_FRAMING | self._dialect.replaced_request_headers
        remaining_s = self._deadline_s - monotonic_s()
        lines = [f"{request.method} {request.target} HTTP/1.1"]
        for name, value in end_to_end(request.fields.pairs, dropped):
            lines.append(f"{name}: {value}")
        for name, value in self._dialect.request_headers(remaining_s, self._server_id):
            lines.append(f"{name}: {value}")
        if request.body.content_length is None:
            lines.append("Transfer-Encoding: chunked")
        elif request.body.content_length or request.method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {request.body.content_length}")
        lines += ["", ""]
        return "\r\n".join(lines).encode("latin-1")

    def read(self) -> ServerAnswer:
        """Read the answer that names this request, past answers of others."""
        for _ in range(FOREIGN_ANSWERS_LIMIT):
            answer = self._read_one()
            named = self._dialect.request_id(answer.fields)
            if named is None or named == self._request.request_id:
                return answer
            if not answer.is_reusable:
                break
        message = "the answer names another request"
        raise AttemptFailed(AttemptEnd.FOREIGN_ANSWER, message)

    def _read_one(self) -> ServerAnswer:
        try:
            head = self._connection.read_head()
            body, is_framed = self._read_body(head)
        except AnswerCut as error:
            message = f"the answer was cut: {error}"
            raise AttemptFailed(AttemptEnd.CUT_BEFORE_BODY, message) from error
        except (*CONNECTION_ERRORS, *MALFORMED_ANSWER) as error:
            if self._send_failure is not None:
                raise self._send_failure from None
            end = AttemptEnd.BROKEN_BEFORE_HEAD
            raise AttemptFailed(end, f"no answer: {error}") from error
        keeps_open = is_framed and head.keeps_connection and self._is_body_sent()
        return ServerAnswer(head.status, head.reason, head.fields, body, keeps_open)

    def _read_body(self, head: AnswerHead) -> tuple[bytes, bool]:
        """Return the body, and whether its end is told by its framing."""
        reader = self._connection.reader
        if self._request.method == "HEAD" or head.status in BODYLESS_STATUSES:
            return b"", True
        framing = read_framing(head.fields.pairs, head.version)
        if framing.content_length is None and not framing.is_chunked:
            return _read_to_end(reader), False
        source = AnswerSource(reader, framing)
        pieces = []
        left_bytes = ANSWER_LIMIT_BYTES
        while not source.is_ended:
            piece = source.read1(PIECE_BYTES)
            left_bytes -= len(piece)
            if left_bytes < 0:
                raise AnswerCut("the body is over the limit")
            pieces.append(piece)
        return b"".join(pieces), True


def _read_to_end(reader: io.BufferedReader) -> bytes:
    """Return what comes until the server closes; a reset is a cut."""
    pieces = []
    left_bytes = ANSWER_LIMIT_BYTES
    try:
        while piece := reader.read1(PIECE_BYTES):
            pieces.append(piece)
            left_bytes -= len(piece)
            if left_bytes < 0:
                raise AnswerCut("the body is over the limit")
    except OSError as error:
        raise AnswerCut(f"the connection broke: {error}") from None
    return b"".join(pieces)
