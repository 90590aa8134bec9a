"""Tests of reading header fields of many lines."""

import io
import unittest
from unittest import mock

from berylhaven.http1 import _head_fields
from berylhaven.http1._head_fields import FIELDS_LIMIT, read_fields
from berylhaven.results import BadRequestHead


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
