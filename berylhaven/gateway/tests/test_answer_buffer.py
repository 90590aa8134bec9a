"""Tests of answers whose memory grows with what has come."""

import gc
import tracemalloc
import unittest

import eventlet
from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.clock import ManualClock
from berylhaven.gateway.callers._held_bytes import HeldBytes, NoRoom
from berylhaven.gateway.servers._answer_buffer import (
    ANSWER_LIMIT_BYTES,
    UNANNOUNCED_WAIT_LIMIT_S,
    AnswerBuffer,
)
from berylhaven.gateway.tests._gateway_path import (
    ORDERS,
    READS,
    GatewayPath,
    configuration,
    route,
)
from berylhaven.http1.tests._raw_backend import answers_raw
from berylhaven.overload import CLAIM_LIMIT_S, SMALL_BYTES, HeldKind
from berylhaven.routes import RequestKind

ACCOUNT_BYTES = 1_600_000
# What large answers may take beside what is guaranteed to the other kinds.
ROOM_BYTES = ACCOUNT_BYTES * 10 // 16
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def receive(buffer, size_bytes):
    """Read this much of an answer."""
    while size_bytes:
        piece = b"x" * min(buffer.readable_bytes(), size_bytes)
        buffer.append(piece)
        size_bytes -= len(piece)


class AnswerBufferTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.clock.__enter__()
        self.addCleanup(self.clock.__exit__, None, None, None)
        self.memory = HeldBytes(ACCOUNT_BYTES)

    def large_answer(self, size_bytes, announced_bytes=None):
        buffer = AnswerBuffer(self.memory, announced_bytes, None)
        receive(buffer, size_bytes)
        return buffer

    def test_a_length_that_exceeds_the_room_reserves_nothing(self):
        """It would keep the room from all others until its deadline."""
        buffer = AnswerBuffer(self.memory, 2 * ROOM_BYTES, None)
        buffer.readable_bytes()
        self.assertLessEqual(self.memory.reserved_bytes, SMALL_BYTES)

    def test_a_claim_lapses_unless_the_answer_comes(self):
        buffer = self.large_answer(SMALL_BYTES + 1, ROOM_BYTES)
        self.assertEqual(self.memory.reserved_bytes, ROOM_BYTES)
        buffer.readable_bytes()
        self.clock.advance_s(CLAIM_LIMIT_S)
        self.assertLessEqual(self.memory.reserved_bytes, 3 * SMALL_BYTES)
        other = self.large_answer(ROOM_BYTES // 2, ROOM_BYTES // 2)
        receive(buffer, ROOM_BYTES - SMALL_BYTES - 1)
        self.assertEqual(buffer.finish().size_bytes, ROOM_BYTES)
        self.assertEqual(other.finish().size_bytes, ROOM_BYTES // 2)

    def test_an_expected_size_becomes_the_room_of_the_answer(self):
        """A route's large answers without a length would be cut off otherwise."""
        expected = self.memory.admit(HeldKind.LARGE_ANSWER, ROOM_BYTES // 2)
        other = self.memory.admit(HeldKind.LARGE_ANSWER, ROOM_BYTES // 2)
        buffer = AnswerBuffer(self.memory, None, expected)
        receive(buffer, ROOM_BYTES // 2)
        expected.release()
        self.assertEqual(self.memory.reserved_bytes, ROOM_BYTES)
        self.assertEqual(buffer.finish().size_bytes, other.size_bytes)

    def test_one_answer_at_a_time_exceeds_the_room(self):
        """Several endless ones would add up to more than the process may take."""
        first = self.large_answer(ROOM_BYTES + SMALL_BYTES)
        second = AnswerBuffer(self.memory, None, None)
        with self.assertRaises(NoRoom):
            receive(second, ROOM_BYTES)
        self.assertLessEqual(len(second.body), SMALL_BYTES)
        first.release()
        third = self.large_answer(2 * ROOM_BYTES)
        for buffer in (second, third):
            buffer.release()
        self.assertEqual(self.memory.reserved_bytes, 0)

    def test_an_answer_without_a_length_waits_for_room_that_comes_shortly(self):
        held = self.large_answer(ROOM_BYTES + SMALL_BYTES).finish()
        # Much has been released recently, so that more is expected to be.
        self.memory._rates[HeldKind.LARGE_ANSWER].record(100 * ROOM_BYTES, 1_000.0)
        thread = eventlet.spawn(self.large_answer, ROOM_BYTES // 2)
        self.clock.advance_s(UNANNOUNCED_WAIT_LIMIT_S / 2)
        self.assertFalse(thread.dead)
        held.release()
        self.clock.advance_s(0.01)
        self.assertTrue(thread.dead)
        self.assertEqual(len(thread.wait().body), ROOM_BYTES // 2)

    def test_tiny_pieces_cost_what_they_hold(self):
        """A list of pieces of two bytes costs twenty times their bytes."""
        buffer = AnswerBuffer(self.memory, None, None)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for number in range(100_000):
            buffer.readable_bytes()
            buffer.append(b"%02d" % (number % 100))
        self.assertLess(tracemalloc.get_traced_memory()[1], 2 * 200_000)

    @settings(derandomize=True, deadline=None, max_examples=50)
    @given(
        st.lists(
            st.tuples(st.integers(0, 3 * ROOM_BYTES), st.booleans(), st.integers(0, 9)),
            max_size=8,
        )
    )
    def test_no_answers_wait_for_one_another(self, answers):
        """Announced ones that each hold a part must all come to their end."""
        memory = HeldBytes(ACCOUNT_BYTES)
        highest_bytes = []

        def read(size_bytes, is_announced, pause_count):
            buffer = AnswerBuffer(memory, size_bytes if is_announced else None, None)
            try:
                while len(buffer.body) < size_bytes:
                    receive(
                        buffer, min(30 * SMALL_BYTES, size_bytes - len(buffer.body))
                    )
                    highest_bytes.append(memory.held_bytes[HeldKind.LARGE_ANSWER])
                    for _ in range(pause_count):
                        eventlet.sleep(0)
                buffer.finish()
            except NoRoom:
                self.assertFalse(is_announced)
            buffer.release()

        threads = [eventlet.spawn(read, *answer) for answer in answers]
        for _ in range(400):
            self.clock.advance_s(0.1)
            if all(thread.dead for thread in threads):
                break
        self.assertTrue(all(thread.dead for thread in threads))
        for thread in threads:
            thread.wait()
        self.assertEqual(memory.reserved_bytes, 0)
        largest = max([size for size, _, _ in answers], default=0)
        limit = ROOM_BYTES + largest + SMALL_BYTES
        self.assertLessEqual(max(highest_bytes, default=0), limit)


class FaultyServerTest(unittest.TestCase):
    """The servers of one service send or announce too much, beside a sound one."""

    CALLER_COUNT = 4
    SOUND_BYTES = 2_000_000
    SOUND_LIMIT_S = 1.0

    def setUp(self):
        routes = [
            route("/faulty/", RequestKind.DOWNLOAD, READS, attempt_limit=1),
            route("/sound/", RequestKind.DOWNLOAD, ORDERS),
        ]
        self.path = GatewayPath(configuration(routes=routes))
        self.addCleanup(self.path.stop)
        self.held = self.path.instance.held
        head = HEAD + b"Content-Length: %d\r\n\r\n" % self.SOUND_BYTES
        self.path.answer_all(ORDERS, answers_raw(head + b"x" * self.SOUND_BYTES))

    def start_callers(self, begin, piece, pause_s):
        """Start requests to which the servers answer with pieces without end."""

        def answer(sock, request):
            sock.sendall(begin)
            while True:
                sock.sendall(piece)
                eventlet.sleep(pause_s)

        self.path.answer_all(READS, answer)
        callers = [self.path.connect() for _ in range(self.CALLER_COUNT)]
        for caller in callers:
            self.addCleanup(caller.close)
        threads = [eventlet.spawn(caller.exchange, "/faulty/1") for caller in callers]
        with eventlet.Timeout(1.0):
            while len(self.path.requests(READS)) < self.CALLER_COUNT:
                eventlet.sleep(0.01)
        eventlet.sleep(0.1)
        return threads

    def assert_sound_service_is_served(self):
        with self.path.connect() as caller, eventlet.Timeout(self.SOUND_LIMIT_S):
            answer = caller.exchange("/sound/1")
        self.assertEqual((answer.status, len(answer.body)), (200, self.SOUND_BYTES))

    def assert_nothing_is_held(self):
        with eventlet.Timeout(1.0):
            while gc.collect() >= 0 and self.held.reserved_bytes:
                eventlet.sleep(0.02)

    def test_a_length_of_a_terabyte_is_refused_when_it_is_announced(self):
        """It held the room of all other large answers until its deadline."""
        begin = HEAD + b"Content-Length: 1000000000000\r\n\r\n"
        threads = self.start_callers(begin, b"x" * 1_000, 0.1)
        self.assert_sound_service_is_served()
        with eventlet.Timeout(1.0):
            self.assertEqual({t.wait().status for t in threads}, {502})
        self.assert_nothing_is_held()

    def test_an_answer_that_hardly_comes_takes_no_room(self):
        """Each took its whole length in memory, and others waited for its end."""
        begin = HEAD + b"Content-Length: 31000000\r\n\r\n"
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        threads = self.start_callers(begin, b"x" * 1_000, 0.1)
        self.assert_sound_service_is_served()
        self.assertLess(tracemalloc.get_traced_memory()[1], 10 * self.SOUND_BYTES)
        self.assertEqual({t.wait().status for t in threads}, {504})
        self.assert_nothing_is_held()

    def test_endless_chunks_take_no_more_than_one_answer_may(self):
        """Each took up to the limit of one answer, all at the same time."""
        piece = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
        threads = self.start_callers(CHUNKED, piece, 0.0)
        highest_bytes = 0
        while not all(thread.dead for thread in threads):
            highest_bytes = max(highest_bytes, self.held.reserved_bytes)
            eventlet.sleep(0)
        self.assertEqual({thread.wait().status for thread in threads}, {502})
        limit_bytes = self.held.limit_bytes + ANSWER_LIMIT_BYTES
        self.assertLessEqual(highest_bytes, limit_bytes)
        self.assert_sound_service_is_served()
        self.assert_nothing_is_held()
        metrics, _ = self.path.instance.metrics.render("")
        self.assertIn(b'reason="answer-too-large"', metrics)
        self.assertIn(b'reason="answer-without-room"', metrics)
