"""Tests of each row of the table of attempt ends, over real sockets."""

import io
import pathlib
import unittest
import unittest.mock

import eventlet

from berylhaven.calls import CLASSIFICATIONS, AttemptEnd, AttemptFailed
from berylhaven.catalogue import parse_catalogue
from berylhaven.clock import monotonic_s
from berylhaven.entry.tests._local_fleet import CATALOGUE
from berylhaven.gateway.callers._held_bytes import HeldBytes
from berylhaven.gateway.callers._request import GatewayRequest
from berylhaven.gateway.callers._request_progress import RequestProgress
from berylhaven.gateway.servers._evacuations import Evacuations
from berylhaven.gateway.servers._server_exchange import AnswerCutOff, exchange
from berylhaven.gateway.tests._gateway_path import FakeDialect
from berylhaven.http1 import HeadFields
from berylhaven.http1._body_framing import BodyFraming
from berylhaven.http1._request_body import RequestBody
from berylhaven.http1._upstream_connection import UpstreamConnection
from berylhaven.http1.tests._raw_backend import RawBackend, answers_raw
from berylhaven.overload import HeldKind
from berylhaven.proxy._attempt_sender import _record_answer
from berylhaven.proxy._call_request import CallRequest
from berylhaven.proxy._stop_watch import StopWatch
from berylhaven.proxy._upstream_caller import UpstreamCaller
from berylhaven.settings import ProxySettings

SETTINGS = ProxySettings(512, 32_768, 65_536, 15.0, 5.0, 60.0)
PAGE = pathlib.Path("docs/design/outcomes.md")
HEAD = b"HTTP/1.1 200 OK\r\n"
SHORT_S = 0.1


class SlowReader:
    """The reader of a caller that sends nothing more."""

    def read1(self, size_bytes):
        raise TimeoutError


def gateway_body(data=b""):
    """Return a body of a request to a gateway; nothing of it is kept."""
    reader = io.BufferedReader(io.BytesIO(data))
    return RequestBody(reader, BodyFraming(len(data), False), 1.0)


class OutcomeTableTest(unittest.TestCase):
    """One test per row; the page and the code give the same consequences."""

    def setUp(self):
        self.backend = RawBackend()
        self.addCleanup(self.backend.stop)
        self.limit = 10
        self.stop_watch = StopWatch()
        self.caller = UpstreamCaller(SETTINGS, lambda _: self.limit, self.stop_watch)
        self.service = parse_catalogue(CATALOGUE).services["bookings"]

    def request(self, data=b"", length=None, method="POST", timeout_s=5.0, reader=None):
        length = len(data) if length is None else length
        reader = reader or io.BufferedReader(io.BytesIO(data))
        return CallRequest(
            service=self.service,
            method=method,
            target="/x",
            headers=[],
            body=RequestBody(reader, BodyFraming(length, False), SHORT_S),
            deadline_s=monotonic_s() + timeout_s,
            call_id="c",
        )

    def assert_ends(self, end, request=None, address=None, **options):
        with self.assertRaises(AttemptFailed) as caught:
            self.caller.attempt(
                address or self.backend.address, request or self.request(), **options
            )
        self.assertIs(caught.exception.end, end)

    def answer(self, data, keeps_open=False):
        self.backend.answers["/x"] = answers_raw(data, keeps_open)

    def test_not_connected(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        listener.close()
        self.assert_ends(AttemptEnd.NOT_CONNECTED, address=address)

    def test_deadline_before_sending(self):
        request = self.request(timeout_s=0.0)
        self.assert_ends(AttemptEnd.DEADLINE_BEFORE_SENDING, request)
        self.assertEqual(self.backend.requests, [])

    def test_caller_body_cut(self):
        self.assert_ends(AttemptEnd.CALLER_BODY_CUT, self.request(b"abc", 10))

    def test_broken_while_sending(self):
        broken = unittest.mock.patch.object(
            UpstreamConnection, "send", side_effect=BrokenPipeError
        )
        with broken:
            self.assert_ends(AttemptEnd.BROKEN_WHILE_SENDING)

    def test_broken_before_head(self):
        self.answer(b"")
        self.assert_ends(AttemptEnd.BROKEN_BEFORE_HEAD)

    def test_deadline_before_head(self):
        self.answer(b"", keeps_open=True)
        self.assert_ends(
            AttemptEnd.DEADLINE_BEFORE_HEAD, self.request(timeout_s=SHORT_S)
        )

    def test_shed(self):
        self.answer(
            b"HTTP/1.1 503 Full\r\nBerylhaven-Not-Started: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        exchange = self.caller.attempt(self.backend.address, self.request())
        with self.assertRaises(AttemptFailed) as caught:
            _record_answer(unittest.mock.Mock(), exchange, monotonic_s())
        self.assertIs(caught.exception.end, AttemptEnd.SHED)

    def test_connection_limit(self):
        self.limit = 0
        self.assert_ends(AttemptEnd.CONNECTION_LIMIT)

    def test_caller_body_too_large(self):
        request = self.request(b"x" * 10)
        request.body.limit_bytes = 5
        self.assert_ends(AttemptEnd.CALLER_BODY_TOO_LARGE, request)

    def test_caller_too_slow(self):
        request = self.request(length=10, reader=SlowReader())
        self.assert_ends(AttemptEnd.CALLER_TOO_SLOW, request)

    def test_caller_gone(self):
        self.answer(b"", keeps_open=True)
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        gone = eventlet.connect(listener.getsockname())
        request = self.request()
        request.caller_socket, _ = listener.accept()
        self.addCleanup(request.caller_socket.close)
        gone.close()
        self.assert_ends(AttemptEnd.CALLER_DISCONNECTED, request)

    def test_silent(self):
        # Only a connection that has worked before can count as unresponsive.
        self.answer(HEAD + b"Content-Length: 0\r\n\r\n", keeps_open=True)
        self.caller.attempt(self.backend.address, self.request()).release(True)
        self.answer(b"", keeps_open=True)
        self.service = parse_catalogue(CATALOGUE).services["positions"]
        request = self.request(method="GET")
        request.body.buffer_first_part(1)
        self.assert_ends(
            AttemptEnd.UNRESPONSIVE, request, unresponsive_timeout_s=SHORT_S
        )

    def test_cut_before_body(self):
        self.answer(HEAD + b"Content-Length: 4\r\n\r\n")
        self.assert_ends(AttemptEnd.CUT_BEFORE_BODY)

    def test_answer_without_length(self):
        self.answer(HEAD + b"\r\nwhole?")
        self.assert_ends(AttemptEnd.ANSWER_WITHOUT_LENGTH)

    def test_foreign_answer(self):
        self.answer(HEAD + b"Berylhaven-Call-Id: d\r\nContent-Length: 0\r\n\r\n")
        self.assert_ends(AttemptEnd.FOREIGN_ANSWER)

    def gateway_exchange(
        self, connection, check_sending=lambda: None, memory=None, body=None
    ):
        body = body or gateway_body()
        now_s = monotonic_s()
        progress = RequestProgress("c", now_s)
        request = GatewayRequest(
            "POST", "/x", HeadFields([]), body, "c", now_s, progress, None
        )
        return exchange(
            connection,
            request,
            FakeDialect(),
            "a",
            now_s + 1.0,
            memory or HeldBytes(),
            check_sending,
        )

    def test_unproven_answer(self):
        # Only gateways need the backend servers to name the request in each answer.
        connection = UpstreamConnection(self.backend.address, 1_000)
        self.addCleanup(connection.close)
        self.answer(HEAD + b"Wordy-Id: c\r\nContent-Length: 0\r\n\r\n", True)
        self.assertTrue(self.gateway_exchange(connection).is_reusable)
        self.answer(HEAD + b"Content-Length: 0\r\n\r\n")
        with self.assertRaises(AttemptFailed) as caught:
            self.gateway_exchange(connection)
        self.assertIs(caught.exception.end, AttemptEnd.UNPROVEN_ANSWER)

    def assert_answer_is_cut(self, end, answer, memory):
        connection = UpstreamConnection(self.backend.address, 1_000)
        self.addCleanup(connection.close)
        self.answer(HEAD + b"Wordy-Id: c\r\n" + answer, True)
        held_bytes = memory.reserved_bytes
        with self.assertRaises(AnswerCutOff) as caught:
            self.gateway_exchange(connection, memory=memory)
        self.assertIs(caught.exception.end, end)
        self.assertEqual(memory.reserved_bytes, held_bytes)

    def test_answer_too_large(self):
        answer = b"Content-Length: 1000000000000\r\n\r\n"
        self.assert_answer_is_cut(AttemptEnd.ANSWER_TOO_LARGE, answer, HeldBytes())

    def test_answer_without_room(self):
        memory = HeldBytes(1_000_000)
        held = memory.admit(HeldKind.LARGE_ANSWER, 1_000_000)
        body = b"10000\r\n" + b"x" * 0x10000 + b"\r\n1\r\nx\r\n0\r\n\r\n"
        answer = b"Transfer-Encoding: chunked\r\n\r\n" + body
        self.assert_answer_is_cut(AttemptEnd.ANSWER_WITHOUT_ROOM, answer, memory)
        held.release()

    def test_excessive_framing(self):
        line = b"1;" + b"x" * 4_000 + b"\r\nx\r\n"
        answer = b"Transfer-Encoding: chunked\r\n\r\n" + 70 * line
        self.assert_answer_is_cut(AttemptEnd.EXCESSIVE_FRAMING, answer, HeldBytes())

    def test_server_evacuated(self):
        # Only gateways send requests to data centres that operators evacuate.
        evacuations = Evacuations()
        evacuations.evacuate("here")
        connection = UpstreamConnection(self.backend.address, 1_000)
        self.addCleanup(connection.close)
        with self.assertRaises(AttemptFailed) as caught:
            self.gateway_exchange(
                connection, lambda: evacuations.check_sending("a", "here")
            )
        self.assertIs(caught.exception.end, AttemptEnd.SERVER_EVACUATED)
        connection.close()
        eventlet.sleep(0.01)
        self.assertEqual(self.backend.requests, [])

    def test_body_taken(self):
        # Only gateways send a request to two servers at once.
        body = gateway_body(b"x" * 9_000)
        body.pieces(1)
        connection = UpstreamConnection(self.backend.address, 1_000)
        self.addCleanup(connection.close)
        with self.assertRaises(AttemptFailed) as caught:
            self.gateway_exchange(connection, body=body)
        self.assertIs(caught.exception.end, AttemptEnd.BODY_TAKEN)
        connection.close()
        eventlet.sleep(0.01)
        self.assertEqual(self.backend.requests, [])

    def test_instance_stops(self):
        self.stop_watch.stop()
        self.assert_ends(AttemptEnd.INSTANCE_STOPS)
        self.assertEqual(self.backend.requests, [])

    def test_stop_before_head(self):
        self.answer(b"", keeps_open=True)
        eventlet.spawn_after(SHORT_S, self.stop_watch.stop)
        self.assert_ends(AttemptEnd.STOP_BEFORE_HEAD)

    def test_every_end_has_a_test_of_its_name(self):
        for end in AttemptEnd:
            name = "test_" + end.value.replace("-", "_")
            self.assertTrue(hasattr(self, name), name)

    def test_the_page_says_what_the_code_does(self):
        rows = {}
        for line in PAGE.read_text().splitlines():
            cells = [cell.strip(" `") for cell in line.split("|")[1:-1]]
            if len(cells) == 6:
                rows[cells[0]] = tuple(cells[3:])
        for end, classification in CLASSIFICATIONS.items():
            code = classification.refusal.code
            expected = (
                classification.outcome.value,
                "yes" if classification.may_retry else "no",
                f"{code.number} {code.name}",
            )
            self.assertEqual(rows.get(end.value), expected, end)
