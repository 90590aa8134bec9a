"""Tests of the bound on the memory of large answers."""

import math
import unittest
import unittest.mock

import eventlet
from hypothesis import given
from hypothesis import strategies as st

from berylhaven.gateway.callers._held_bytes import HeldBytes
from berylhaven.gateway.requests._forwarder import Forwarder
from berylhaven.gateway.tests._gateway_path import (
    READS,
    GatewayPath,
    configuration,
    route,
)
from berylhaven.http1.tests._raw_backend import answers_raw
from berylhaven.overload import SMALL_BYTES, HeldKind
from berylhaven.routes import RequestKind

LARGE_BYTES = 100_000


def account(large_answers_bytes):
    """Return an account in which large answers may take this much."""
    # Six of sixteen parts are guaranteed to other kinds.
    return HeldBytes(large_answers_bytes * 16 // 10)


def reserve(memory, size_bytes):
    """Reserve memory for an answer of an announced length, after a wait for room."""
    reservation = memory.begin_answer()
    memory.grow(reservation, size_bytes, math.inf)
    return reservation


class AnswerMemoryTest(unittest.TestCase):
    def setUp(self):
        self.memory = account(3 * LARGE_BYTES)

    def test_an_answer_waits_until_another_one_is_released(self):
        held = [reserve(self.memory, LARGE_BYTES) for _ in range(3)]
        thread = eventlet.spawn(reserve, self.memory, LARGE_BYTES)
        eventlet.sleep(0)
        self.assertFalse(thread.dead)
        held.pop()
        with eventlet.Timeout(1.0):
            self.assertIsNotNone(thread.wait())

    def test_an_answer_beyond_the_limit_is_read_alone(self):
        self.assertIsNotNone(reserve(self.memory, 10 * LARGE_BYTES))

    def test_a_small_answer_never_waits(self):
        held = reserve(self.memory, 10 * LARGE_BYTES)
        with eventlet.Timeout(1.0):
            small = reserve(self.memory, SMALL_BYTES)
        self.assertEqual(
            self.memory.reserved_bytes, 10 * LARGE_BYTES + small.size_bytes
        )
        del held

    def test_a_cancelled_wait_leaves_nothing_behind(self):
        held = reserve(self.memory, 3 * LARGE_BYTES)
        with eventlet.Timeout(0.01, False):
            reserve(self.memory, LARGE_BYTES)
        del held
        self.assertEqual(self.memory.reserved_bytes, 0)
        self.assertIsNotNone(reserve(self.memory, LARGE_BYTES))

    @given(st.lists(st.integers(0, 5 * LARGE_BYTES), max_size=30))
    def test_the_limit_holds_and_all_answers_get_their_turn(self, sizes):
        memory = account(3 * LARGE_BYTES)
        highest = []

        def read(size):
            reservation = reserve(memory, size)
            highest.append(memory.held_bytes[HeldKind.LARGE_ANSWER])
            eventlet.sleep(0)
            del reservation

        threads = [eventlet.spawn(read, size) for size in sizes]
        with eventlet.Timeout(5.0):
            for thread in threads:
                thread.wait()
        single = max([size for size in sizes if size > SMALL_BYTES], default=0)
        self.assertLessEqual(max(highest, default=0), max(3 * LARGE_BYTES, single))
        self.assertEqual(memory.reserved_bytes, 0)


class DownloadMemoryTest(unittest.TestCase):
    """Large answers on many connections at once, read to the end and then idle."""

    ANSWER_BYTES = 2_000_000
    LIMIT_BYTES = 5_000_000
    # What two servers with four slots each accept.
    CALLER_COUNT = 6

    def setUp(self):
        routes = [route("/report/", RequestKind.DOWNLOAD, READS)]
        self.path = GatewayPath(configuration(routes=routes))
        self.addCleanup(self.path.stop)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {self.ANSWER_BYTES}\r\n\r\n"
        body = b"x" * self.ANSWER_BYTES
        self.path.answer_all(READS, answers_raw(head.encode() + body))
        forwarder = self.path.instance._forwarder
        self.memory = forwarder._held = account(self.LIMIT_BYTES)
        self.highest_bytes = 0
        grow = self.memory.grow

        def record(*args, **kwargs):
            grow(*args, **kwargs)
            self.highest_bytes = max(self.highest_bytes, self.memory.reserved_bytes)

        forwarder._runner._memory = unittest.mock.Mock(
            wraps=self.memory, grow=record, limit_bytes=self.memory.limit_bytes
        )

    def test_all_answers_arrive_whole_within_the_limit(self):
        # Frames that refer to one another keep answers as this list does.
        kept = []
        send = Forwarder._send

        def send_and_keep(*arguments):
            kept.append(send(*arguments))
            return kept[-1]

        patch = unittest.mock.patch.object(Forwarder, "_send", send_and_keep)
        patch.start()
        self.addCleanup(patch.stop)
        callers = [self.path.connect() for _ in range(self.CALLER_COUNT)]
        threads = [eventlet.spawn(c.exchange, "/report/1") for c in callers]
        for thread in threads:
            answer = thread.wait()
            self.assertEqual((answer.status, len(answer.body)), (200, 2_000_000))
        self.assertLessEqual(self.highest_bytes, self.LIMIT_BYTES)
        self.assertGreater(self.highest_bytes, self.ANSWER_BYTES)
        eventlet.sleep(0)
        self.assertEqual(self.memory.reserved_bytes, 0)
        self.assertEqual([len(answer.body) for answer in kept], [0] * len(kept))
        for caller in callers:
            caller.close()
