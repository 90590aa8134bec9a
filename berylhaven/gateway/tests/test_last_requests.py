"""Tests of requests behind the one with which a caller ends its connection."""

import socket
import unittest

import eventlet
import eventlet.event

from berylhaven.gateway.tests._gateway_path import (
    HOST,
    ID_HEADER,
    ORDERS,
    READS,
    GatewayPath,
    request_bytes,
)

# Longer than a request takes to be read and sent to a server.
PASS_ON_S = 0.2
BODY = b"x" * 5_000
# More than the sockets of a loopback connection hold.
LARGE_BYTES = 8_000_000
CLOSE = {"Connection": "close"}


def old_request_bytes(path, request_id, **headers):
    """Return the bytes of a request in HTTP/1.0."""
    data = request_bytes(path, request_id, **headers)
    return data.replace(b" HTTP/1.1\r\n", b" HTTP/1.0\r\n", 1)


# Requests that a caller takes for the last one of its connection.
LAST_REQUESTS = {
    "close": request_bytes("/read/x", "last", **CLOSE),
    "HTTP/1.0": old_request_bytes("/read/x", "last"),
    "close in HTTP/1.0": old_request_bytes("/read/x", "last", **CLOSE),
    "close with a body": request_bytes("/order/x", "last", "POST", BODY, **CLOSE),
    "close with chunks": request_bytes(
        "/order/x", "last", "POST", Transfer_Encoding="chunked", **CLOSE
    )
    + b"3\r\nabc\r\n0\r\n\r\n",
}
BEHIND = (
    request_bytes("/read/x", "behind"),
    request_bytes("/order/x", "behind", "POST", b"order"),
)


class LastRequestTest(unittest.TestCase):
    def setUp(self):
        self.path = GatewayPath()
        self.addCleanup(self.path.stop)
        self.release = eventlet.event.Event()
        for service in (READS, ORDERS):
            self.path.answer_all(service, self.answer_when_released)

    def answer_when_released(self, sock, request):
        self.release.wait()
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")

    def run_ids(self):
        requests = self.path.requests(READS) + self.path.requests(ORDERS)
        return sorted(request.header(ID_HEADER) for request in requests)

    def await_requests(self, count):
        with eventlet.Timeout(2.0):
            while len(self.run_ids()) < count:
                eventlet.sleep(0.01)

    def assert_last_answer(self, caller):
        answer = caller.answer()
        self.assertEqual((answer.status, answer.body), (200, b"done"))
        self.assertEqual(answer.headers["connection"], "close")
        self.assertIsNone(caller.answer())

    def play_each(self, play):
        for name, data in LAST_REQUESTS.items():
            for behind in BEHIND:
                with self.subTest(name, behind=behind[:4]):
                    self.setUp()
                    with self.path.connect() as caller:
                        play(caller, data, behind)
                        eventlet.sleep(PASS_ON_S)
                        self.release.send()
                        self.assert_last_answer(caller)
                    eventlet.sleep(0)
                    self.assertEqual(self.run_ids(), ["last"])

    def test_a_request_in_the_packet_of_the_last_one_is_not_sent_to_a_server(self):
        # Guards against a connection that is closed while a server works for it.
        self.play_each(lambda caller, data, behind: caller.send(data + behind))

    def test_a_request_that_comes_later_is_not_sent_to_a_server(self):
        # Guards against a connection that is closed while a server works for it.
        def play(caller, data, behind):
            caller.send(data)
            self.await_requests(1)
            caller.send(behind)

        self.play_each(play)

    def test_requests_before_the_last_one_are_answered(self):
        # Guards against a close that cuts the answers before the last one.
        with self.path.connect() as caller:
            first, second = (request_bytes("/read/x", name) for name in "ab")
            caller.send(first + second + LAST_REQUESTS["close"] + BEHIND[1])
            self.await_requests(3)
            eventlet.sleep(PASS_ON_S)
            self.release.send()
            for _ in range(2):
                answer = caller.answer()
                self.assertEqual((answer.status, answer.body), (200, b"done"))
                self.assertNotIn("connection", answer.headers)
            self.assert_last_answer(caller)
        self.assertEqual(self.run_ids(), ["a", "b", "last"])

    def test_an_old_caller_that_keeps_its_connection_is_served_on(self):
        # Guards against a connection that ends though the caller keeps it.
        self.release.send()
        keep = old_request_bytes("/read/x", "first", Connection="keep-alive")
        with self.path.connect() as caller:
            caller.send(keep + LAST_REQUESTS["HTTP/1.0"])
            self.assertNotIn("connection", caller.answer().headers)
            self.assert_last_answer(caller)
        self.assertEqual(self.run_ids(), ["first", "last"])

    def test_a_caller_that_keeps_writing_gets_the_whole_last_answer(self):
        # Guards against a reset that takes the answer from the caller.
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE_BYTES
        self.path.answer_all(READS, lambda sock, _: sock.sendall(head + body))
        body = b"x" * LARGE_BYTES
        with self.path.connect() as caller:
            caller.send(LAST_REQUESTS["close"])

            def keep_writing():
                while True:
                    caller.send(BEHIND[1])
                    eventlet.sleep(0.001)

            writer = eventlet.spawn(keep_writing)
            eventlet.sleep(PASS_ON_S)
            answer = caller.answer()
            writer.kill()
        self.assertEqual(len(answer.body), LARGE_BYTES)
        self.assertEqual(self.run_ids(), ["last"])

    def test_a_half_closed_connection_gets_the_answers_that_are_there(self):
        # Guards against a caller that ends its sending side and loses ready answers.
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE_BYTES
        body = b"x" * LARGE_BYTES
        large, small = request_bytes("/read/x", "a"), BEHIND[1]
        for requests, lengths in (
            (large, [LARGE_BYTES]),
            (large + small, [LARGE_BYTES, 4]),
            (small + large, [4, LARGE_BYTES]),
        ):
            self.setUp()
            self.path.answer_all(READS, lambda sock, _: sock.sendall(head + body))
            self.release.send()
            with self.subTest(lengths=lengths), self.path.connect() as caller:
                caller.send(requests)
                eventlet.sleep(2 * PASS_ON_S)
                caller.sock.shutdown(socket.SHUT_WR)
                eventlet.sleep(PASS_ON_S)
                received = [len(caller.answer().body) for _ in lengths]
                self.assertEqual(received, lengths)
                self.assertIsNone(caller.answer())

    def test_a_rejected_request_ends_what_is_read(self):
        # Guards against bytes behind a rejected head that are taken for a request.
        malformed = f"GET /read/x HTTP/1.1\r\nHost : {HOST}\r\n\r\n".encode()
        with self.path.connect() as caller:
            caller.send(request_bytes("/read/x", "a") + malformed + BEHIND[1])
            self.await_requests(1)
            eventlet.sleep(PASS_ON_S)
            self.release.send()
            self.assertEqual(caller.answer().status, 200)
            answer = caller.answer()
            self.assertEqual(answer.status, 400)
            self.assertEqual(answer.headers["connection"], "close")
            self.assertIsNone(caller.answer())
        self.assertEqual(self.run_ids(), ["a"])

    def test_a_caller_that_leaves_behind_the_last_request_cancels_it(self):
        # Guards against work for a caller whose input is only discarded.
        ended = eventlet.event.Event()

        def answer(sock, request):
            if not sock.recv(1):
                ended.send()
            return False

        self.path.answer_all(READS, answer)
        caller = self.path.connect()
        caller.send(LAST_REQUESTS["close"] + BEHIND[1])
        self.await_requests(1)
        caller.close()
        with eventlet.Timeout(0.5):
            ended.wait()
