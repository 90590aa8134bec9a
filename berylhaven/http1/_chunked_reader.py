"""Strict decoding of chunked bodies, from callers and from backend servers."""

import io
import re

from berylhaven.clock import end_long_turn

# A chunk size in hexadecimal digits, then optional extensions, which are ignored.
SIZE_LINE_PATTERN = re.compile(
    rb"([0-9A-Fa-f]{1,15})[ \t]*(;[^\x00-\x08\x0a-\x1f\x7f]*)?\r\n"
)
LINE_LIMIT_BYTES = 4_096
TRAILER_LIMIT_BYTES = 16_384
LINE_END = b"\r\n"
# What a chunk counts as besides its extensions: parsing one takes as long as parsing
# some bytes, whatever its size.
CHUNK_COST_BYTES = 16
# How much more framing than body a message may have.
FRAMING_ALLOWANCE_BYTES = 262_144


class ChunkedBodyError(Exception):
    """A chunked body is malformed or truncated."""


class ExcessiveFraming(ChunkedBodyError):
    """A chunked body has far more framing than content."""


class ChunkedReader:
    """Decodes a chunked body piece by piece.

    The readers of the libraries accept ``-5``, ``+5`` and ``0x5`` as sizes and do not
    check the line end after a chunk, so that two parsers may decode different bodies
    from the same bytes (request smuggling).

    Parameters
    ----------
    reader : io.BufferedReader
        Positioned at the size line of the first chunk.
    """

    __slots__ = (
        "_reader",
        "_remaining_bytes",
        "_is_first_chunk",
        "_framing_left_bytes",
        "is_ended",
    )

    def __init__(self, reader: io.BufferedReader) -> None:
        self._reader = reader
        self._remaining_bytes = 0
        self._is_first_chunk = True
        # The framing that may follow, before further content.
        self._framing_left_bytes = FRAMING_ALLOWANCE_BYTES
        # Whether the last chunk and the trailer section were read.
        self.is_ended = False

    def read1(self, size_bytes: int) -> bytes:
        """Return the next available bytes of the body; wait only if there are none.

        Parameters
        ----------
        size_bytes : int
            The maximum number of bytes to return.

        Returns
        -------
        bytes
            Empty only at the end of the body.

        Raises
        ------
        ChunkedBodyError
            If the body is malformed or truncated; `ExcessiveFraming` if its framing
            exceeds its content by more than the allowance.
        """
        if self.is_ended:
            return b""
        if self._remaining_bytes == 0 and not self._read_chunk_size():
            return b""
        piece = self._reader.read1(min(size_bytes, self._remaining_bytes))
        if not piece:
            raise ChunkedBodyError("the body was truncated inside a chunk")
        self._remaining_bytes -= len(piece)
        self._framing_left_bytes += len(piece)
        return piece

    def _read_chunk_size(self) -> bool:
        # A buffer holds thousands of chunks of a few bytes.
        end_long_turn()
        if not self._is_first_chunk and self._reader.read(2) != LINE_END:
            raise ChunkedBodyError("a chunk is not followed by CRLF")
        self._is_first_chunk = False
        match = SIZE_LINE_PATTERN.fullmatch(self._reader.readline(LINE_LIMIT_BYTES))
        if match is None:
            raise ChunkedBodyError(
                "malformed chunk size line, or the body was truncated"
            )
        self._count_framing(CHUNK_COST_BYTES + len(match[2] or b""))
        self._remaining_bytes = int(match[1], 16)
        if self._remaining_bytes == 0:
            self._skip_trailer()
            self.is_ended = True
            return False
        return True

    def _count_framing(self, size_bytes: int) -> None:
        self._framing_left_bytes -= size_bytes
        if self._framing_left_bytes < 0:
            raise ExcessiveFraming(
                "the chunk sizes and extensions exceed the content by more than "
                f"{FRAMING_ALLOWANCE_BYTES} bytes"
            )

    def _skip_trailer(self) -> None:
        remaining_bytes = TRAILER_LIMIT_BYTES
        while True:
            line = self._reader.readline(LINE_LIMIT_BYTES)
            remaining_bytes -= len(line)
            if line == LINE_END:
                return
            if not line.endswith(LINE_END) or remaining_bytes < 0:
                raise ChunkedBodyError(
                    "malformed or oversized trailer section, or the body was truncated"
                )
