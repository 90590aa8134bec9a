"""Tests of the connection pool: limits, idle times and unresponsive connections."""

import random
import unittest

import eventlet

from berylhaven.attempts import AttemptEnd, AttemptFailed
from berylhaven.clock import ManualClock
from berylhaven.http1._connection_pool import (
    IDLE_LIMIT_S,
    NON_IDEMPOTENT_IDLE_LIMIT_S,
    ConnectionCounts,
    ConnectionPool,
)
from berylhaven.http1._open_cause import OpenCause
from berylhaven.http1.tests._raw_backend import RawBackend, answers_raw

LIMIT = 4


class ConnectionPoolTest(unittest.TestCase):
    """Uses a manual clock and real connections."""

    def setUp(self):
        self.backend = RawBackend()
        self.addCleanup(self.backend.stop)
        # The backend server must accept connections before the clock is stopped.
        eventlet.sleep(0)
        self.address = self.backend.address
        self.clock = ManualClock()
        self.clock.__enter__()
        self.addCleanup(self.clock.__exit__, None, None, None)
        self.pool = ConnectionPool(lambda _: LIMIT, 10_000, random.Random(1))

    def open(self, **options):
        connection = self.pool.acquire(self.address, **options)
        if not connection.is_open:
            connection.open(5.0)
        return connection

    def open_many(self, count):
        return [self.open() for _ in range(count)]

    def release(self, connections):
        for connection in connections:
            self.pool.release(connection, is_reusable=True)

    def test_a_call_over_the_connection_limit_is_refused_as_not_run(self):
        connections = self.open_many(LIMIT)
        with self.assertRaises(AttemptFailed) as caught:
            self.open()
        self.assertIs(caught.exception.end, AttemptEnd.CONNECTION_LIMIT)
        self.assertEqual(caught.exception.classification.outcome.value, "not-run")
        self.assertEqual(self.pool.counts(self.address), ConnectionCounts(LIMIT, 0))
        self.release(connections[:1])
        self.assertIs(self.open(), connections[0])

    def test_the_cause_of_each_new_connection_is_told(self):
        causes = []
        self.pool = ConnectionPool(lambda _: LIMIT, 10_000, record_open=causes.append)
        first, second = self.open_many(2)
        self.release([first, second])
        self.clock.advance_s(NON_IDEMPOTENT_IDLE_LIMIT_S + 1)
        self.open()
        expected = [OpenCause.FIRST, OpenCause.BUSY, OpenCause.TOO_IDLE]
        self.assertEqual(causes, expected)

    def test_the_cause_after_a_close_is_told(self):
        causes = []
        self.pool = ConnectionPool(lambda _: LIMIT, 10_000, record_open=causes.append)
        self.pool.release(self.open(), is_reusable=False)
        self.release([self.open()])
        self.clock.advance_s(IDLE_LIMIT_S + 1)
        self.release([self.open()])
        self.pool.close_idle(self.address)
        self.open()
        expected = [
            OpenCause.FIRST,
            OpenCause.NOT_REUSABLE,
            OpenCause.EXPIRED,
            OpenCause.FIRST,
        ]
        self.assertEqual(causes, expected)

    def test_the_most_recently_used_connection_is_reused_first(self):
        connections = self.open_many(3)
        self.release(connections)
        self.assertIs(self.open(), connections[2])

    def test_a_connection_past_its_idle_limit_serves_only_idempotent_calls(self):
        (connection,) = self.open_many(1)
        self.release([connection])
        self.clock.advance_s(NON_IDEMPOTENT_IDLE_LIMIT_S + 0.1)
        other = self.open(is_idempotent=False)
        self.assertIsNot(other, connection)
        self.assertIs(self.open(is_idempotent=True), connection)

    def test_a_connection_is_not_reused_past_its_keep_alive_timeout(self):
        for keep_alive, limit_s in ((b"timeout=2", 1.6), (b"max=5, timeout=1", 0.8)):
            with self.subTest(keep_alive):
                head = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: "
                self.backend.answers = {
                    "/": answers_raw(head + keep_alive + b"\r\n\r\n")
                }
                connection = self.open(requires_new_connection=True)
                connection.send(b"GET / HTTP/1.1\r\n\r\n")
                connection.read_head()
                self.release([connection])
                self.clock.advance_s(limit_s - 0.1)
                self.assertIs(self.open(is_idempotent=True), connection)
                self.release([connection])
                self.clock.advance_s(limit_s + 0.1)
                other = self.open(is_idempotent=True)
                self.assertIsNot(other, connection)
                self.pool.release(other, is_reusable=False)

    def test_a_connection_idle_for_too_long_is_closed(self):
        connections = self.open_many(2)
        self.release(connections)
        self.clock.advance_s(IDLE_LIMIT_S + 1)
        self.pool.close_expired()
        self.assertEqual(self.pool.open_count(), 0)
        self.assertFalse(connections[0].is_open)

    def test_calls_to_other_servers_close_expired_connections(self):
        connections = self.open_many(2)
        self.release(connections)
        self.clock.advance_s(IDLE_LIMIT_S + 1)
        self.pool.acquire("127.0.0.1:1")
        self.assertFalse(connections[0].is_open)
        self.assertFalse(connections[1].is_open)

    def test_an_idle_connection_is_closed_for_a_new_one_at_the_limit(self):
        connections = self.open_many(LIMIT)
        self.release(connections)
        new = self.open(requires_new_connection=True)
        self.assertNotIn(new, connections)
        self.assertEqual(self.pool.open_count(), LIMIT)

    def test_idle_connections_as_old_as_an_unresponsive_one_are_closed(self):
        old = self.open_many(2)
        self.clock.advance_s(1.0)
        young = self.open()
        unresponsive, sibling = old
        self.release([sibling, young])
        self.pool.close_idle_siblings(unresponsive)
        self.assertFalse(sibling.is_open)
        self.assertTrue(young.is_open)
        self.assertIs(self.open(), young)

    def test_failed_connection_attempts_are_followed_by_a_backoff(self):
        self.backend.stop()
        outcomes = {AttemptEnd.NOT_CONNECTED: 0, "tried": 0}
        for _ in range(50):
            try:
                connection = self.pool.acquire(self.address)
            except AttemptFailed as failure:
                outcomes[failure.end] += 1
                continue
            outcomes["tried"] += 1
            with self.assertRaises(Exception):  # noqa: B017
                connection.open(1.0)
            self.pool.release(connection, is_reusable=False)
        self.assertEqual(outcomes, {AttemptEnd.NOT_CONNECTED: 49, "tried": 1})
        self.assertEqual(self.pool.open_count(), 0)
        self.clock.advance_s(10.0)
        self.pool.acquire(self.address)

    def test_a_cancelled_connection_attempt_starts_no_backoff(self):
        # Guards against refusals because another caller left while connecting.
        connection = self.pool.acquire(self.address)
        connection._http.connect = lambda: eventlet.sleep(1.0)
        thread = eventlet.spawn(connection.open, 5.0)
        self.clock.advance_s(0.1)
        thread.kill()
        self.pool.release(connection, is_reusable=False)
        self.assertTrue(self.open().is_open)

    def test_a_connection_that_was_never_opened_starts_no_backoff(self):
        connection = self.pool.acquire(self.address)
        self.pool.release(connection, is_reusable=False)
        self.assertEqual(self.pool.counts(self.address), ConnectionCounts(0, 0))
        eventlet.sleep(0)
        self.pool.acquire(self.address)
