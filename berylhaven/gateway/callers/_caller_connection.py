"""A caller's connection, from which requests are read ahead of their answers."""

import math
import socket

import eventlet

from berylhaven.clock import monotonic_s, sleep_s
from berylhaven.gateway.callers._answer_queue import AnswerQueue
from berylhaven.gateway.callers._close_reason import CloseReason
from berylhaven.gateway.callers._connection_context import ConnectionContext
from berylhaven.gateway.callers._drain import DrainRefusal
from berylhaven.gateway.callers._held_bytes import NoRoom, Reservation
from berylhaven.gateway.callers._input_check import has_input
from berylhaven.gateway.callers._passed_on import (
    NOT_RUN,
    OUTCOME,
    passed_on_attempt_limit,
)
from berylhaven.gateway.callers._pending_answer import PendingAnswer
from berylhaven.gateway.callers._request import GatewayRequest, error_answer
from berylhaven.gateway.callers._request_end_log import ConnectionEnd
from berylhaven.gateway.callers._request_head import RequestHead, read_head
from berylhaven.gateway.callers._request_progress import RequestProgress
from berylhaven.http1 import (
    CONTINUE_LINE,
    OUTPUT_POLL_INTERVAL_S,
    HeadFields,
    RequestBody,
    parse_framing,
)
from berylhaven.overload import SMALL_BYTES, HeldKind, body_kind
from berylhaven.results import CallRefused, SenderTooSlow

# Bodies up to this size are read before the request is processed.
PREREAD_BODY_LIMIT_BYTES = 1_000_000
# The interval at which the end of a larger body is polled for.
BODY_POLL_INTERVAL_S = 0.02
# What a pipelined request takes besides its head and body: its green threads and
# objects. 2,500 pending requests took 33 MB.
PENDING_REQUEST_BYTES = 13_000
# A first head up to this size is not refused: its connection takes as much, and the
# number of connections is limited.
SMALL_HEAD_BYTES = 4_096
# A head is held as received text and as parsed fields.
HEAD_COPY_COUNT = 2
# The interval at which room for another pipelined head is polled for.
ROOM_POLL_INTERVAL_S = 0.02
# A small body up to this size is read in one step.
FIRST_STEP_BYTES = 2_048
# How long a request waits for room for its body, where room is expected by then.
BODY_WAIT_LIMIT_S = 0.2
# A waiting read takes as much memory as it may return.
DISCARD_PIECE_BYTES = 8_192


class CallerConnection:
    """Serves one connection until it is closed.

    Parameters
    ----------
    sock : socket.socket
        The caller's socket.
    reader : io.BufferedReader
        The buffered reader of the socket.
    context : ConnectionContext
        What the connections of the port share.
    """

    __slots__ = (
        "_socket",
        "_reader",
        "_context",
        "_answers",
        "_is_receiving",
        "_reading_thread",
    )

    def __init__(
        self, sock: socket.socket, reader: object, context: ConnectionContext
    ) -> None:
        self._socket = sock
        self._reader = reader
        self._context = context
        self._answers = AnswerQueue(sock, context)
        # Whether a request has begun to arrive that is not yet among the pending ones.
        self._is_receiving = False
        # The green thread that reads the requests.
        self._reading_thread = eventlet.getcurrent()

    @property
    def pending_count(self) -> int:
        """The number of requests that have begun to arrive and are not yet answered."""
        return len(self._answers) + self._is_receiving

    def serve(self) -> None:
        """Serve requests until the caller or the port closes the connection."""
        self._answers.start()
        end = ConnectionEnd.INTERNAL_ERROR
        try:
            while not self._answers.is_closing and self._await_request():
                if self._answers.is_broken:
                    # Input that was received before a reset can still be read.
                    raise ConnectionAbortedError("an answer could not be written")
                self._is_receiving = True
                self._read_request()
            self._answers.end_input()
            self._finish()
            has_ended = self._answers.has_ended
            end = (
                ConnectionEnd.LAST_ANSWER if has_ended else ConnectionEnd.CALLER_CLOSED
            )
        except OSError:
            # Its requests are cancelled below.
            end = ConnectionEnd.CALLER_BROKE
        except Exception as error:
            self._context.log_fault("", error)
        finally:
            self._is_receiving = False
            if self._answers.is_broken:
                end = ConnectionEnd.WRITE_FAILED
            self._context.end_log.record_unanswered(self.pending_progress(), end)
            self._answers.cancel()

    @property
    def has_unread_input(self) -> bool:
        """Whether bytes, or the end of the input, were received and not yet read."""
        return not self._answers.is_closing and has_input(self._socket)

    @property
    def has_undelivered_output(self) -> bool:
        """Whether the caller has not received all of the answers that were written."""
        return self._answers.output.undelivered_bytes > 0

    def pending_progress(self) -> list[RequestProgress]:
        """Return how far the pending requests have come, in their order."""
        return [pending.progress for pending in self._answers.pending]

    def give_up(self) -> None:
        """Answer the requests that the drain gives up, also one that is arriving."""
        self._answers.give_up()
        if self._is_receiving and self._context.gives_up(math.inf):
            eventlet.kill(self._reading_thread, DrainRefusal, DrainRefusal(0.0))

    def close_if_idle(self) -> None:
        """Close the connection if nothing is pending, unread or undelivered.

        Input that arrives after a close resets the connection, and the caller loses
        what it has not received of the last answer.
        """
        if self.pending_count or self._answers.is_closing or self.has_unread_input:
            return
        if self.has_undelivered_output:
            return
        self._answers.close(CloseReason.DRAIN)

    def _await_request(self) -> bool:
        """Wait for a request's first byte; False on a close or an idle timeout."""
        # Input may have been received by the time at which the timer fires.
        while (wait_s := self._idle_wait_s()) > 0 or has_input(self._socket):
            with eventlet.Timeout(wait_s, False):
                return bool(self._reader.peek(1)) and not self._answers.is_closing
        if not self._answers.is_closing:
            self._answers.close(CloseReason.IDLE)
        return False

    def _idle_wait_s(self) -> float:
        """Return how long to wait for input; 0 once the connection has been idle."""
        idle_timeout_s = self._context.caller_limits.idle_timeout_s
        if self._answers:
            return idle_timeout_s
        now_s = monotonic_s()
        left_s = self._answers.idle_since_s + idle_timeout_s - now_s
        if left_s <= 0 and self._answers.output.is_receiving(now_s, idle_timeout_s):
            return OUTPUT_POLL_INTERVAL_S
        return max(0.0, left_s)

    def _read_request(self) -> None:
        """Read a request and start it, unless the connection is closed before it."""
        received_at_s = monotonic_s()
        limits = self._context.caller_limits
        head = None
        try:
            self._await_head_room()
            if self._answers.is_closing:
                return
            with eventlet.Timeout(limits.header_timeout_s, False):
                head = read_head(self._reader, limits.header_limit_bytes)
            if head is not None:
                self._start_request(head, received_at_s)
                return
        except CallRefused as refusal:
            self._reject_head(refusal.code.status, refusal.message)
            return
        except (NoRoom, DrainRefusal) as refusal:
            self._reject_head(503, refusal.message, refusal.return_s, head)
            return
        message = (
            f"the request head was not complete within {limits.header_timeout_s} s"
        )
        self._reject_head(408, message)

    def _start_request(self, head: RequestHead, received_at_s: float) -> None:
        """Start a request, and wait until its body was read or it is answered."""
        fields = head.fields
        limits = self._context.caller_limits
        body = RequestBody(
            self._reader,
            parse_framing(fields.pairs, head.version),
            limits.idle_timeout_s,
            self._send_continue if head.expects_continue else None,
        )
        caller_host = self._caller_host()
        request_id = self._context.dialect.request_id(fields) or ""
        progress = RequestProgress(request_id, received_at_s)
        request = GatewayRequest(
            method=head.method,
            target=head.target,
            fields=fields,
            body=body,
            request_id=request_id,
            received_at_s=received_at_s,
            progress=progress,
            remaining_s=self._context.dialect.remaining_s(fields),
            caller_host=caller_host,
        )
        # Callers have no say in how instances treat one another's requests.
        attempt_limit = passed_on_attempt_limit(fields)
        if attempt_limit is not None and self._context.is_peer(caller_host):
            request.passed_on_attempt_limit = attempt_limit
        pending = PendingAnswer(request.method == "HEAD", progress, body)
        if request.passed_on_attempt_limit is not None:
            pending.is_passed_on = True
            pending.naming_header = self._naming_header(fields)
        pending.reservation = self._reserve_head(head)
        if body.has_body:
            self._context.check_intake(request)
            body.limit_bytes = limits.body_limit_bytes
            self._buffer_body(request)
        if self._answers.is_closing:
            # Behind the last answer it counts as unread, and its caller repeats it.
            return
        self._enqueue(pending, CloseReason.CALLER if head.asks_for_close else None)
        pending.thread = eventlet.spawn(self._answer, request, pending)
        self._await_body(body, pending)
        if not self._answers.is_closing:
            self._answers.await_slot()

    def _reserve_head(self, head: RequestHead) -> Reservation:
        size_bytes = HEAD_COPY_COUNT * head.text_bytes
        held = self._context.held
        if self._answers:
            # It was read because there was room, or the last answer is just written.
            size_bytes += PENDING_REQUEST_BYTES
            return held.add(HeldKind.PIPELINED_HEAD, size_bytes)
        if head.text_bytes <= SMALL_HEAD_BYTES:
            return held.add(HeldKind.HEAD, size_bytes)
        return held.admit(HeldKind.HEAD, size_bytes)

    def _buffer_body(self, request: GatewayRequest) -> None:
        """Read the first part of a body, once there is room for it."""
        body, held = request.body, self._context.held
        idle_timeout_s = self._context.caller_limits.idle_timeout_s
        size_bytes = body.content_length
        if size_bytes is None:
            size_bytes = SMALL_BYTES
        if size_bytes > PREREAD_BODY_LIMIT_BYTES:
            # It cannot be kept for another attempt, so more would only take memory.
            size_bytes = SMALL_BYTES
        timeout_error = SenderTooSlow(
            "the first part of the request body was not received within "
            f"{idle_timeout_s} s"
        )
        with eventlet.Timeout(idle_timeout_s, timeout_error):
            self._buffer_in_steps(request, size_bytes)
            if body.content_length is None and not body.is_ended:
                # A chunked body that is not small: its size is still unknown.
                left_bytes = PREREAD_BODY_LIMIT_BYTES - size_bytes
                request.reservation = held.admit(
                    HeldKind.LARGE_BODY, PREREAD_BODY_LIMIT_BYTES
                )
                body.extend_first_part(left_bytes)
        request.reservation.shrink(body.buffered_bytes)

    def _buffer_in_steps(self, request: GatewayRequest, size_bytes: int) -> None:
        """Read a first part; a small one takes room as it comes, a large one at once.

        Callers that announce small bodies and send nothing would otherwise take the
        room of all others. Large bodies would be refused halfway if they took theirs in
        steps.
        """
        body, held = request.body, self._context.held
        kind = body_kind(size_bytes)
        is_small = kind is HeldKind.SMALL_BODY
        part_bytes = min(size_bytes, FIRST_STEP_BYTES) if is_small else size_bytes
        request.reservation = held.admit(kind, part_bytes, BODY_WAIT_LIMIT_S)
        body.buffer_first_part(part_bytes)
        while body.buffered_bytes < size_bytes and not body.is_ended:
            part_bytes = min(size_bytes, 2 * body.buffered_bytes)
            request.reservation.release()
            request.reservation = held.admit(kind, part_bytes, BODY_WAIT_LIMIT_S)
            body.extend_first_part(part_bytes - body.buffered_bytes)

    def _caller_host(self) -> str:
        try:
            return self._socket.getpeername()[0]
        except OSError:
            # The caller has left; the next read or write ends the connection.
            return ""

    def _await_body(self, body: RequestBody, pending: PendingAnswer) -> None:
        """Wait until a body has been read completely or its request is answered."""
        while not body.is_ended and not pending.answered.ready():
            sleep_s(BODY_POLL_INTERVAL_S)

    def _await_head_room(self) -> None:
        """Leave further input unread while pipelined heads take up their share."""
        held, answers = self._context.held, self._answers
        while answers and not answers.is_broken and not answers.is_closing:
            if held.has_room(HeldKind.PIPELINED_HEAD, PENDING_REQUEST_BYTES):
                return
            sleep_s(ROOM_POLL_INTERVAL_S)

    def _answer(self, request: GatewayRequest, pending: PendingAnswer) -> None:
        self._answers.answer(pending, self._context.answer(request))

    def _enqueue(self, pending: PendingAnswer, reason: CloseReason | None) -> None:
        self._is_receiving = False
        self._answers.add(pending, reason)

    def _reject_head(
        self,
        status: int,
        message: str,
        retry_after_s: float | None = None,
        head: RequestHead | None = None,
    ) -> None:
        if self._answers.is_closing:
            # Its caller counts it as unread.
            return
        answer = error_answer(status, message, retry_after_s)
        request_id = self._context.dialect.request_id(head.fields) if head else None
        progress = RequestProgress(request_id or "", monotonic_s())
        pending = PendingAnswer(False, progress)
        if head is not None and passed_on_attempt_limit(head.fields) is not None:
            # The instance that passed the request on may try another one.
            answer.headers.append((OUTCOME, NOT_RUN))
            pending.naming_header = self._naming_header(head.fields)
        self._context.log_head_rejected(request_id, status, message)
        self._enqueue(pending, CloseReason.REJECTED_HEAD)
        self._answers.answer(pending, answer)

    def _naming_header(self, fields: HeadFields) -> tuple[str, str] | None:
        dialect = self._context.dialect
        request_id = dialect.request_id(fields)
        return (dialect.request_id_header, request_id) if request_id else None

    def _send_continue(self) -> None:
        if not self._answers and not self._answers.is_closing:
            self._socket.sendall(CONTINUE_LINE)

    def _finish(self) -> None:
        """Discard input while the last answers are sent, until the caller closes."""
        self._is_receiving = False
        while self._reader.read1(DISCARD_PIECE_BYTES):
            pass
        self._answers.await_ready_answers()
