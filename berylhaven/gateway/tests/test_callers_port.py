"""Tests of the callers' port: pipelining, limits, disconnects and draining."""

import errno
import unittest

import eventlet
import eventlet.event

from berylhaven.gateway.tests._gateway_path import (
    ORDERS,
    READS,
    GatewayPath,
    configuration,
    request_bytes,
)

OK = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"


def echo_path(sock, request):
    """Answer with the path of the request."""
    path = request.path.encode()
    sock.sendall(OK % (len(path), path))


class CallersPortTest(unittest.TestCase):
    def setUp(self):
        self.path = GatewayPath()
        self.addCleanup(self.path.stop)
        self.path.answer_all(READS, echo_path)
        self.path.answer_all(ORDERS, echo_path)

    def test_pipelined_requests_run_at_once_and_are_answered_in_order(self):
        slow = eventlet.event.Event()

        def answer(sock, request):
            if request.path == "/read/slow":
                slow.wait()
            echo_path(sock, request)

        self.path.answer_all(READS, answer)
        with self.path.connect() as caller:
            for name in ("slow", "b", "c"):
                caller.send(request_bytes(f"/read/{name}", name))
            with eventlet.Timeout(2.0):
                while len(self.path.requests(READS)) < 3:
                    eventlet.sleep(0.01)
            slow.send()
            bodies = [caller.answer().body for _ in range(3)]
        self.assertEqual(bodies, [b"/read/slow", b"/read/b", b"/read/c"])

    def test_an_instance_is_located_from_readiness_until_it_drains(self):
        other_path = GatewayPath()
        self.addCleanup(other_path.stop)
        self.assertIsNotNone(other_path.instance.locate("here"))
        other_path.instance.leave()
        self.assertIsNone(other_path.instance.locate("here"))

    def test_an_instance_that_accepts_no_connection_is_not_ready(self):
        # Guards against callers that are sent to a port which is out of descriptors.
        port = self.path.instance._port
        port._record_accept_failure(OSError(errno.EMFILE, "too many open files"))
        self.assertFalse(self.path.instance.is_ready)
        self.assertIsNone(self.path.instance.locate("here"))
        port._record_accept_failure(None)
        self.assertIsNotNone(self.path.instance.locate("here"))

    def test_a_caller_disconnect_cancels_its_request_at_the_server(self):
        ended = eventlet.event.Event()

        def answer(sock, request):
            if not sock.recv(1):
                ended.send()
            return False

        self.path.answer_all(READS, answer)
        caller = self.path.connect()
        caller.send(request_bytes("/read/x"))
        with eventlet.Timeout(2.0):
            while not self.path.requests(READS):
                eventlet.sleep(0.01)
        caller.close()
        with eventlet.Timeout(0.5):
            ended.wait()

    def test_a_path_without_a_route_is_404_and_keeps_the_connection(self):
        with self.path.connect() as caller:
            self.assertEqual(caller.exchange("/none/x").status, 404)
            self.assertEqual(caller.exchange("/read/x").status, 200)

    def test_a_malformed_head_is_refused_and_ends_the_connection(self):
        with self.path.connect() as caller:
            caller.send(b"GET /read/x HTTP/1.1\r\nHost : x\r\n\r\n")
            answer = caller.answer()
            self.assertEqual(answer.status, 400)
            self.assertIsNone(caller.answer())
        self.assertEqual(self.path.requests(READS), [])

    def test_a_body_with_two_framings_is_not_forwarded(self):
        with self.path.connect() as caller:
            caller.send(
                b"POST /order/x HTTP/1.1\r\nHost: shop.example\r\n"
                b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            )
            self.assertEqual(caller.answer().status, 400)
        self.assertEqual(self.path.requests(ORDERS), [])

    def test_a_chunked_body_is_forwarded_completely(self):
        head = request_bytes("/order/x", "a", "POST", Transfer_Encoding="chunked")
        with self.path.connect() as caller:
            caller.send(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
            self.assertEqual(caller.answer().status, 200)
        self.assertEqual([r.body for r in self.path.requests(ORDERS)], [b"abcde"])

    def test_a_body_larger_than_the_buffer_is_forwarded_completely(self):
        body = bytes(range(256)) * 12_000
        with self.path.connect() as caller:
            answer = caller.exchange("/upload/x", "a", "POST", body)
            self.assertEqual(answer.status, 200)
            self.assertEqual(caller.exchange("/read/y").status, 200)
        self.assertEqual([r.body for r in self.path.requests(ORDERS)], [body])

    def test_a_drain_answers_pending_requests_and_then_closes(self):
        release = eventlet.event.Event()

        def answer(sock, request):
            release.wait()
            echo_path(sock, request)

        self.path.answer_all(READS, answer)
        with self.path.connect() as caller:
            for name in "ab":
                caller.send(request_bytes(f"/read/{name}", name))
            with eventlet.Timeout(2.0):
                while len(self.path.requests(READS)) < 2:
                    eventlet.sleep(0.01)
            self.path.instance.leave()
            eventlet.sleep(0.3)
            self.assertFalse(self.path.instance.is_ready)
            release.send()
            first, second = caller.answer(), caller.answer()
            self.assertNotIn("connection", first.headers)
            self.assertEqual(second.headers["connection"], "close")
            self.assertEqual(second.body, b"/read/b")

    def test_a_new_request_during_a_drain_is_served(self):
        with self.path.connect() as caller:
            self.path.instance.leave()
            eventlet.sleep(0.3)
            answer = caller.exchange("/read/x")
            self.assertEqual(answer.status, 200)
            self.assertEqual(answer.headers["connection"], "close")

    def test_a_drained_instance_stops_within_its_grace_period(self):
        with self.path.connect(), eventlet.Timeout(3.0):
            self.path.instance.leave()
            self.path.waiter.wait()


class CallerLimitsTest(unittest.TestCase):
    def test_limits_of_the_configuration_bound_a_caller(self):
        path = GatewayPath(
            configuration(
                header_limit_bytes=600,
                body_limit_bytes=100,
                header_timeout_s=0.2,
                idle_timeout_s=0.4,
            )
        )
        self.addCleanup(path.stop)
        with self.subTest("a slow head"), path.connect() as caller:
            caller.send(b"GET /read/x HTTP/1.1\r\n")
            self.assertEqual(caller.answer().status, 408)
        with self.subTest("a long head"), path.connect() as caller:
            caller.send(request_bytes("/read/x", Long="x" * 700))
            self.assertEqual(caller.answer().status, 431)
        with self.subTest("a large body"), path.connect() as caller:
            answer = caller.exchange("/order/x", "a", "POST", b"x" * 101)
            self.assertEqual(answer.status, 413)
        with self.subTest("an idle connection"), path.connect() as caller:
            self.assertIsNone(caller.answer(timeout_s=1.0))
        self.assertEqual(path.requests(READS) + path.requests(ORDERS), [])
