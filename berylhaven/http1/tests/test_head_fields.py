"""Tests of the costs of heads."""

import io
import time
import unittest

from berylhaven.http1 import read_fields
from berylhaven.results import BadRequestHead

LIMIT_BYTES = 65_536
READ_COUNT = 50


class HeadCostTest(unittest.TestCase):
    """A head of many empty fields costs no more than one of as many bytes."""

    def test_many_empty_fields_are_refused_before_they_are_parsed(self):
        # One event loop serves all callers; a caller may send such heads one after
        # another, on connections of its own.
        raw = b"A:\r\n" * (LIMIT_BYTES // 4 - 1) + b"\r\n"
        for buffer_bytes in (8_192, LIMIT_BYTES):
            started_s = time.process_time()
            for _ in range(READ_COUNT):
                reader = io.BufferedReader(io.BytesIO(raw), buffer_bytes)
                with self.assertRaisesRegex(BadRequestHead, "more than 100"):
                    read_fields(reader, LIMIT_BYTES)
            self.assertLess(time.process_time() - started_s, 0.5)

    def test_as_many_fields_as_allowed_are_read(self):
        raw = b"A: b\r\n" * 100 + b"\r\n"
        for buffer_bytes in (64, LIMIT_BYTES):
            reader = io.BufferedReader(io.BytesIO(raw), buffer_bytes)
            self.assertEqual(len(read_fields(reader, LIMIT_BYTES).pairs), 100)
