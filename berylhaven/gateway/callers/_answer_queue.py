"""The answers of a caller's connection, written in the order of the requests."""

import contextlib
import math
import socket
from collections import deque

import eventlet
import eventlet.event

from berylhaven.clock import monotonic_s, sleep_s
from berylhaven.gateway.callers._close_reason import CloseReason, last_answer_reason
from berylhaven.gateway.callers._connection_context import ConnectionContext
from berylhaven.gateway.callers._drain import DrainRefusal
from berylhaven.gateway.callers._passed_on import NOT_RUN, OUTCOME
from berylhaven.gateway.callers._pending_answer import PendingAnswer, answer_bytes
from berylhaven.gateway.callers._request import GatewayAnswer, error_answer
from berylhaven.gateway.callers._request_progress import RequestStage
from berylhaven.http1 import OUTPUT_POLL_INTERVAL_S, OutputWatch

# The maximum number of concurrent requests on one connection.
PIPELINE_LIMIT = 32
# The part of an answer that is sent together with its head.
FIRST_PIECE_BYTES = 8_192
# How long a connection is still read after its last answer was delivered: closing a
# socket with unread bytes resets the connection, and the caller could lose the answer.
LINGER_TIMEOUT_S = 1.0


class AnswerQueue:
    """Holds the pending requests of a connection and writes their answers.

    Parameters
    ----------
    sock : socket.socket
        The caller's socket.
    context : ConnectionContext
        What the connections of the port share.
    """

    __slots__ = (
        "_socket",
        "_context",
        "_pending",
        "_has_pending",
        "_slot_released",
        "_writer",
        "_close_reason",
        "idle_since_s",
        "output",
        "has_ended",
        "is_broken",
    )

    def __init__(self, sock: socket.socket, context: ConnectionContext) -> None:
        self._socket = sock
        self._context = context
        self._pending: deque[PendingAnswer] = deque()
        self._has_pending = eventlet.event.Event()
        self._slot_released = eventlet.event.Event()
        self._writer: eventlet.greenthread.GreenThread | None = None
        # Why no further request is taken; None as long as others are.
        self._close_reason: CloseReason | None = None
        # Since when no request has been pending if none is, on the hub's clock.
        self.idle_since_s = monotonic_s()
        # What of the answers the caller has not received.
        self.output = OutputWatch(sock)
        # Whether the last answer was written.
        self.has_ended = False
        # Whether an answer could not be written.
        self.is_broken = False

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def pending(self) -> list[PendingAnswer]:
        """The requests that are not yet answered, in their order."""
        return list(self._pending)

    @property
    def is_closing(self) -> bool:
        """Whether no further request is taken; further input is discarded."""
        return self._close_reason is not None

    def start(self) -> None:
        """Write answers from a new green thread until the last one."""
        self._writer = eventlet.spawn(self._write_answers)

    def add(
        self, pending: PendingAnswer, close_reason: CloseReason | None = None
    ) -> None:
        """Add a request behind the others, unless no further one is taken.

        Parameters
        ----------
        pending : PendingAnswer
            The request.
        close_reason : CloseReason or None
            Why it is the last one; None if its head does not make it so.
        """
        if self.is_closing:
            raise ValueError(
                f"request {pending.progress.request_id!r} is behind the last one"
            )
        self._close_reason = close_reason
        self._pending.append(pending)
        if not self._has_pending.ready():
            self._has_pending.send()

    def answer(self, pending: PendingAnswer, answer: GatewayAnswer) -> None:
        """Hand over the answer to a pending request.

        Parameters
        ----------
        pending : PendingAnswer
            The request; nothing reads its body any more.
        answer : GatewayAnswer
            Its answer, which is written after those before it.
        """
        pending.progress.record_answered(monotonic_s())
        if pending.body is not None and not pending.body.is_ended:
            # No request was read behind an incomplete body, so this is the last one.
            self._close_reason = self._close_reason or CloseReason.UNREAD_BODY
        pending.body = None
        pending.answered.send(answer)

    def await_slot(self) -> None:
        """Wait while the connection has as many requests as it may have."""
        while len(self._pending) >= PIPELINE_LIMIT and not self.is_broken:
            self._slot_released = eventlet.event.Event()
            self._slot_released.wait()

    def await_ready_answers(self) -> None:
        """Wait until all answers are written, if all are there.

        A caller that has closed its sending side may still read its answers, but waits
        for no request that is at work. One that reads nothing is not waited for.
        """
        if not all(pending.answered.ready() for pending in self._pending):
            return
        stall_limit_s = self._context.caller_limits.idle_timeout_s
        while self._pending and not self.is_broken:
            if self.output.is_stalled(monotonic_s(), stall_limit_s):
                return
            sleep_s(OUTPUT_POLL_INTERVAL_S)

    def end_input(self) -> None:
        """Take no further request: the caller has closed its sending side."""
        self._close_reason = self._close_reason or CloseReason.CALLER

    def close(self, reason: CloseReason) -> None:
        """Close the connection, which has no pending request."""
        self._close_reason = reason
        self._context.record_close(reason)
        self._shut_down(socket.SHUT_RDWR)

    def give_up(self) -> None:
        """Answer the requests that the drain gives up, and cancel their work."""
        for pending in self.pending:
            progress = pending.progress
            if pending.answered.ready():
                continue
            is_received = progress.stage is RequestStage.RECEIVED
            # A request whose answer was read is given up only with the last ones.
            due_at_s = -math.inf if is_received else progress.due_at_s
            if not self._context.gives_up(due_at_s):
                continue
            pending.thread.kill()
            answer = _stop_answer(pending)
            self._context.end_log.record_given_up(progress, answer.status)
            self.answer(pending, answer)

    def cancel(self) -> None:
        """Cancel the pending requests, which closes their server connections."""
        if self._writer is not None:
            self._writer.kill()
        for pending in self._pending:
            if pending.thread is not None:
                pending.thread.kill()
            if pending.answered.ready():
                pending.answered.wait().release()
        self._pending.clear()

    def _write_answers(self) -> None:
        try:
            while not self.has_ended:
                while not self._pending:
                    self._has_pending = eventlet.event.Event()
                    self._has_pending.wait()
                self._write_next()
        except OSError:
            # The reader fails too, and cancels the pending requests.
            self.is_broken = True
            self._shut_down(socket.SHUT_RDWR)
            self._release_slot()

    def _write_next(self) -> None:
        # In a method of its own, so that an idle connection refers to no answer.
        pending = self._pending[0]
        self._write(pending, pending.answered.wait())

    def _write(self, pending: PendingAnswer, answer: GatewayAnswer) -> None:
        reason = last_answer_reason(
            self._close_reason, self._context.is_draining, len(self._pending)
        )
        is_last = reason is not None
        if is_last:
            self._close_reason = reason
            self._context.record_close(reason)
        self._send_answer(*answer_bytes(pending, answer, is_last))
        answer.release()
        self._pending.popleft()
        self.idle_since_s = monotonic_s()
        self._release_slot()
        if is_last:
            self.has_ended = True
            self._shut_down(socket.SHUT_WR)
            eventlet.spawn(self._linger)

    def _linger(self) -> None:
        """Close the connection some time after the caller has received the answer."""
        self.output.await_delivery(self._context.caller_limits.idle_timeout_s)
        sleep_s(LINGER_TIMEOUT_S)
        self._shut_down(socket.SHUT_RDWR)

    def _release_slot(self) -> None:
        if not self._slot_released.ready():
            self._slot_released.send()

    def _send_answer(self, head: bytes, body: bytes | bytearray) -> None:
        """Send an answer without a further copy of a large body."""
        self._socket.sendall(head + body[:FIRST_PIECE_BYTES])
        if len(body) > FIRST_PIECE_BYTES:
            # A slice of a view refers to the bytes, also while a slow caller reads.
            self._socket.sendall(memoryview(body)[FIRST_PIECE_BYTES:])

    def _shut_down(self, how: int) -> None:
        with contextlib.suppress(OSError):
            self._socket.shutdown(how)


def _stop_answer(pending: PendingAnswer) -> GatewayAnswer:
    """Return the answer to a request that is given up because the instance stops."""
    if pending.progress.stage is RequestStage.UNSENT:
        refusal = DrainRefusal(0.0)
        answer = error_answer(503, refusal.message, refusal.return_s)
        if pending.is_passed_on:
            answer.headers.append((OUTCOME, NOT_RUN))
        return answer
    return error_answer(
        504, f"this instance stops before the answer of {pending.progress.sent_to}"
    )
