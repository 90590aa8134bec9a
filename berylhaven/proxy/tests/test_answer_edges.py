"""Tests that answers reach the right caller, complete or visibly truncated."""

import unittest
from unittest import mock

import eventlet
import orjson

from berylhaven.http1.tests._raw_backend import answer_ok, answers_raw
from berylhaven.load._server_load import ServerLoad
from berylhaven.proxy.tests._proxy_path import (
    BOOKINGS,
    POSITIONS,
    ProxyPath,
    get,
    post,
)

HEAD = b"HTTP/1.1 200 OK\r\n"
CALLERS_COUNT = 300


def read_to_end(sock):
    """Read what was received; True at an ordinary close."""
    try:
        while sock.recv(1000):
            pass
    except BlockingIOError:
        return False
    return True


class AnswerEdgesTest(unittest.TestCase):
    """One entry instance between raw callers and a raw backend server."""

    @classmethod
    def setUpClass(cls):
        cls.path = ProxyPath("sender_timeout_s = 60\n")
        cls.addClassCleanup(cls.path.stop)

    def setUp(self):
        self.positions = self.path.raw["positions"]
        self.positions.requests.clear()
        self.positions.answers.clear()

    def exchange(self, path="/x", method=b"GET"):
        return self.path.exchange(get(POSITIONS + path).replace(b"GET", method, 1))

    def test_an_answer_cut_after_some_bytes_reaches_its_caller_as_a_cut(self):
        for data in (
            HEAD + b"Content-Length: 40\r\n\r\nsome",
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n",
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n9\r\nsome",
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n-1\r\n",
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nsomeXX0\r\n\r\n",
        ):
            with self.subTest(data):
                self.positions.answers["/x"] = answers_raw(data, keeps_open=False)
                with self.path.connect() as caller:
                    caller.send(get(POSITIONS + "/x"))
                    answer = caller.answer()
                    self.assertEqual(answer.status, 200)
                    self.assertFalse(answer.is_whole)
                    self.assertTrue(caller.is_closed())
                self.assertEqual(self.path.in_flight_count(), 0)

    def test_a_server_whose_answer_breaks_off_is_remembered_for_it(self):
        data = HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n-1\r\n"
        self.positions.answers["/x"] = answers_raw(data, keeps_open=False)
        [record] = self.path.instances[0]._context.load_table.candidates("positions")
        with mock.patch.object(ServerLoad, "answer_broken", autospec=True) as broken:
            self.exchange()
            self.path.wait_until(lambda: broken.called)
        self.assertIs(broken.call_args[0][0], record)
        metrics = self.path.get(0, "/metrics", port=2).data.decode()
        line = 'berylhaven_broken_answers_total{kind="cut",service="positions"}'
        self.assertIn(line, metrics)

    def test_a_cut_that_http_1_0_cannot_show_resets_the_connection(self):
        data = HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n"
        self.positions.answers["/x"] = answers_raw(data, keeps_open=False)
        with self.path.connect() as caller:
            caller.send(get(POSITIONS + "/x", version="HTTP/1.0"))
            # eventlet's sockets report a reset as an ordinary close.
            with self.assertRaises(ConnectionResetError):
                self.path.wait_until(lambda: read_to_end(caller.sock.fd))

    def test_an_invalid_answer_is_refused_with_its_result_code(self):
        for data in (
            b"",
            HEAD[:9],
            HEAD + b"Content-Length: 4\r\n",
            HEAD + b"Content-Length: 4\r\n\r\n",
            HEAD + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nsome",
            HEAD + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nsome",
            HEAD + b"Content-Length : 4\r\n\r\nsome",
            HEAD + b"Content-Length: -4\r\n\r\nsome",
            HEAD + b"A: b\rC: d\r\nContent-Length: 4\r\n\r\nsome",
            HEAD + b"A: b\r\n c\r\nContent-Length: 4\r\n\r\nsome",
            HEAD + b"Transfer-Encoding: gzip\r\n\r\nsome",
            b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
            b"HTTP/1.1 103 Early\r\n\r\n" * 20,
            b"NOTHTTP\r\n\r\n",
            b"HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nsome",
            b"HTTP/1.1 099 X\r\nContent-Length: 4\r\n\r\nsome",
            b"HTTP/1.1 2000 X\r\nContent-Length: 4\r\n\r\nsome",
            HEAD + b"A: " + b"b" * 40_000 + b"\r\n\r\n",
        ):
            with self.subTest(data[:90]):
                self.positions.answers["/x"] = answers_raw(data, keeps_open=False)
                answer = self.exchange()
                self.assertEqual(answer.status, 502)
                self.assertEqual(answer.header("Berylhaven-Outcome"), "unknown")
                name = orjson.loads(answer.body)["name"]
                self.assertEqual(name, "upstream-broken")

    def test_an_answer_that_ends_by_closing_is_refused_since_a_cut_looks_alike(self):
        self.positions.answers["/x"] = answers_raw(HEAD + b"\r\nsome", keeps_open=False)
        answer = self.exchange()
        self.assertEqual(answer.status, 502)
        name = orjson.loads(answer.body)["name"]
        self.assertEqual(name, "answer-without-length")

    def test_surplus_bytes_never_reach_another_caller(self):
        late = HEAD + b"Content-Length: 5\r\n\r\nlate!"
        self.positions.answers["/x"] = answers_raw(
            HEAD + b"Content-Length: 2\r\n\r\nok" + late
        )
        self.assertEqual(self.exchange().body, b"ok")
        self.assertEqual(self.exchange("/y").body, b"ok")
        self.assert_on_two_connections()

    def assert_on_two_connections(self):
        first, second = self.positions.requests
        self.assertIsNot(first.sock, second.sock)

    def test_surplus_bytes_that_come_later_close_the_connection(self):
        def answer(sock, request):
            answer_ok(sock, request)
            sock.sendall(HEAD + b"Content-Length: 5\r\n\r\nlate!")

        self.positions.answers["/x"] = answer
        self.exchange()
        self.assertEqual(self.exchange("/y").body, b"ok")
        self.assert_on_two_connections()

    def test_a_connection_that_was_closed_while_idle_is_not_used(self):
        self.exchange()
        self.positions.requests[0].sock.shutdown(2)
        self.assertEqual(self.exchange("/y").body, b"ok")
        self.assert_on_two_connections()

    def test_an_answer_that_names_another_call_is_refused(self):
        data = b"Berylhaven-Call-Id: other\r\nContent-Length: 2\r\n\r\nok"
        self.positions.answers["/x"] = answers_raw(HEAD + data)
        self.assertEqual(self.exchange().status, 502)

    def test_a_connection_is_used_again_after_a_whole_answer_only(self):
        self.exchange()
        before = self.positions.connections_count
        for _ in range(3):
            self.exchange()
        self.assertEqual(self.positions.connections_count, before)
        closing = HEAD + b"Connection: close\r\nContent-Length: 2\r\n\r\nok"
        self.positions.answers["/x"] = answers_raw(closing, keeps_open=False)
        self.exchange()
        self.exchange()
        self.assertEqual(self.positions.connections_count, before + 1)

    def test_bodyless_answers_leave_the_connection_usable(self):
        rows = (
            (b"HEAD", HEAD + b"Content-Length: 9\r\n\r\n", 200),
            (b"GET", b"HTTP/1.1 204 No Content\r\n\r\n", 204),
            (b"GET", b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", 304),
        )
        with self.path.connect() as caller:
            for method, data, status in rows:
                self.positions.answers["/x"] = answers_raw(data)
                caller.send(get(POSITIONS + "/x").replace(b"GET", method, 1))
                answer = caller.answer(has_body=False)
                self.assertEqual(answer.status, status)
                caller.send(get(POSITIONS + "/y"))
                self.assertEqual(caller.answer().body, b"ok")

    def test_interim_answers_are_skipped(self):
        self.positions.answers["/x"] = answers_raw(
            b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
            b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD + b"Content-Length: 2\r\n\r\nme"
        )
        self.assertEqual(self.exchange().body, b"me")
        self.assertEqual(self.exchange("/y").body, b"ok")

    def test_result_headers_of_the_backend_server_are_dropped(self):
        self.positions.answers["/x"] = answers_raw(
            HEAD + b"Berylhaven-Outcome: not-run\r\nberylhaven-result: 203\r\n"
            b"Keep-Alive: 5\r\nConnection: X-One\r\nX-One: 1\r\nX-Two: 2\r\n"
            b"content-length: 2\r\n\r\nok"
        )
        answer = self.exchange()
        self.assertEqual(answer.header("Berylhaven-Outcome"), "run")
        self.assertEqual(answer.header("Berylhaven-Result"), "200")
        self.assertEqual(answer.header_count("Berylhaven-Outcome"), 1)
        self.assertEqual(answer.header_count("Content-Length"), 1)
        self.assertIsNone(answer.header("X-One"))
        self.assertEqual(answer.header("X-Two"), "2")

    def test_small_pieces_are_forwarded_at_once(self):
        goes_on = eventlet.event.Event()

        def answer(sock, request):
            sock.sendall(HEAD + b"Content-Length: 4\r\n\r\nab")
            goes_on.wait()
            sock.sendall(b"cd")

        self.positions.answers["/x"] = answer
        with self.path.connect() as caller:
            caller.send(get(POSITIONS + "/x"))
            caller.head()
            # The second half is not sent before the first one was received.
            self.assertEqual(caller.reader.read1(4), b"ab")
            goes_on.send()
            self.assertEqual(caller.reader.read(2), b"cd")

    def test_a_caller_that_disconnects_frees_what_its_idempotent_call_held(self):
        closed = eventlet.event.Event()

        def answer(sock, request):
            end = sock.recv(1)
            if not closed.ready():
                closed.send(end)

        self.positions.answers["/x"] = answer
        caller = self.path.connect()
        caller.send(get(POSITIONS + "/x"))
        self.path.wait_until(lambda: self.positions.requests)
        self.assertEqual(self.path.in_flight_count(), 1)
        caller.close()
        self.assertEqual(closed.wait(), b"")
        self.path.wait_until(lambda: self.path.in_flight_count() == 0)
        metrics = self.path.get(0, "/metrics", port=2).data.decode()
        self.assertIn('result="caller-gone"', metrics)

    def test_a_caller_that_stops_reading_frees_the_backend_server_at_the_deadline(self):
        length = 50_000_000
        closed = eventlet.event.Event()

        def answer(sock, request):
            sock.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % length)
            try:
                for _ in range(length // 100_000):
                    sock.sendall(b"x" * 100_000)
            except OSError:
                closed.send(True)
            return False

        self.positions.answers["/x"] = answer
        with self.path.connect() as caller:
            caller.send(get(POSITIONS + "/x", "Berylhaven-Timeout-Ms: 300"))
            self.path.wait_until(closed.ready)
            self.path.wait_until(lambda: self.path.in_flight_count() == 0)

    def test_an_early_answer_to_a_long_upload_reaches_the_caller(self):
        data = b"HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\nno"
        bookings = self.path.raw["bookings"]
        bookings.requests.clear()
        bookings._read_body = lambda request, reader: None
        self.addCleanup(delattr, bookings, "_read_body")
        bookings.answers["/early"] = answers_raw(data, keeps_open=False)
        opened_count = len(bookings.open_sockets)
        with self.path.connect() as caller:
            caller.send(post(BOOKINGS + "/early", "Content-Length: 99000"))
            caller.send(b"x" * 70_000)
            self.path.wait_until(lambda: len(bookings.open_sockets) > opened_count)
            self.path.wait_until(lambda: bookings.open_sockets[-1].fd.fileno() < 0)
            # The backend server has closed, so that sending the rest fails.
            caller.send(b"x" * 29_000)
            answer = caller.answer()
        self.assertEqual(answer.status, 409)
        self.assertEqual(answer.body, b"no")

    def test_many_callers_at_once_each_get_their_own_whole_answer(self):
        def answer(sock, request):
            own = request.path.encode() * 40
            kind = int(request.path[1:]) % 3
            # Answers are out of order: two of three calls are delayed.
            eventlet.sleep(0.01 * kind)
            if kind == 1:
                sock.sendall(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
                sock.sendall(b"%x\r\n%b\r\n0\r\n\r\n" % (len(own), own))
            else:
                sock.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % len(own))
                sock.sendall(own)

        for index in range(CALLERS_COUNT):
            self.positions.answers[f"/{index}"] = answer
        counts = {"whole": 0, "foreign": 0, "partial": 0, "refused": 0}

        def call(index):
            with self.path.connect() as caller:
                for _ in range(2):
                    caller.send(get(f"{POSITIONS}/{index}"))
                    answer = caller.answer()
                    own = f"/{index}".encode() * 40
                    if answer.status != 200:
                        counts["refused"] += 1
                    elif not answer.is_whole:
                        counts["partial"] += 1
                    elif answer.body != own:
                        counts["foreign"] += 1
                    else:
                        counts["whole"] += 1

        threads = [eventlet.spawn(call, index) for index in range(CALLERS_COUNT)]
        for thread in threads:
            thread.wait()
        self.assertEqual(counts["foreign"] + counts["partial"], 0, counts)
        self.assertGreaterEqual(counts["whole"], CALLERS_COUNT // 2, counts)
        self.assertEqual(sum(counts.values()), 2 * CALLERS_COUNT)
