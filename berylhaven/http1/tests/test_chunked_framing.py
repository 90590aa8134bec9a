"""Tests of the limit of framing in chunked bodies."""

import io
import unittest

from berylhaven.http1 import AnswerBodyReader, AnswerFramingError, BodyFraming
from berylhaven.http1._chunked_reader import (
    FRAMING_ALLOWANCE_BYTES,
    ChunkedReader,
    ExcessiveFraming,
)

END = b"0\r\n\r\n"


def read_all(reader):
    """Return the body, read in pieces."""
    body = bytearray()
    while piece := reader.read1(65_536):
        body += piece
    return body


class ChunkedFramingTest(unittest.TestCase):
    def reader_of(self, data):
        self.input = io.BytesIO(data)
        self.reader = io.BufferedReader(self.input)
        return ChunkedReader(self.reader)

    def assert_is_cut_off(self, chunk, content_bytes):
        """Assert that chunks without end are cut off once the allowance is used."""
        excess_bytes = len(chunk) - content_bytes
        count = 4 * FRAMING_ALLOWANCE_BYTES // excess_bytes
        with self.assertRaises(ExcessiveFraming):
            read_all(self.reader_of(chunk * count))
        self.assertLess(self.input.tell(), 2 * FRAMING_ALLOWANCE_BYTES)

    def test_a_small_body_in_chunks_of_a_byte_passes(self):
        body = read_all(self.reader_of(b"1\r\nx\r\n" * 10_000 + END))
        self.assertEqual(len(body), 10_000)

    def test_chunks_of_two_bytes_without_end_are_cut_off(self):
        """Their parsing took the whole processor time of an instance."""
        self.assert_is_cut_off(b"2\r\nxx\r\n", 2)

    def test_extensions_without_end_are_cut_off(self):
        self.assert_is_cut_off(b"1;" + b"e" * 4_000 + b"\r\nx\r\n", 1)

    def test_a_large_body_may_have_as_much_framing_as_content(self):
        chunk = b"20;name=value\r\n" + b"x" * 32 + b"\r\n"
        count = 4 * FRAMING_ALLOWANCE_BYTES // 32
        body = read_all(self.reader_of(chunk * count + END))
        self.assertEqual(len(body), 4 * FRAMING_ALLOWANCE_BYTES)

    def test_an_answer_with_excessive_framing_is_told_from_a_truncated_one(self):
        reader = io.BufferedReader(io.BytesIO(b"2\r\nxx\r\n" * 100_000))
        with self.assertRaises(AnswerFramingError):
            read_all(AnswerBodyReader(reader, BodyFraming(None, True)))
