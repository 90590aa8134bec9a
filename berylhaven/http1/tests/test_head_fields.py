"""Tests of reading header fields of many lines."""

import io
import time
import unittest
from unittest import mock

from berylhaven.http1 import _head_fields
from berylhaven.http1._head_fields import FIELDS_LIMIT, read_fields
from berylhaven.results import BadRequestHead

HEAD_LIMIT_BYTES = 65_536
READ_COUNT = 50


def reader(count):
    return io.BufferedReader(io.BytesIO(b"a:\r\n" * count + b"\r\n"), 16_384)


class ManyFieldsTest(unittest.TestCase):
    def test_fields_beyond_the_limit_are_refused_before_they_are_parsed(self):
        # A head within the limit of 64 kB took as long to parse as 160 ordinary ones.
        self.assertEqual(
            len(read_fields(reader(FIELDS_LIMIT), 65_536).pairs), FIELDS_LIMIT
        )
        with mock.patch.object(_head_fields, "PARSER") as parser:
            for count in (FIELDS_LIMIT + 1, 16_000):
                with self.subTest(count), self.assertRaises(BadRequestHead):
                    read_fields(reader(count), 65_536)
        parser.parsestr.assert_not_called()


class HeadCostTest(unittest.TestCase):
    """A head of many empty fields costs no more than one of as many bytes."""

    def test_many_empty_fields_are_refused_before_they_are_parsed(self):
        # One event loop serves all callers; a caller may send such heads one after
        # another, on connections of its own.
        raw = b"A:\r\n" * (HEAD_LIMIT_BYTES // 4 - 1) + b"\r\n"
        for buffer_bytes in (8_192, HEAD_LIMIT_BYTES):
            started_s = time.process_time()
            for _ in range(READ_COUNT):
                reader = io.BufferedReader(io.BytesIO(raw), buffer_bytes)
                with self.assertRaisesRegex(BadRequestHead, "more than 100"):
                    read_fields(reader, HEAD_LIMIT_BYTES)
            self.assertLess(time.process_time() - started_s, 0.5)
