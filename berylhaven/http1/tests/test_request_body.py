"""Tests of the memory of request bodies."""

import io
import tracemalloc
import unittest

from berylhaven.clock import ManualClock
from berylhaven.http1 import BodyFraming, RequestBody

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
