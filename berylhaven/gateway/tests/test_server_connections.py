"""Model test of the connections to servers, against a peer that sends any bytes.

Requests and probes share connections through the real pool, exchange and prober. The
peer repeats answers whole and in parts, early and late, with and without an id, and
cuts its own ones. One operation is at work at a time.
"""

import dataclasses
import io
from unittest import mock

import eventlet
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from berylhaven.attempts import AttemptFailed
from berylhaven.clock import monotonic_s
from berylhaven.gateway import ServerEntry
from berylhaven.gateway.callers._held_bytes import HeldBytes
from berylhaven.gateway.callers._request import GatewayRequest
from berylhaven.gateway.servers._server_exchange import exchange
from berylhaven.gateway.servers._server_probe import ServerProber
from berylhaven.gateway.tests._gateway_path import (
    HEALTH_PATH,
    ID_HEADER,
    ORDERS,
    FakeDialect,
)
from berylhaven.gateway.tests._server_peer import (
    NO_BODY_STATUS,
    NOT_RUN_STATUS,
    Message,
    Peer,
)
from berylhaven.http1 import BodyFraming, ConnectionPool, HeadFields, RequestBody

EXAMPLE_COUNT = 200
STEP_COUNT = 8
HEAD_LIMIT_BYTES = 16_384
MEMORY_BYTES = 100_000_000
# More than the sockets on the way hold, so that it is still sent during the answer.
UPLOAD = bytes(6_000_000)
DEADLINE_S = 5.0
SHORT_DEADLINE_S = 0.01
# Longer than the deadline, which ends every operation, also on a busy machine.
GUARD_S = 30.0


kinds = st.tuples(
    st.sampled_from(["copy", "unnamed", "part", "interim"]), st.integers(0, 400)
)
few_kinds = st.lists(kinds, max_size=2)
# A probe can be blamed for what it takes only if nothing before it is without an id.
one_copy = st.lists(st.tuples(st.just("copy"), st.integers(0, 400)), max_size=1)
mostly = st.sampled_from([True] * 7 + [False])
statuses = st.sampled_from([200, 500, NOT_RUN_STATUS, NO_BODY_STATUS])
framings = st.sampled_from(["length", "length", "chunks", "open"])
cuts = st.none() | st.integers(0, 400)
ends = st.sampled_from(["kept", "close", "reset", "cancel", "deadline"])
# Where the own answer is cut, what ends the exchange, and what is sent behind it.
whole = st.just((None, "kept", []))
fates = st.one_of(whole, whole, whole, st.tuples(cuts, ends, few_kinds))
splits = st.integers(0, 200)


class ServerConnections(RuleBasedStateMachine):
    """Requests and probes over the connections of one pool to one server."""

    def __init__(self):
        super().__init__()
        self.peer = Peer()
        self.pool = ConnectionPool(lambda address: 8, HEAD_LIMIT_BYTES)
        self.memory = HeldBytes(MEMORY_BYTES)
        self.dialect = FakeDialect()
        evacuations = mock.Mock(**{"is_evacuated.return_value": False})
        self.prober = ServerProber(
            self.pool, self.dialect, mock.Mock(), mock.Mock(), mock.Mock(), evacuations
        )
        entry = ServerEntry("orders-0", ORDERS, self.peer.address, "here", 4, False)
        self.server = mock.Mock(entry=entry)
        self.number = 0
        self.messages = []

    def teardown(self):
        self.peer.stop()
        self.pool.close_idle(self.peer.address)

    @rule(
        method=st.sampled_from(["GET", "GET", "HEAD"]),
        has_id=mostly,
        before=few_kinds,
        status=statuses,
        framing=framings,
        is_named=mostly,
        split=splits,
        fate=fates,
    )
    def request(self, method, has_id, before, status, framing, is_named, split, fate):
        named = has_id and is_named
        self.play_request(method, has_id, before, status, framing, named, split, fate)

    @rule(
        framing=st.sampled_from(["open", "open", "length"]),
        split=splits,
        cut=cuts,
        end=st.sampled_from(["reset", "reset", "kept", "close", "cancel"]),
    )
    def upload(self, framing, split, cut, end):
        """Answer before the body was read, which is still being sent then."""
        fate = (cut, end, [])
        self.play_request("PUT", True, [], 200, framing, True, split, fate)

    def play_request(
        self, method, has_id, before, status, framing, is_named, split, fate
    ):
        cut, end, after = fate
        self.number += 1
        request_id = f"r{self.number}" if has_id else ""
        framing = "head" if method == "HEAD" else framing
        named_id = request_id if is_named else None
        own = Message(status, f"body of {self.number}", named_id, framing)
        has_open_end = framing == "open" and status != NO_BODY_STATUS
        if has_open_end:
            after = []
            end = "close" if end == "kept" else end
            # An orderly close is the end of such an answer, wherever it comes.
            cut = None if end == "close" else cut
        limit_s = SHORT_DEADLINE_S if end == "deadline" else DEADLINE_S
        operation = self.start(lambda: self.exchange(request_id, method, limit_s))
        connection = self.next_request(operation)
        if connection is None:
            self.check_failed(operation)
            return
        is_first = not connection.messages
        is_whole = self.answer(operation, connection, before, own, cut, split, after)
        if connection.due:
            connection.reserved_for = "the last request"
        self.finish(operation, connection, end)
        if not operation.results or isinstance(operation.results[0], AttemptFailed):
            return
        answer = operation.results[0]
        has_body = method != "HEAD" and status != NO_BODY_STATUS
        body = own.body.encode() if has_body else b""
        assert (answer.status, bytes(answer.body)) == (status, body), (answer, own)
        assert is_whole and (end == "close" or not has_open_end), (answer, own)
        assert named_id is not None or is_first, (answer, own)

    @rule(
        before=one_copy | few_kinds,
        status=st.sampled_from([200, NOT_RUN_STATUS]),
        framing=framings,
        split=splits,
        fate=fates,
    )
    def probe(self, before, status, framing, split, fate):
        cut, end, after = fate
        own = Message(status, "ok", None, framing)
        if framing == "open":
            after = []
        operation = self.start(lambda: self.prober.check([self.server], HEALTH_PATH))
        connection = self.next_request(operation)
        if connection is None:
            return
        # A probe can't tell an unnamed copy from its answer; requests check their ids.
        is_misled = any(kind in ("unnamed", "part") for kind, _ in before)
        is_misled = is_misled or bool(connection.due)
        self.answer(operation, connection, before, own, cut, split, after)
        if connection.due and not is_misled:
            connection.reserved_for = "the last probe"
        # The thread of a probe goes on when the one that waits for it is cancelled.
        has_end = framing == "open" or end in ("cancel", "deadline")
        self.finish(operation, connection, "close" if has_end else end)

    @rule(kind=kinds, index=st.integers(0, 3))
    def send_late(self, kind, index):
        """Send what is due, or a copy, on a connection that may be idle."""
        if not self.peer.connections:
            return
        connection = self.peer.connections[-1 - index % len(self.peer.connections)]
        data = b"".join(connection.due) or self.extra(connection, *kind)
        connection.due = []
        if data:
            connection.reserved_for = "what was sent late"
            connection.send(data)

    def start(self, work):
        """Start an operation in a green thread; an AttemptFailed is its result."""

        def run():
            try:
                thread.results.append(work())
            except AttemptFailed as failure:
                thread.results.append(failure)

        thread = Operation()
        thread.thread = eventlet.spawn(run)
        return thread

    def exchange(self, request_id, method, limit_s):
        """Send a request as the attempt runner does."""
        connection = self.pool.acquire(
            self.peer.address, True, requires_new_connection=not request_id
        )
        body = UPLOAD if method == "PUT" else b""
        reader = io.BufferedReader(io.BytesIO(body))
        request = GatewayRequest(
            method,
            "/order/x",
            HeadFields([(ID_HEADER, request_id)] if request_id else []),
            RequestBody(reader, BodyFraming(len(body), False), DEADLINE_S),
            request_id,
            monotonic_s(),
            None,
        )
        answer = None
        try:
            answer = exchange(
                connection,
                request,
                self.dialect,
                "orders-0",
                monotonic_s() + limit_s,
                self.memory,
            )
        finally:
            is_reusable = answer is not None and answer.is_reusable
            self.pool.release(connection, is_reusable)
        return answer

    def next_request(self, operation):
        """Return the connection of the request, or None if none was sent."""
        with eventlet.Timeout(GUARD_S):
            while not operation.results and self.peer.requests.empty():
                eventlet.sleep(0)
        if self.peer.requests.empty():
            return None
        connection = self.peer.requests.get()
        assert connection.reserved_for is None, connection.reserved_for
        return connection

    def answer(self, operation, connection, before, own, cut, split, after):
        """Send the messages while they are read; return whether the own was whole."""
        data = own.data()
        extras = [self.extra(connection, *kind) for kind in before]
        connection.messages.append(own)
        self.messages.append(own)
        if cut is not None:
            after = []
        surplus = [self.extra(connection, *kind) for kind in after]
        own_part = data if cut is None else data[: cut % len(data)]
        connection.due += [piece for extra in extras for piece in halves(extra, split)]
        connection.due += halves(own_part, split)
        while connection.due and not operation.results:
            connection.send(connection.due.pop(0))
        is_whole = cut is None and not connection.due
        if any(surplus):
            connection.send(b"".join(connection.due + surplus))
            connection.due = []
            connection.reserved_for = "a surplus"
        return is_whole

    def extra(self, connection, kind, number):
        """Return bytes that belong to no request in flight."""
        if kind == "interim":
            return b"HTTP/1.1 102 Processing\r\n\r\n"
        if kind == "copy":
            named = [m for m in self.messages if m.request_id is not None]
            return named[number % len(named)].data() if named else b""
        if not connection.messages:
            return b""
        copy = connection.messages[number % len(connection.messages)]
        if kind == "unnamed":
            return dataclasses.replace(copy, request_id=None).data()
        return copy.data()[:number]

    def finish(self, operation, connection, end):
        """End the connection or the operation as the rule says."""
        if end in ("close", "reset"):
            connection.end(end == "reset")
        elif end == "cancel" and not operation.results:
            operation.thread.kill()
            return
        elif end != "deadline" and not operation.results:
            connection.end(False)
        with eventlet.Timeout(GUARD_S):
            operation.thread.wait()

    def check_failed(self, operation):
        assert isinstance(operation.results[0], AttemptFailed), operation.results


class Operation:
    """A request or a probe at work."""

    def __init__(self):
        self.results = []
        self.thread = None


def halves(data, split):
    """Return the data in up to two pieces."""
    end = split % (len(data) + 1)
    return [piece for piece in (data[:end], data[end:]) if piece]


# Guards against foreign, partial and unproven answers, and against the use of a
# connection on which an answer to something else is due.
ServerConnectionsTest = ServerConnections.TestCase
ServerConnectionsTest.settings = settings(
    max_examples=EXAMPLE_COUNT,
    stateful_step_count=STEP_COUNT,
    derandomize=True,
    deadline=None,
    database=None,
)
