"""Property tests: bodies use bounded memory and end complete or with an error."""

import io
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.http1._body_framing import BodyFraming
from berylhaven.http1._request_body import RequestBody
from berylhaven.http1._upstream_answer import AnswerBodyError, AnswerBodyReader
from berylhaven.results import BadFraming, BodyTruncated

CHUNK_BYTES = 10
PIECES = st.lists(st.binary(min_size=1, max_size=60), max_size=12)
# Buffer size of the reader, which reads no further ahead.
BUFFER_BYTES = 32


class CountedSource(io.RawIOBase):
    """A raw source that counts the bytes read from it."""

    def __init__(self, data, step_bytes):
        super().__init__()
        self._data = data
        self._step_bytes = step_bytes
        self.read_bytes = 0

    def readable(self):
        return True

    def readinto(self, buffer):
        size = min(len(buffer), self._step_bytes)
        piece = self._data[self.read_bytes : self.read_bytes + size]
        buffer[: len(piece)] = piece
        self.read_bytes += len(piece)
        return len(piece)


def chunked(pieces):
    parts = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces]
    return b"".join(parts) + b"0\r\n\r\n"


def framed(pieces, is_chunked):
    body = b"".join(pieces)
    if is_chunked:
        return chunked(pieces), BodyFraming(None, True)
    return body, BodyFraming(len(body), False)


class BoundedBodiesTest(unittest.TestCase):
    """Uploads and answers, with a length and chunked, complete and truncated."""

    @settings(derandomize=True, deadline=None)
    @given(PIECES, st.booleans(), st.integers(1, 100))
    def test_an_upload_passes_whole_and_never_far_ahead(self, pieces, is_chunked, step):
        data, framing = framed(pieces, is_chunked)
        source = CountedSource(data, step)
        body = RequestBody(io.BufferedReader(source, BUFFER_BYTES), framing, 9.0)
        body.buffer_first_part(CHUNK_BYTES)
        sent = b""
        for piece in body.pieces(CHUNK_BYTES):
            self.assertLessEqual(len(piece), CHUNK_BYTES)
            sent += piece
            framing_bytes = len(data) - len(b"".join(pieces))
            ahead_bytes = source.read_bytes - len(sent)
            self.assertLessEqual(ahead_bytes, BUFFER_BYTES + framing_bytes)
        self.assertEqual(sent, b"".join(pieces))
        self.assertTrue(body.is_ended)

    @settings(derandomize=True, deadline=None)
    @given(PIECES, st.booleans(), st.integers(1, 100), st.data())
    def test_a_cut_upload_ends_with_an_error_wherever_it_is_cut(
        self, pieces, is_chunked, step, draw
    ):
        data, framing = framed(pieces, is_chunked)
        if not data:
            return
        cut = draw.draw(st.integers(0, len(data) - 1))
        source = CountedSource(data[:cut], step)
        body = RequestBody(io.BufferedReader(source, BUFFER_BYTES), framing, 9.0)
        with self.assertRaises((BodyTruncated, BadFraming)):
            for _ in body.pieces(CHUNK_BYTES):
                pass
        self.assertFalse(body.is_ended)

    @settings(derandomize=True, deadline=None)
    @given(PIECES, st.booleans(), st.integers(1, 100), st.data())
    def test_an_answer_is_whole_or_raises(self, pieces, is_chunked, step, draw):
        data, framing = framed(pieces, is_chunked)
        cut = draw.draw(st.integers(0, len(data)))
        reader = io.BufferedReader(CountedSource(data[:cut], step), BUFFER_BYTES)
        answer = AnswerBodyReader(reader, framing)
        got = b""
        try:
            while piece := answer.read1(CHUNK_BYTES):
                self.assertLessEqual(len(piece), CHUNK_BYTES)
                got += piece
        except AnswerBodyError:
            self.assertLess(cut, len(data))
            self.assertFalse(answer.is_ended)
            return
        self.assertEqual(cut, len(data))
        self.assertEqual(got, b"".join(pieces))
