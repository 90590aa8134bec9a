"""Sends a request to a backend server and reads the complete answer."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass

import eventlet

from berylhaven.attempts import AttemptEnd, AttemptFailed
from berylhaven.clock import monotonic_s
from berylhaven.gateway._dialect import Dialect
from berylhaven.gateway.callers._held_bytes import HeldBytes, NoRoom, Reservation
from berylhaven.gateway.callers._request import GatewayRequest
from berylhaven.gateway.servers._answer_buffer import (
    PIECE_BYTES,
    AnswerBuffer,
    AnswerTooLarge,
)
from berylhaven.http1 import (
    CALLER_ERROR_ENDS,
    CONNECTION_ERRORS,
    MALFORMED_ANSWER_ERRORS,
    REQUEST_FRAMING,
    SKIPPED_ANSWERS_LIMIT,
    AnswerBodyError,
    AnswerBodyReader,
    AnswerFramingError,
    AnswerHead,
    AnswerMatch,
    BodyTaken,
    HeadFields,
    UpstreamConnection,
    end_to_end_headers,
    match_answer,
    parse_framing,
)

# Within a region a TCP handshake takes milliseconds. A lost packet is retransmitted
# only after a second, by which time another server is the better choice.
CONNECT_TIMEOUT_S = 0.25
# A body up to this size is sent without a second green thread, because it fits into
# the socket's send buffer.
SMALL_BODY_BYTES = 8_192
BODYLESS_STATUSES = frozenset({204, 304})
HTTP_STATUS_CLASS_SUCCESS = 2
LAST_CHUNK = b"0\r\n\r\n"
# How an attempt ends whose answer is cut off, by the error.
CUT_ENDS = {
    AnswerTooLarge: AttemptEnd.ANSWER_TOO_LARGE,
    NoRoom: AttemptEnd.ANSWER_WITHOUT_ROOM,
    AnswerFramingError: AttemptEnd.EXCESSIVE_FRAMING,
}


@dataclass(slots=True)
class ServerAnswer:
    """A complete answer of a backend server."""

    # The HTTP status.
    status: int
    # The reason phrase.
    reason: str
    # The header fields.
    fields: HeadFields
    # The complete body.
    body: bytearray
    # Whether the connection can be used for another request.
    is_reusable: bool
    # The memory of the body; None without a body.
    reservation: Reservation | None
    # The number of answers to other requests that were received before it.
    skipped_count: int = 0


class AnswerCutOff(AttemptFailed):
    """An answer was cut off because of what it takes, not because it is truncated.

    Parameters
    ----------
    end : AttemptEnd
        One of `CUT_ENDS`.
    message : str
        One sentence with the details.
    received_bytes : int
        How much of its body had been received.
    """

    def __init__(self, end: AttemptEnd, message: str, received_bytes: int) -> None:
        super().__init__(end, message)
        self.received_bytes = received_bytes


def exchange(
    connection: UpstreamConnection,
    request: GatewayRequest,
    dialect: Dialect,
    server_id: str,
    deadline_s: float,
    memory: HeldBytes,
    check_sending: Callable[[], None] = lambda: None,
) -> ServerAnswer:
    """Send a request and read the complete answer.

    Parameters
    ----------
    connection : UpstreamConnection
        The connection, open or not, without another request in flight.
    request : GatewayRequest
        The caller's request.
    dialect : Dialect
        The header names of the deployment.
    server_id : str
        The id of the backend server that must run the request.
    deadline_s : float
        The deadline of the answer, on the hub's clock.
    memory : HeldBytes
        The account of held bytes.
    check_sending : callable
        Called before a connection is opened, and immediately before the first byte is
        sent; raises AttemptFailed if the server may no longer be sent the request.

    Returns
    -------
    ServerAnswer
        The complete answer.

    Raises
    ------
    AttemptFailed
        With the stage at which the exchange ended.
    """
    attempt = _Exchange(
        connection, request, dialect, server_id, deadline_s, memory, check_sending
    )
    remaining_s = deadline_s - monotonic_s()
    if remaining_s <= 0:
        raise attempt.timeout_failure()
    timer = eventlet.Timeout(remaining_s)
    answer = None
    try:
        attempt.connect(remaining_s)
        attempt.send()
        answer = attempt.read()
        return answer
    except eventlet.Timeout as timeout:
        if timeout is not timer:
            raise
        raise attempt.timeout_failure() from None
    finally:
        timer.cancel()
        attempt.stop_sending()
        if answer is None:
            attempt.release()


class _Exchange:
    """The steps of one exchange."""

    __slots__ = (
        "_connection",
        "_request",
        "_dialect",
        "_server_id",
        "_deadline_s",
        "_memory",
        "_check_sending",
        "_buffer",
        "_was_sent",
        "_sender",
        "_send_failure",
        "_is_body_sent",
    )

    def __init__(
        self,
        connection: UpstreamConnection,
        request: GatewayRequest,
        dialect: Dialect,
        server_id: str,
        deadline_s: float,
        memory: HeldBytes,
        check_sending: Callable[[], None],
    ) -> None:
        self._check_sending = check_sending
        self._connection = connection
        self._request = request
        self._dialect = dialect
        self._server_id = server_id
        self._deadline_s = deadline_s
        self._memory = memory
        # The body of the answer that is being read; None without one.
        self._buffer: AnswerBuffer | None = None
        self._was_sent = False
        # Sends a large body while the answer is read.
        self._sender: eventlet.greenthread.GreenThread | None = None
        self._send_failure: AttemptFailed | None = None
        # Whether the last byte of the body was given to the socket.
        self._is_body_sent = False

    def timeout_failure(self) -> AttemptFailed:
        """Return the failure for a deadline that passes now."""
        if self._was_sent:
            end = AttemptEnd.DEADLINE_BEFORE_HEAD
            return AttemptFailed(
                end,
                f'the deadline passed before the answer of server "{self._server_id}" '
                "was complete",
            )
        end = AttemptEnd.DEADLINE_BEFORE_SENDING
        return AttemptFailed(
            end,
            "the deadline passed before the request was sent to server "
            f'"{self._server_id}"',
        )

    def connect(self, remaining_s: float) -> None:
        """Open the connection if it is not open."""
        if self._connection.is_open:
            return
        self._check_sending()
        try:
            self._connection.open(min(remaining_s, CONNECT_TIMEOUT_S))
        except CONNECTION_ERRORS as error:
            message = f'connecting to server "{self._server_id}" failed: {error}'
            raise AttemptFailed(AttemptEnd.NOT_CONNECTED, message) from error

    def send(self) -> None:
        """Send the head and the body; a large body from a separate green thread.

        A server may answer before it has read the whole body, and then reads no more
        of it until its answer has been read.
        """
        self._check_sending()
        pieces = self._take_body()
        self._request.progress.record_sent(self._server_id, monotonic_s())
        self._connection.note_request(self._request.request_id)
        # A part of the request may reach the server even if sending fails.
        self._was_sent = True
        body = self._request.body
        length_bytes = body.content_length
        if length_bytes is not None and length_bytes <= SMALL_BODY_BYTES:
            self._write(self._head() + b"".join(pieces))
            self._is_body_sent = True
        else:
            self._write(self._head())
            self._sender = eventlet.spawn(self._send_body, pieces)

    def _take_body(self) -> Iterator[bytes | bytearray]:
        try:
            return self._request.body.pieces(PIECE_BYTES)
        except BodyTaken as error:
            raise AttemptFailed(AttemptEnd.BODY_TAKEN, str(error)) from None

    def _write(self, data: bytes) -> None:
        try:
            self._connection.send(data)
        except CONNECTION_ERRORS as error:
            end = AttemptEnd.BROKEN_WHILE_SENDING
            raise AttemptFailed(
                end,
                f'sending the request to server "{self._server_id}" failed: {error}',
            ) from error

    def _send_body(self, pieces: Iterator[bytes | bytearray]) -> None:
        is_chunked = self._request.body.content_length is None
        try:
            for piece in pieces:
                if is_chunked:
                    self._connection.send(b"%x\r\n" % len(piece))
                # Slices of a view are not copies, while the server reads slowly.
                self._connection.send(memoryview(piece))
                if is_chunked:
                    self._connection.send(b"\r\n")
            if is_chunked:
                self._connection.send(LAST_CHUNK)
            self._is_body_sent = True
        except tuple(CALLER_ERROR_ENDS) as error:
            self._send_failure = AttemptFailed(
                CALLER_ERROR_ENDS[type(error)], error.message
            )
            # Shutting the connection down unblocks the reader of the answer.
            self._connection.shut_down()
        except CONNECTION_ERRORS as error:
            self._send_failure = self._body_failure(error)
        except Exception as error:
            self._send_failure = self._body_failure(error)
            self._connection.shut_down()
            # The hub writes the traceback of the green thread to the log.
            raise

    def _body_failure(self, error: Exception) -> AttemptFailed:
        return AttemptFailed(
            AttemptEnd.BROKEN_WHILE_SENDING,
            f'sending the request body to server "{self._server_id}" failed: {error}',
        )

    def stop_sending(self) -> None:
        """Kill the green thread that sends the body, if there is one."""
        if self._sender is not None:
            self._sender.kill()

    def release(self) -> None:
        """Release the memory of an incomplete answer.

        The failure refers to it for as long as the request has further attempts.
        """
        if self._buffer is not None:
            self._buffer.release()

    def _head(self) -> bytes:
        request = self._request
        dropped = REQUEST_FRAMING | self._dialect.replaced_request_headers
        remaining_s = self._deadline_s - monotonic_s()
        lines = [f"{request.method} {request.target} HTTP/1.1"]
        for name, value in end_to_end_headers(request.fields.pairs, dropped):
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
        """Read the answer to this request, skipping those to others."""
        for skipped_count in range(SKIPPED_ANSWERS_LIMIT):
            answer = self._read_one()
            named_id = self._dialect.request_id(answer.fields)
            match = match_answer(
                named_id,
                self._request.request_id or None,
                is_first_answer=self._connection.answer_count == 1,
            )
            if match is AnswerMatch.OWN:
                # Further answers without an id could not be told apart.
                answer.is_reusable = (
                    answer.is_reusable and named_id is not None and self._is_body_sent
                )
                answer.skipped_count = skipped_count
                return answer
            self.release()
            if match is AnswerMatch.UNPROVEN:
                raise AttemptFailed(
                    AttemptEnd.UNPROVEN_ANSWER,
                    f'an answer of server "{self._server_id}" on a connection in use '
                    "again names no request",
                )
            if not answer.is_reusable:
                break
        message = (
            f'the answer of server "{self._server_id}" has the id of another request'
        )
        raise AttemptFailed(AttemptEnd.FOREIGN_ANSWER, message)

    def _read_one(self) -> ServerAnswer:
        try:
            head = self._connection.read_head()
            is_framed = self._read_body(head)
        except tuple(CUT_ENDS) as error:
            received_bytes = len(self._buffer.body) if self._buffer else 0
            raise AnswerCutOff(
                CUT_ENDS[type(error)],
                f'the answer of server "{self._server_id}" was cut off after '
                f"{received_bytes} bytes of its body: {error}",
                received_bytes,
            ) from error
        except AnswerBodyError as error:
            message = f'the answer of server "{self._server_id}" was truncated: {error}'
            raise AttemptFailed(AttemptEnd.CUT_BEFORE_BODY, message) from error
        except (*CONNECTION_ERRORS, *MALFORMED_ANSWER_ERRORS) as error:
            if self._send_failure is not None:
                raise self._send_failure from None
            end = AttemptEnd.BROKEN_BEFORE_HEAD
            raise AttemptFailed(
                end,
                f'reading the answer of server "{self._server_id}" failed: {error}',
            ) from error
        keeps_open = is_framed and head.keeps_connection
        body, reservation = bytearray(), None
        if self._buffer is not None:
            body, reservation = self._buffer.body, self._buffer.finish()
        return ServerAnswer(
            head.status, head.reason, head.fields, body, keeps_open, reservation
        )

    def _read_body(self, head: AnswerHead) -> bool:
        """Read the body, and return whether its framing determines its end."""
        self._buffer = None
        if self._request.method == "HEAD" or head.status in BODYLESS_STATUSES:
            return True
        framing = parse_framing(head.fields.pairs, head.version)
        self._buffer = buffer = AnswerBuffer(
            self._memory, framing.content_length, self._request.expected_answer
        )
        if framing.content_length is None and not framing.is_chunked:
            self._read_to_end(buffer)
            if (
                not self._is_body_sent
                and head.status // 100 == HTTP_STATUS_CLASS_SUCCESS
            ):
                # The connection of a server that is killed ends in the same way.
                raise AnswerBodyError("it ended before the request was sent")
            return False
        source = AnswerBodyReader(self._connection.reader, framing)
        while not source.is_ended:
            buffer.append(source.read1(buffer.readable_bytes()))
        return True

    def _read_to_end(self, buffer: AnswerBuffer) -> None:
        """Read until the server closes the connection; a reset means truncation.

        A socket reports a reset once. If the thread that sends the body learns of it,
        the reader sees an ordinary end.
        """
        reader = self._connection.reader
        try:
            while piece := reader.read1(buffer.readable_bytes()):
                buffer.append(piece)
        except OSError as error:
            raise AnswerBodyError(f"the connection broke: {error}") from None
        if self._send_failure is not None:
            raise AnswerBodyError(self._send_failure.message)
