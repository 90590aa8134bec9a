"""Tests of timers that a late hub fires before it reads what was received in time."""

import unittest

import eventlet
import eventlet.event
import eventlet.patcher
from eventlet.green import socket

from berylhaven.clock import ManualClock, monotonic_s
from berylhaven.gateway.tests._gateway_path import (
    ID_HEADER,
    ORDERS,
    READS,
    GatewayPath,
    configuration,
    request_bytes,
)

real_sleep_s = eventlet.patcher.original("time").sleep
LIMIT_S = 1.0
# Later than each limit.
BLOCK_S = 1.2
# The timeout of the routes is 2 s; the answer comes before that.
WORK_S = 1.0
ANSWER = f"HTTP/1.1 200 OK\r\n{ID_HEADER}: a\r\nContent-Length: 2\r\n\r\nok".encode()
HUB_TURNS = 40
REAL_PAUSE_S = 0.000_5


class LateTimersTest(unittest.TestCase):
    def setUp(self):
        config = configuration(header_timeout_s=LIMIT_S, idle_timeout_s=LIMIT_S)
        self.path = GatewayPath(config)
        self.addCleanup(self.path.stop)
        self.path.answer_all(READS, lambda sock, _: sock.sendall(ANSWER))
        self.path.answer_all(ORDERS, lambda sock, _: sock.sendall(ANSWER))
        self.wake_reader, self.wake_writer = socket.socketpair()
        self.addCleanup(self.wake_reader.close)
        self.addCleanup(self.wake_writer.close)
        self.clock = ManualClock(monotonic_s())
        self.enterContext(self.clock)

    def turn(self):
        for _ in range(HUB_TURNS):
            eventlet.sleep(0)
            # On a busy machine the kernel delivers later what was sent.
            real_sleep_s(REAL_PAUSE_S)

    def _send_late(self, sock, data):
        self.wake_reader.recv(1)
        getattr(sock, "fd", sock).send(data)
        real_sleep_s(HUB_TURNS * REAL_PAUSE_S)
        self.clock.block_s(BLOCK_S)

    def send_before_a_late_turn(self, sock, data):
        """Send after a poll of the hub, which then does not poll for a while."""
        thread = eventlet.spawn(self._send_late, sock, data)
        self.turn()
        self.wake_writer.send(b"x")
        self.turn()
        self.assertTrue(thread.dead)

    def status(self, caller):
        thread = eventlet.spawn(caller.answer)
        self.turn()
        self.assertTrue(thread.dead)
        return thread.wait().status

    def test_a_head_that_was_received_in_time_is_taken(self):
        # Guards against 408 for a caller that was within its limit.
        data = request_bytes("/read/x")
        with self.path.connect() as caller:
            caller.send(data[:30])
            self.turn()
            self.send_before_a_late_turn(caller.sock, data[30:])
            self.assertEqual(self.status(caller), 200)

    def test_a_body_that_was_received_in_time_is_taken(self):
        # Guards against 408 for a caller that was within its limit.
        data = request_bytes("/order/x", "a", "POST", b"x" * 3_000)
        with self.path.connect() as caller:
            caller.send(data[:-100])
            self.turn()
            self.send_before_a_late_turn(caller.sock, data[-100:])
            self.assertEqual(self.status(caller), 200)

    def test_an_answer_that_was_received_in_time_is_passed_on(self):
        # Guards against 504 for an order that a server has answered in time.
        server_sockets = []

        def hold(sock, request):
            server_sockets.append(sock)
            eventlet.event.Event().wait()

        self.path.answer_all(ORDERS, hold)
        with self.path.connect() as caller:
            caller.send(request_bytes("/order/x", "a", "POST", b"order"))
            self.turn()
            self.clock.advance_s(WORK_S)
            self.turn()
            [server_socket] = server_sockets
            # The route's timeout passes meanwhile.
            self.send_before_a_late_turn(server_socket, ANSWER)
            self.assertEqual(self.status(caller), 200)
