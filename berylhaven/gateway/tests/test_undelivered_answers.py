"""Tests of connections that end while their caller still receives an answer."""

import socket
import unittest

import eventlet

from berylhaven.gateway.callers._answer_queue import LINGER_TIMEOUT_S
from berylhaven.gateway.tests._gateway_path import (
    ORDERS,
    READS,
    GatewayPath,
    configuration,
    request_bytes,
)

# Less than the instance's socket holds, and more than the caller's with its buffer.
BODY_BYTES = 2_000_000
SMALL_BUFFER_BYTES = 32_768
# More than the sockets of a connection hold.
UNREAD_BYTES = 7_000_000
IDLE_TIMEOUT_S = 0.6
# Receiving the answer takes 2 s at this rate.
PIECE_BYTES = 20_000
PIECE_INTERVAL_S = 0.02


def receive_slowly(caller):
    """Return the number of bytes of the first body that are received."""
    data = bytearray()
    try:
        while len(data.partition(b"\r\n\r\n")[2]) < BODY_BYTES:
            piece = caller.sock.recv(PIECE_BYTES)
            if not piece:
                break
            data += piece
            eventlet.sleep(PIECE_INTERVAL_S)
    except OSError:
        # The connection was reset.
        pass
    return min(BODY_BYTES, len(data.partition(b"\r\n\r\n")[2]))


class UndeliveredAnswersTest(unittest.TestCase):
    def setUp(self):
        self.path = GatewayPath(configuration(idle_timeout_s=IDLE_TIMEOUT_S))
        self.addCleanup(self.path.stop)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES
        body = b"x" * BODY_BYTES
        self.path.answer_all(READS, lambda sock, _: sock.sendall(head + body))

    def received_bytes(self, caller, wait_s):
        """Return what is received if another request is sent meanwhile."""
        thread = eventlet.spawn(receive_slowly, caller)
        eventlet.sleep(wait_s)
        self.assertFalse(thread.dead)
        caller.send(request_bytes("/read/next", "next"))
        return thread.wait()

    def test_an_answer_is_not_cut_by_the_idle_timeout(self):
        # Guards against an idle time that counts while the caller still receives: the
        # next request resets the connection, and the rest of the answer is lost.
        with self.path.connect(SMALL_BUFFER_BYTES) as caller:
            caller.send(request_bytes("/read/large", "large"))
            received_bytes = self.received_bytes(caller, 2 * IDLE_TIMEOUT_S)
        self.assertEqual(received_bytes, BODY_BYTES)

    def test_a_half_closed_caller_that_reads_nothing_is_closed(self):
        # Guards against answers that are held for callers that never read them.
        body = b"x" * UNREAD_BYTES
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % UNREAD_BYTES
        self.path.answer_all(READS, lambda sock, _: sock.sendall(head + body))
        with self.path.connect(SMALL_BUFFER_BYTES) as caller:
            caller.send(request_bytes("/read/large", "large"))
            eventlet.sleep(0.3)
            caller.sock.shutdown(socket.SHUT_WR)
            eventlet.sleep(0.5 * IDLE_TIMEOUT_S)
            self.assertEqual(self.path.instance._port.connection_count, 1)
            eventlet.sleep(IDLE_TIMEOUT_S)
            self.assertEqual(self.path.instance._port.connection_count, 0)

    def test_a_last_answer_is_not_cut_by_the_end_of_the_linger(self):
        # Guards against a linger that counts while the caller still receives: a request
        # behind the last one resets the connection, and the rest of the answer is lost.
        for is_draining in (False, True):
            self.setUp()
            headers = {} if is_draining else {"Connection": "close"}
            if is_draining:
                self.path.instance.leave()
            with (
                self.subTest(is_draining=is_draining),
                self.path.connect(SMALL_BUFFER_BYTES) as caller,
            ):
                caller.send(request_bytes("/read/large", "large", **headers))
                received_bytes = self.received_bytes(caller, LINGER_TIMEOUT_S + 0.3)
                self.assertEqual(received_bytes, BODY_BYTES)

    def test_a_last_answer_is_not_cut_by_an_expectation_behind_it(self):
        # Guards against 100 Continue that is sent behind the last answer: the error
        # closes the connection without a linger.
        behind = request_bytes(
            "/order/x", "behind", "POST", Content_Length="4", Expect="100-continue"
        )
        self.path.instance.leave()
        with self.path.connect(SMALL_BUFFER_BYTES) as caller:
            caller.send(request_bytes("/read/large", "large") + behind[:20])
            thread = eventlet.spawn(receive_slowly, caller)
            # The answer is written by then, and the linger has not ended.
            eventlet.sleep(0.3 * LINGER_TIMEOUT_S)
            caller.send(behind[20:])
            eventlet.sleep(0.1 * LINGER_TIMEOUT_S)
            caller.send(b"body")
            self.assertEqual(thread.wait(), BODY_BYTES)
        self.assertEqual(self.path.requests(ORDERS), [])
