"""Tests of requests: framing, limits, truncated bodies and slow senders."""

import contextlib
import socket
import unittest

import eventlet
import orjson

from berylhaven.http1._strict_protocol import LINGER_TIMEOUT_S
from berylhaven.http1.tests._raw_backend import answers_raw
from berylhaven.proxy.tests._proxy_path import (
    BOOKINGS,
    POSITIONS,
    ProxyPath,
    RawAnswer,
    get,
    post,
)

SETTINGS = "sender_timeout_s = 0.5\nheader_limit_bytes = 4096\nchunk_bytes = 1024\n"
SMUGGLED = get(POSITIONS + "/smuggled")


class RequestEdgesTest(unittest.TestCase):
    """Ambiguous, malformed, oversized, truncated and slow requests."""

    @classmethod
    def setUpClass(cls):
        cls.path = ProxyPath(SETTINGS)
        cls.addClassCleanup(cls.path.stop)

    def setUp(self):
        for backend in self.path.raw.values():
            backend.requests.clear()
            backend.answers.clear()
        self.bookings = self.path.raw["bookings"]

    def assert_refused(self, answer: RawAnswer, status: int, name: str):
        self.assertEqual(answer.status, status, answer.head + answer.body)
        document = orjson.loads(answer.body)
        self.assertEqual(document["name"], name)
        self.assertEqual(document["outcome"], answer.header("Berylhaven-Outcome"))
        result = str(document["result"])
        self.assertEqual(answer.header("Berylhaven-Result"), result)

    def assert_refused_and_closed(self, data, status=400, name="bad-framing"):
        with self.path.connect() as caller:
            caller.send(data)
            answer = caller.answer()
            self.assert_refused(answer, status, name)
            self.assertEqual(answer.header("Connection"), "close")
            self.assertTrue(caller.is_closed())
        self.assertEqual(self.path.raw["positions"].requests, [])
        self.assertEqual(self.bookings.requests, [])

    def test_ambiguous_framing_is_refused_and_the_connection_closed(self):
        for lines in (
            ("Content-Length: 3", "Content-Length: 40"),
            ("Content-Length: 3", "Content-Length: 3"),
            ("Content-Length: 3, 3",),
            ("Content-Length: +3",),
            ("Content-Length: -3",),
            ("Content-Length: 0x3",),
            ("Content-Length: 3_0",),
            ("Content-Length:",),
            ("Content-Length: 3", "Transfer-Encoding: chunked"),
            ("Transfer-Encoding: gzip, chunked",),
            ("Transfer-Encoding: identity",),
            ("Transfer-Encoding: chunked", "Transfer-Encoding: chunked"),
            ("Transfer-Encoding: xchunked",),
        ):
            with self.subTest(lines):
                data = post(BOOKINGS + "/x", *lines, body=b"abc" + SMUGGLED)
                self.assert_refused_and_closed(data)

    def test_a_malformed_head_is_refused_and_the_connection_closed(self):
        for line in (
            "Transfer-Encoding : chunked",
            "A: b\r\n folded: c",
            "A: b\x00c",
            "A: b\rContent-Length: 3",
            "A: b\nContent-Length: 3",
            "no colon",
            ": no name",
            "A b: c",
            "Host: another",
            "Expect: something",
        ):
            with self.subTest(line):
                data = post(BOOKINGS + "/x", line, body=SMUGGLED)
                self.assert_refused_and_closed(data, name="bad-request-head")

    def test_a_malformed_request_line_is_refused_and_the_connection_closed(self):
        for line in (
            b"GET /x",
            b"GET  /x HTTP/1.1",
            b"GET /x HTTP/2.0",
            b"GET /x\x01y HTTP/1.1",
            b"GET /\xc3\xa9 HTTP/1.1",
            b"GET x HTTP/1.1",
            b"CONNECT host:80 HTTP/1.1",
            b"G@T /x HTTP/1.1",
        ):
            with self.subTest(line):
                data = line + b"\r\nHost: h\r\n\r\n"
                self.assert_refused_and_closed(data, name="bad-request-head")
        data = b"GET /x HTTP/1.1\r\n\r\n"
        self.assert_refused_and_closed(data, name="bad-request-head")

    def test_a_head_over_the_limit_is_refused(self):
        for data in (
            get(POSITIONS + "/x", "A: " + "b" * 5000),
            get(POSITIONS + "/" + "x" * 5000),
            get(POSITIONS + "/x", *[f"A{i}: {'b' * 90}" for i in range(60)]),
        ):
            self.assert_refused_and_closed(data, 431, "head-too-large")
        many = get(POSITIONS + "/x", *[f"A{i}: b" for i in range(150)])
        self.assert_refused_and_closed(many, 400, "bad-request-head")

    def test_a_short_upload_in_one_part_reaches_no_backend_server(self):
        with self.path.connect() as caller:
            caller.send(post(BOOKINGS + "/x", "Content-Length: 40", body=b"short"))
            caller.sock.shutdown(1)
            self.assert_refused(caller.answer(), 400, "body-cut")
        self.assertEqual(self.bookings.requests, [])

    def test_a_long_upload_that_is_cut_is_cut_at_the_backend_server_too(self):
        chunks = b"800\r\n" + b"x" * 2048 + b"\r\n"
        for line, body in (
            ("Content-Length: 4000", b"x" * 2048),
            ("Transfer-Encoding: chunked", chunks),
        ):
            with self.subTest(line):
                self.bookings.requests.clear()
                self.bookings.ended_count = 0
                with self.path.connect() as caller:
                    caller.send(post(BOOKINGS + "/x", line, body=body))
                    caller.sock.shutdown(1)
                    answer = caller.answer()
                    self.assertIn(answer.status, (400, 502))
                    self.assertEqual(answer.header("Berylhaven-Outcome"), "unknown")
                self.path.wait_until(lambda: self.bookings.ended_count == 1)
                self.assertEqual(len(self.bookings.requests), 1)
                self.assertFalse(self.bookings.requests[0].is_complete)
                self.assertEqual(self.path.in_flight_count(), 0)

    def test_malformed_chunks_are_refused(self):
        for body in (
            b"-5\r\nhello\r\n0\r\n\r\n",
            b"+5\r\nhello\r\n0\r\n\r\n",
            b"0x5\r\nhello\r\n0\r\n\r\n",
            b"5_\r\nhello\r\n0\r\n\r\n",
            b" 5\r\nhello\r\n0\r\n\r\n",
            b"5\nhello\r\n0\r\n\r\n",
            b"5\r\nhelloworld\r\n0\r\n\r\n",
            b"\r\nhello\r\n0\r\n\r\n",
            b"5\r\nhello\r\n0\r\nno end of trailer\n\r\n",
        ):
            with self.subTest(body):
                data = post(BOOKINGS, "Transfer-Encoding: chunked", body=body)
                self.assert_refused_and_closed(data)

    def test_a_chunked_body_is_forwarded_whole(self):
        body = b"5;a=b\r\nhello\r\nA\r\n" + b"w" * 10 + b"\r\n0\r\nT: r\r\n\r\n"
        data = post(BOOKINGS + "/x", "Transfer-Encoding: Chunked", body=body)
        with self.path.connect() as caller:
            caller.send(data + get(POSITIONS + "/next"))
            self.assertEqual(caller.answer().status, 200)
            self.assertEqual(caller.answer().status, 200)
        self.assertTrue(self.bookings.requests[0].is_complete)
        self.assertEqual(self.bookings.requests[0].body, b"hello" + b"w" * 10)

    def test_the_body_limit_holds_for_lengths_and_for_chunks(self):
        data = post(BOOKINGS, "Content-Length: 100001", body=b"x")
        self.assert_refused_and_closed(data, 413, "body-too-large")
        chunk = b"2000\r\n" + b"x" * 8192 + b"\r\n"
        data = post(BOOKINGS, "Transfer-Encoding: chunked", body=chunk * 13)
        self.bookings.ended_count = 0
        with self.path.connect() as caller:
            caller.send(data)
            self.assert_refused(caller.answer(), 413, "body-too-large")
            self.assertTrue(caller.is_closed())
        # The caller may receive its answer before the backend server's thread has run.
        self.path.wait_until(lambda: self.bookings.ended_count == 1)
        self.assertFalse(self.bookings.requests[0].is_complete)

    def test_a_slow_sender_is_refused_and_holds_no_backend_server(self):
        for data, name in (
            (b"GET /x HTT", "sender-too-slow"),
            (b"GET /x HTTP/1.1\r\nHost: h\r\nA", "sender-too-slow"),
            (post(BOOKINGS, "Content-Length: 9", body=b"x"), "sender-too-slow"),
        ):
            with self.subTest(data):
                self.assert_refused_and_closed(data, 408, name)

    def test_a_slow_sender_holds_no_admission_either(self):
        with self.path.connect() as caller:
            caller.send(post(BOOKINGS, "Content-Length: 9", body=b"x"))
            for _ in range(20):
                eventlet.sleep(0.005)
                self.assertEqual(self.path.in_flight_count(), 0)

    def test_a_sender_of_single_bytes_is_refused_too(self):
        with self.path.connect() as caller:
            caller.send(post(BOOKINGS, "Content-Length: 100"))
            try:
                for _ in range(100):
                    caller.send(b"x")
                    eventlet.sleep(0.02)
                    if self.bookings.requests:
                        break
            except ConnectionError:
                pass
            self.assert_refused(caller.answer(), 408, "sender-too-slow")
        self.assertEqual(self.bookings.requests, [])

    def test_the_continue_answer_is_sent_only_once_a_server_is_chosen(self):
        expecting = ("Content-Length: 5", "Expect: 100-continue")
        with self.path.connect() as caller:
            caller.send(post("/v1/services/nothing/x", *expecting))
            self.assert_refused(caller.answer(), 404, "unknown-service")
            self.assertTrue(caller.is_closed())
        with self.path.connect() as caller:
            caller.send(post(BOOKINGS + "/x", *expecting))
            self.assertEqual(caller.head(), b"HTTP/1.1 100 Continue\r\n\r\n")
            caller.send(b"hello")
            self.assertEqual(caller.answer().status, 200)
        self.assertEqual(self.bookings.requests[0].body, b"hello")
        self.assertIsNone(self.bookings.requests[0].header("expect"))

    def test_pipelined_requests_are_answered_in_their_order(self):
        backend = self.path.raw["positions"]
        for index in range(5):
            body = str(index).encode()
            backend.answers[f"/{index}"] = lambda sock, request, body=body: (
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body)
            )
        with self.path.connect() as caller:
            caller.send(b"".join(get(f"{POSITIONS}/{i}") for i in range(5)))
            bodies = [caller.answer().body for _ in range(5)]
        self.assertEqual(bodies, [b"0", b"1", b"2", b"3", b"4"])

    def test_nothing_behind_the_last_request_is_run(self):
        # Guards against work whose connection is closed behind an earlier answer.
        backend = self.path.raw["positions"]
        last_requests = (
            get(POSITIONS + "/last", "Connection: close"),
            get(POSITIONS + "/last", version="HTTP/1.0"),
        )
        for data in last_requests:
            with self.subTest(data=data[:40]), self.path.connect() as caller:
                backend.requests.clear()
                caller.send(data + get(POSITIONS + "/behind"))
                answer = caller.answer()
                self.assertEqual(answer.status, 200)
                self.assertEqual(answer.header("Connection"), "close")
                self.assertTrue(caller.is_closed())
                self.assertEqual([r.path for r in backend.requests], ["/last"])

    def test_a_caller_that_writes_behind_its_last_request_gets_the_answer(self):
        # Guards against a reset that takes the answer of a call that has run.
        length = 5_000_000
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length
        backend = self.path.raw["positions"]
        backend.answers["/large"] = answers_raw(head + b"x" * length)
        with self.path.connect() as caller:
            caller.send(get(POSITIONS + "/large", "Connection: close"))
            behind = get(POSITIONS + "/behind")

            def keep_writing():
                while True:
                    caller.send(behind)
                    eventlet.sleep(0.001)

            writer = eventlet.spawn(keep_writing)
            self.addCleanup(writer.kill)
            eventlet.sleep(0.3)
            answer = caller.answer()
        self.assertEqual(len(answer.body), length)
        self.assertTrue(answer.is_whole)

    def test_a_caller_that_receives_slowly_gets_its_whole_last_answer(self):
        # Guards against a linger that ends while the caller still receives the answer.
        length = 2_000_000
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length
        backend = self.path.raw["positions"]
        backend.answers["/large"] = answers_raw(head + b"x" * length)
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
        caller.connect(("127.0.0.1", self.path.ports[0][0]))
        caller.sendall(get(POSITIONS + "/large", "Connection: close"))

        def receive_slowly():
            data = bytearray()
            with contextlib.suppress(OSError):
                while piece := caller.recv(20_000):
                    data += piece
                    eventlet.sleep(0.02)
            return len(data.partition(b"\r\n\r\n")[2])

        receiver = eventlet.spawn(receive_slowly)
        eventlet.sleep(LINGER_TIMEOUT_S + 0.4)
        self.assertFalse(receiver.dead)
        caller.sendall(get(POSITIONS + "/behind"))
        self.assertEqual(receiver.wait(), length)

    def test_hop_by_hop_headers_are_not_forwarded(self):
        data = get(
            POSITIONS + "/x?q=%2F&r",
            "Connection: keep-alive, X-One, Host",
            "X-One: 1",
            "X-Two: 2",
            "Keep-Alive: 5",
            "TE: trailers",
            "Upgrade: h2c",
            "Proxy-Authorization: secret",
            "Berylhaven-Outcome: run",
        )
        self.assertEqual(self.path.exchange(data).status, 200)
        request = self.path.raw["positions"].requests[0]
        self.assertTrue(request.head.startswith(b"GET /x?q=%2F&r HTTP/1.1\r\n"))
        self.assertEqual(request.header("X-Two"), "2")
        self.assertEqual(request.header("Host"), "h")
        for name in ("X-One", "Keep-Alive", "TE", "Upgrade", "Proxy-Authorization"):
            self.assertIsNone(request.header(name), name)
        self.assertIsNone(request.header("Connection"))
        self.assertIsNone(request.header("Berylhaven-Outcome"))

    def test_the_absolute_form_of_a_target_is_accepted(self):
        data = get("http://somewhere" + POSITIONS + "/x")
        self.assertEqual(self.path.exchange(data).status, 200)

    def test_every_own_answer_has_outcome_and_result(self):
        for target in ("/v1/entries?service=positions", "/nothing", POSITIONS + "/x"):
            answer = self.path.exchange(get(target))
            self.assertIsNotNone(answer.header("Berylhaven-Outcome"), target)
            self.assertIsNotNone(answer.header("Berylhaven-Result"), target)

    def test_a_fault_inside_the_instance_gets_a_result_code_and_no_traceback(self):
        handler = self.path.instances[0]._handler
        real, kept = type(handler).handle, handler
        type(handler).handle = lambda self, *arguments: 1 / 0
        self.addCleanup(setattr, type(kept), "handle", real)
        with self.assertLogs("absl", "ERROR"):
            answer = self.path.exchange(get(POSITIONS + "/x"))
        self.assert_refused(answer, 500, "internal-error")
        self.assertNotIn(b"Traceback", answer.body)
