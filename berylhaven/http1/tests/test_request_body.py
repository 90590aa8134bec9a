"""Tests of the memory of request bodies."""

import io
import tracemalloc
import unittest

from berylhaven.clock import ManualClock
from berylhaven.http1 import BodyFraming, BodyTaken, RequestBody

BODY_BYTES = 30_000


class RequestBodyMemoryTest(unittest.TestCase):
    def setUp(self):
        data = b"2\r\nxx\r\n" * (BODY_BYTES // 2) + b"0\r\n\r\n"
        reader = io.BufferedReader(io.BytesIO(data))
        self.body = RequestBody(reader, BodyFraming(None, True), 9.0)
        # No turn ends, so that no other thread of the process allocates memory.
        self.enterContext(ManualClock())
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    def assert_cost_is_low(self, body):
        self.assertEqual(body, b"x" * BODY_BYTES)
        self.assertLess(tracemalloc.get_traced_memory()[1], 4 * BODY_BYTES)

    def test_chunks_of_two_bytes_cost_what_they_hold(self):
        """A list of them costs twenty times their bytes, beyond any account."""
        self.assert_cost_is_low(self.body.read(10 * BODY_BYTES))

    def test_a_first_part_that_is_extended_costs_what_it_holds(self):
        self.body.buffer_first_part(BODY_BYTES // 3)
        self.body.extend_first_part(BODY_BYTES)
        self.assert_cost_is_low(self.body.first_part)
        self.assertEqual(self.body.buffered_bytes, BODY_BYTES)


class AvailableBodyTest(unittest.TestCase):
    def body(self, kept_bytes):
        reader = io.BufferedReader(io.BytesIO(b"x" * BODY_BYTES))
        body = RequestBody(reader, BodyFraming(BODY_BYTES, False), 9.0)
        body.buffer_first_part(kept_bytes)
        return body

    def test_a_body_of_which_a_part_is_gone_is_not_sent_again(self):
        # Guards against an attempt that sends the rest of a body as the whole.
        body = self.body(BODY_BYTES - 1)
        self.assertTrue(body.is_available)
        pieces = body.pieces(BODY_BYTES)
        for _ in range(3):
            self.assertFalse(body.is_available)
            with self.assertRaises(BodyTaken):
                body.pieces(BODY_BYTES)
            next(pieces, None)

    def test_a_body_in_memory_is_sent_as_often_as_necessary(self):
        body = self.body(BODY_BYTES)
        for _ in range(2):
            self.assertTrue(body.is_available)
            self.assertEqual(b"".join(body.pieces(BODY_BYTES)), b"x" * BODY_BYTES)
