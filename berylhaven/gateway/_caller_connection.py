"""One caller's connection: requests are read ahead and answered in order."""

import contextlib
import re
import socket
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import eventlet
import eventlet.event

from berylhaven.clock import monotonic_s, sleep_s
from berylhaven.gateway._request import GatewayAnswer, GatewayRequest, error_answer
from berylhaven.http1 import (
    CONTINUE_LINE,
    END_OF_HEAD,
    HeadFields,
    RequestBody,
    read_fields,
    read_framing,
)
from berylhaven.results import BadRequestHead, CallRefused, HeadTooLarge, SenderTooSlow

if TYPE_CHECKING:
    from berylhaven.gateway._callers_port import CallersPort

REQUEST_LINE = re.compile(
    rb"(?P<method>[A-Za-z0-9!#$%&'*+.^_`|~-]{1,32}) "
    rb"(?P<target>(?:/|http://)[!-~]*) (?P<version>HTTP/1\.[01])\r\n"
)
AUTHORITY = re.compile(r"http://[^/]*")
HTTP_1_1 = "HTTP/1.1"
CONTINUE = "100-continue"
# Requests of one connection that are under way at once.
PIPELINE_LIMIT = 32
# Bodies up to this size are read before their request is acted on.
READ_BODY_BYTES = 1_000_000
# How often a request with a larger body is looked at, until its body was read.
BODY_LOOK_EVERY_S = 0.02
# After its last answer a connection is read for so long, since a close with unread
# bytes would destroy the answer on its way.
LINGER_S = 1.0
BODYLESS_STATUSES = frozenset({204, 304})


@dataclass(slots=True)
class PendingAnswer:
    """A request that was read and is not answered yet."""

    # Whether the answer has no body by the request's method.
    is_head: bool
    # Whether the caller understands no more than HTTP/1.0, or asked for a close.
    wants_close: bool
    # Gets the answer.
    answered: eventlet.event.Event = field(default_factory=eventlet.event.Event)
    # The green thread that works on it.
    thread: eventlet.greenthread.GreenThread | None = None


class CallerConnection:
    """Serves one connection until it ends.

    Parameters
    ----------
    sock : socket.socket
        The caller's socket.
    reader : io.BufferedReader
        Reads from it.
    port : CallersPort
        With the application, the limits and the state of the port.
    """

    __slots__ = (
        "_socket",
        "_reader",
        "_port",
        "_pending",
        "_has_pending",
        "_writer",
        "_is_ending",
        "_room",
    )

    def __init__(
        self, sock: socket.socket, reader: object, port: "CallersPort"
    ) -> None:
        self._socket = sock
        self._reader = reader
        self._port = port
        self._pending: deque[PendingAnswer] = deque()
        self._has_pending = eventlet.event.Event()
        self._room = eventlet.event.Event()
        self._writer: eventlet.greenthread.GreenThread | None = None
        # Whether the last answer is on its way; nothing that comes now is acted on.
        self._is_ending = False

    @property
    def pending_count(self) -> int:
        """Requests that were read and are not answered yet."""
        return len(self._pending)

    def serve(self) -> None:
        """Serve requests until the caller or the port ends the connection."""
        self._writer = eventlet.spawn(self._write_answers)
        try:
            while not self._is_ending:
                if not self._await_request():
                    break
                if not self._read_request():
                    # The refusal is the last answer.
                    self._writer.wait()
                    break
            if self._is_ending:
                self._read_rest()
        except OSError:
            # The caller's connection broke; what follows ends its requests.
            return
        finally:
            self._abandon()

    def close_if_idle(self) -> None:
        """End the connection if nothing is under way on it."""
        if not self._pending and not self._is_ending:
            self._is_ending = True
            self._shut_down(socket.SHUT_RDWR)

    def _await_request(self) -> bool:
        """Wait for a request's first byte; False if the caller left or idled away."""
        while True:
            idle_timeout_s = self._port.caller_limits.idle_timeout_s
            with eventlet.Timeout(idle_timeout_s, False):
                return bool(self._reader.peek(1)) and not self._is_ending
            if not self._pending:
                return False

    def _read_request(self) -> bool:
        """Read a request and start on it; False after a refusal of its head."""
        received_at_s = monotonic_s()
        limits = self._port.caller_limits
        head = None
        try:
            with eventlet.Timeout(limits.header_timeout_s, False):
                head = self._read_head(limits.header_limit_bytes)
            if head is not None:
                self._start(head, received_at_s)
                return True
        except CallRefused as refusal:
            self._refuse_head(refusal.code.status, refusal.message)
            return False
        message = f"the head took over {limits.header_timeout_s} s"
        self._refuse_head(408, message)
        return False

    def _read_head(self, limit_bytes: int) -> tuple[re.Match, HeadFields]:
        line = self._reader.readline(limit_bytes + 1)
        if line == END_OF_HEAD:
            # An empty line before a request is passed over.
            line = self._reader.readline(limit_bytes + 1)
        if len(line) > limit_bytes:
            raise HeadTooLarge("the request line is over the limit")
        match = REQUEST_LINE.fullmatch(line)
        if match is None:
            if not line.endswith(b"\n"):
                raise ConnectionAbortedError("the caller left within a head")
            raise BadRequestHead("the request line is not METHOD TARGET HTTP/1.1")
        fields = read_fields(self._reader, limit_bytes - len(line))
        hosts = sum(1 for name, _ in fields.pairs if name.lower() == "host")
        if hosts > 1 or (hosts == 0 and match["version"] == b"HTTP/1.1"):
            raise BadRequestHead("send one Host header")
        expected = fields.get("expect")
        if expected is not None and expected.lower() != CONTINUE:
            raise BadRequestHead("the only expectation taken is 100-continue")
        return match, fields

    def _start(self, head: tuple[re.Match, HeadFields], received_at_s: float) -> None:
        match, fields = head
        version = match["version"].decode()
        target = match["target"].decode("latin-1")
        if not target.startswith("/"):
            target = AUTHORITY.sub("", target, count=1) or "/"
        limits = self._port.caller_limits
        is_expected = fields.get("expect") is not None and version == HTTP_1_1
        body = RequestBody(
            self._reader,
            read_framing(fields.pairs, version),
            limits.idle_timeout_s,
            self._send_continue if is_expected else None,
        )
        request = GatewayRequest(
            method=match["method"].decode(),
            target=target,
            fields=fields,
            body=body,
            request_id=self._port.dialect.request_id(fields) or "",
            received_at_s=received_at_s,
            time_left_s=self._port.dialect.time_left_s(fields),
        )
        wants_close = fields.has_token("connection", "close") or (
            version != HTTP_1_1 and not fields.has_token("connection", "keep-alive")
        )
        pending = PendingAnswer(request.method == "HEAD", wants_close)
        if body.has_body:
            body.limit_bytes = limits.body_limit_bytes
            late = SenderTooSlow("the body came too slowly")
            with eventlet.Timeout(limits.idle_timeout_s, late):
                body.read_first(READ_BODY_BYTES)
        self._add(pending)
        pending.thread = eventlet.spawn(self._answer, request, pending)
        self._await_body(body, pending)
        self._await_room()

    def _await_body(self, body: RequestBody, pending: PendingAnswer) -> None:
        """Wait until a body has been read to its end, or its request is answered."""
        while not body.is_ended and not pending.answered.ready():
            sleep_s(BODY_LOOK_EVERY_S)

    def _await_room(self) -> None:
        while len(self._pending) >= PIPELINE_LIMIT:
            self._room = eventlet.event.Event()
            self._room.wait()

    def _answer(self, request: GatewayRequest, pending: PendingAnswer) -> None:
        pending.answered.send(self._port.answer(request))

    def _add(self, pending: PendingAnswer) -> None:
        self._pending.append(pending)
        if not self._has_pending.ready():
            self._has_pending.send()

    def _refuse_head(self, status: int, message: str) -> None:
        answer = error_answer(status, message)
        answer.closes_connection = True
        pending = PendingAnswer(False, True)
        pending.answered.send(answer)
        self._port.log_head_rejected(status, message)
        self._add(pending)

    def _send_continue(self) -> None:
        if not self._pending:
            self._socket.sendall(CONTINUE_LINE)

    def _write_answers(self) -> None:
        """Write the answers in the order of their requests."""
        try:
            while not self._is_ending:
                while not self._pending:
                    self._has_pending = eventlet.event.Event()
                    self._has_pending.wait()
                pending = self._pending[0]
                answer = pending.answered.wait()
                self._write(pending, answer)
        except OSError:
            # The reader sees the same end, and abandons what is under way.
            self._shut_down(socket.SHUT_RDWR)

    def _write(self, pending: PendingAnswer, answer: GatewayAnswer) -> None:
        is_last = answer.closes_connection or pending.wants_close
        if self._port.is_draining and len(self._pending) == 1:
            # What is under way behind this answer must be answered too.
            is_last = True
        self._is_ending = is_last
        self._socket.sendall(_answer_bytes(pending, answer, is_last))
        self._pending.popleft()
        if not self._room.ready():
            self._room.send()
        if is_last:
            self._shut_down(socket.SHUT_WR)
            eventlet.spawn_after(LINGER_S, self._shut_down, socket.SHUT_RDWR)

    def _read_rest(self) -> None:
        """Read and drop what still comes, until the caller closes."""
        with eventlet.Timeout(LINGER_S, False):
            while self._reader.read1(65_536):
                pass

    def _shut_down(self, how: int) -> None:
        with contextlib.suppress(OSError):
            self._socket.shutdown(how)

    def _abandon(self) -> None:
        """End all that is under way; the servers' connections close with it."""
        if self._writer is not None:
            self._writer.kill()
        for pending in self._pending:
            if pending.thread is not None:
                pending.thread.kill()
        self._pending.clear()


def _answer_bytes(
    pending: PendingAnswer, answer: GatewayAnswer, is_last: bool
) -> bytes:
    lines = [f"HTTP/1.1 {answer.status} {answer.reason}"]
    lines += [f"{name}: {value}" for name, value in answer.headers]
    is_bodyless = answer.status in BODYLESS_STATUSES
    if not is_bodyless and not pending.is_head:
        lines.append(f"Content-Length: {len(answer.body)}")
    if is_last:
        lines.append("Connection: close")
    head = "\r\n".join([*lines, "", ""]).encode("latin-1")
    return head if is_bodyless or pending.is_head else head + answer.body
