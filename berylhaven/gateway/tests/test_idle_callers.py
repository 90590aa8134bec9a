"""Tests of the idle timeout of callers' connections."""

import unittest

import eventlet
import eventlet.patcher
from eventlet.green import socket

from berylhaven.clock import ManualClock, monotonic_s
from berylhaven.gateway.tests._gateway_path import (
    READS,
    GatewayPath,
    configuration,
    request_bytes,
    route,
)

real_sleep_s = eventlet.patcher.original("time").sleep
IDLE_TIMEOUT_S = 5.0
# Callers use connections again that have been idle for up to this time.
REUSE_LIMIT_S = 4 / 5 * IDLE_TIMEOUT_S
# A little less than the idle timeout.
WORK_S = 4.9
TIMEOUT_S = 20.0
STEP_S = 0.05
# What is sent over sockets goes through several green threads in each step.
HUB_TURNS_PER_STEP = 20
REAL_PAUSE_S = 0.000_2


class IdleCallersTest(unittest.TestCase):
    def setUp(self):
        routes = (route("/read/", timeout_s=TIMEOUT_S),)
        config = configuration(routes=routes, idle_timeout_s=IDLE_TIMEOUT_S)
        self.path = GatewayPath(config)
        self.addCleanup(self.path.stop)
        self.path.answer_all(READS, self.answer)
        self.wake_reader, self.wake_writer = socket.socketpair()
        self.addCleanup(self.wake_reader.close)
        self.addCleanup(self.wake_writer.close)
        self.clock = ManualClock(monotonic_s())
        self.enterContext(self.clock)

    def answer(self, sock, request):
        if request.path == "/read/slow":
            eventlet.sleep(WORK_S)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    def turn(self):
        for _ in range(HUB_TURNS_PER_STEP):
            eventlet.sleep(0)
            # On a busy machine the kernel delivers later what was sent.
            real_sleep_s(REAL_PAUSE_S)

    def pass_s(self, duration_s):
        """Let time pass in small steps, so that the hub is not late."""
        end_s = monotonic_s() + duration_s
        while monotonic_s() < end_s:
            self.clock.advance_s(min(STEP_S, end_s - monotonic_s()))
            self.turn()

    def exchange(self, caller, path):
        """Return the answer to a request, or None if the connection was closed."""
        thread = eventlet.spawn(self._exchange, caller, path)
        self.turn()
        while not thread.dead:
            self.pass_s(STEP_S)
        return thread.wait()

    def _exchange(self, caller, path):
        try:
            caller.send(request_bytes(path))
            return caller.answer(timeout_s=TIMEOUT_S)
        except OSError:
            return None

    def send_late(self, caller):
        """Send a request after a poll of the hub, which returns with the timer due."""
        self.wake_reader.recv(1)
        caller.sock.fd.send(request_bytes("/read/x"))
        self.clock.block_s(IDLE_TIMEOUT_S + 1.0)

    def assert_closed(self, caller):
        thread = eventlet.spawn(caller.answer)
        self.turn()
        self.assertTrue(thread.dead)
        self.assertIsNone(thread.wait())
        text = self.path.instance.metrics.render("")[0].decode()
        closed = 'berylhaven_caller_connections_closed_total{reason="idle"} 1'
        self.assertIn(closed, text)

    def test_idle_time_counts_from_the_last_answer(self):
        # Guards against a close that crosses the next request of a caller.
        for _ in range(2):
            with self.path.connect() as caller:
                self.assertEqual(self.exchange(caller, "/read/slow").status, 200)
                self.pass_s(REUSE_LIMIT_S)
                answer = self.exchange(caller, "/read/x")
                self.assertIsNotNone(answer)
                self.assertEqual(answer.status, 200)

    def test_a_connection_is_closed_after_the_idle_timeout(self):
        # Guards against connections that stay open for good.
        with self.path.connect() as caller:
            self.assertEqual(self.exchange(caller, "/read/slow").status, 200)
            self.pass_s(IDLE_TIMEOUT_S + 2 * STEP_S)
            self.assert_closed(caller)

    def test_a_connection_without_a_request_is_closed_after_the_idle_timeout(self):
        # Guards against connections that stay open for good.
        with self.path.connect() as caller:
            self.turn()
            self.pass_s(IDLE_TIMEOUT_S + 2 * STEP_S)
            self.assert_closed(caller)

    def test_a_request_that_a_late_hub_has_not_read_is_served(self):
        # Guards against a timer that fires before received input is read.
        with self.path.connect() as caller:
            self.assertEqual(self.exchange(caller, "/read/x").status, 200)
            thread = eventlet.spawn(self.send_late, caller)
            self.turn()
            self.wake_writer.send(b"x")
            self.turn()
            self.assertTrue(thread.dead)
            answer = caller.answer()
            self.assertIsNotNone(answer)
            self.assertEqual(answer.status, 200)
