"""Strict reading of a chunked body, from a caller or from a backend server."""

import io
import re

# A size line: hexadecimal digits, then an extension that is ignored.
SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(;[^\x00-\x08\x0a-\x1f\x7f]*)?\r\n")
LINE_LIMIT_BYTES = 4_096
TRAILER_LIMIT_BYTES = 16_384
LINE_END = b"\r\n"


class ChunkedBodyError(Exception):
    """A chunked body is malformed or was cut."""


class ChunkedReader:
    """The pieces of a chunked body.

    The libraries' readers take ``-5``, ``+5`` and ``0x5`` for sizes and do not look
    at the line end after a chunk, so that two parsers may see two bodies.

    Parameters
    ----------
    reader : io.BufferedReader
        At the first chunk's size line.
    """

    __slots__ = ("_reader", "_left_bytes", "_is_first", "is_ended")

    def __init__(self, reader: io.BufferedReader) -> None:
        self._reader = reader
        self._left_bytes = 0
        self._is_first = True
        # Whether the last chunk and the trailer were read.
        self.is_ended = False

    def read1(self, size_bytes: int) -> bytes:
        """Return what has come of the body, at most so many bytes.

        Parameters
        ----------
        size_bytes : int
            The most bytes to return.

        Returns
        -------
        bytes
            Empty at the body's end.

        Raises
        ------
        ChunkedBodyError
            If the body is malformed or was cut.
        """
        if self.is_ended:
            return b""
        if self._left_bytes == 0 and not self._next_chunk():
            return b""
        piece = self._reader.read1(min(size_bytes, self._left_bytes))
        if not piece:
            raise ChunkedBodyError("the body was cut inside a chunk")
        self._left_bytes -= len(piece)
        return piece

    def _next_chunk(self) -> bool:
        if not self._is_first and self._reader.read(2) != LINE_END:
            raise ChunkedBodyError("no line end after a chunk")
        self._is_first = False
        match = SIZE_LINE.fullmatch(self._reader.readline(LINE_LIMIT_BYTES))
        if match is None:
            raise ChunkedBodyError("malformed chunk size, or the body was cut")
        self._left_bytes = int(match[1], 16)
        if self._left_bytes == 0:
            self._skip_trailer()
            self.is_ended = True
            return False
        return True

    def _skip_trailer(self) -> None:
        left_bytes = TRAILER_LIMIT_BYTES
        while True:
            line = self._reader.readline(LINE_LIMIT_BYTES)
            left_bytes -= len(line)
            if line == LINE_END:
                return
            if not line.endswith(LINE_END) or left_bytes < 0:
                raise ChunkedBodyError("malformed trailer, or the body was cut")
