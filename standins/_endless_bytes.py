"""The kinds of bytes without end that `standins.endless_sender` sends."""

import functools
import itertools
import os
import secrets
import socket
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

SERVER, PROBE, STORE, CALLER = "server", "probe", "store", "caller"
ANSWERING = (SERVER, PROBE, STORE)
CHUNK_BYTES = 65_536
PIECE_BYTES = 1_000_000
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# The limit of a chunk's size line is 4,096 bytes.
EXTENSION_BYTES = 4_000
TINY_CHUNK_BYTES = 2
HUGE_LENGTH_BYTES = 1_000_000_000_000
# Below the limit of one answer, 32 MB, so that the length alone is no reason to refuse.
LARGE_LENGTH_BYTES = 31_000_000
WHOLE_ANSWER_BYTES = 24_000_000
UPLOAD_BYTES = 60_000_000
SLOW_PIECE_BYTES = 1_000
SLOW_PAUSE_S = 0.1
BODY = b"x" * 1_000
FIELD = b"X-Filler: x\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
PIPELINED_COUNT = 200
UNREAD_REQUESTS = "unread-requests"


class Piece:
    """Bytes that are sent again and again.

    They are sent from a file in memory: with a copy from this process a sender is
    slower than a reader that parses little, so that the reader waits for input.

    Parameters
    ----------
    content : bytes
        The bytes.
    """

    __slots__ = ("_descriptor", "size_bytes")

    def __init__(self, content: bytes) -> None:
        self._descriptor = os.memfd_create("piece")
        os.write(self._descriptor, content)
        self.size_bytes = len(content)

    def send(self, sock: socket.socket) -> None:
        """Send all bytes on a blocking socket; raise OSError if it breaks."""
        sent_bytes = 0
        while sent_bytes < self.size_bytes:
            left_bytes = self.size_bytes - sent_bytes
            sent_bytes += os.sendfile(
                sock.fileno(), self._descriptor, sent_bytes, left_bytes
            )


Pieces = Iterator[bytes | Piece]


def send_piece(sock: socket.socket, piece: bytes | Piece) -> None:
    """Send a piece of a kind on a blocking socket; raise OSError if it breaks."""
    if isinstance(piece, Piece):
        piece.send(sock)
    else:
        sock.sendall(piece)


@dataclass(slots=True, frozen=True)
class EndlessKind:
    """One kind of bytes without end."""

    # The name by which it is chosen.
    name: str
    # The roles of the senders that send it.
    roles: tuple[str, ...]
    # Returns the pieces to send. The argument is the begin of the message: its first
    # line and some fields, without the empty line. If the pieces end, the message is
    # whole, and the sender sends the next one.
    pieces: Callable[[bytes], Pieces]
    # Whether the pieces end.
    has_end: bool


KINDS: dict[str, EndlessKind] = {}


def register_kind(
    name: str, *roles: str, has_end: bool = False
) -> Callable[[Callable], Callable]:
    """Register a generator of pieces as a kind.

    Parameters
    ----------
    name : str
        The name by which it is chosen.
    *roles : str
        The roles of the senders that send it.
    has_end : bool
        Whether the pieces end.
    """

    def decorate(pieces: Callable) -> Callable:
        KINDS[name] = EndlessKind(name, roles, pieces, has_end)
        return pieces

    return decorate


@register_kind("chunks", *ANSWERING, CALLER)
def send_chunks(begin: bytes) -> Pieces:
    """Yield chunks of 64 kB."""
    yield begin + CHUNKED
    yield from itertools.repeat(_chunks_of(CHUNK_BYTES))


@register_kind("tiny-chunks", *ANSWERING, CALLER)
def send_tiny_chunks(begin: bytes) -> Pieces:
    """Yield chunks of two bytes."""
    yield begin + CHUNKED
    yield from itertools.repeat(_chunks_of(TINY_CHUNK_BYTES))


@register_kind("chunk-extensions", *ANSWERING, CALLER)
def send_chunk_extensions(begin: bytes) -> Pieces:
    """Yield chunks of two bytes with extensions of 4 kB."""
    yield begin + CHUNKED
    extension = b";" + b"e" * EXTENSION_BYTES
    yield from itertools.repeat(_chunks_of(TINY_CHUNK_BYTES, extension))


@register_kind("no-length", *ANSWERING)
def send_without_length(begin: bytes) -> Pieces:
    """Yield a body that the end of the connection would end."""
    yield begin + b"\r\n"
    yield from itertools.repeat(_piece_of(BODY))


@register_kind("huge-length", *ANSWERING, CALLER)
def send_huge_length(begin: bytes) -> Pieces:
    """Yield the body of a message that announces 1 TB."""
    yield begin + _length(HUGE_LENGTH_BYTES)
    yield from itertools.repeat(_piece_of(BODY))


@register_kind("slow-length", *ANSWERING, CALLER)
def send_slowly(begin: bytes) -> Pieces:
    """Yield 1 kB each 0.1 s of a message that announces 31 MB."""
    yield begin + _length(LARGE_LENGTH_BYTES)
    while True:
        time.sleep(SLOW_PAUSE_S)
        yield b"x" * SLOW_PIECE_BYTES


@register_kind("stalled-length", *ANSWERING, CALLER)
def send_head_only(begin: bytes) -> Pieces:
    """Yield nothing of a message that announces 31 MB."""
    yield begin + _length(LARGE_LENGTH_BYTES)
    while True:
        time.sleep(SLOW_PAUSE_S)
        yield b""


@register_kind("whole-answers", SERVER, has_end=True)
def send_whole_answer(begin: bytes) -> Pieces:
    """Yield a whole answer of 24 MB in chunks."""
    yield begin + CHUNKED
    piece = _chunks_of(CHUNK_BYTES)
    yield from itertools.repeat(piece, WHOLE_ANSWER_BYTES // piece.size_bytes)
    yield b"0\r\n\r\n"


@register_kind("uploads", CALLER, has_end=True)
def send_upload(begin: bytes) -> Pieces:
    """Yield a whole upload of 60 MB."""
    yield begin + _length(UPLOAD_BYTES)
    yield from itertools.repeat(_piece_of(BODY), UPLOAD_BYTES // PIECE_BYTES)


@register_kind("junk", *ANSWERING, CALLER)
def send_junk(begin: bytes) -> Pieces:
    """Yield bytes that are no message."""
    yield from itertools.repeat(_piece_of(BODY))


@register_kind("fields", *ANSWERING, CALLER)
def send_fields(begin: bytes) -> Pieces:
    """Yield header fields."""
    yield begin
    yield from itertools.repeat(_piece_of(FIELD))


@register_kind("interim-answers", *ANSWERING)
def send_interim_answers(begin: bytes) -> Pieces:
    """Yield interim answers."""
    yield from itertools.repeat(_piece_of(INTERIM))


@register_kind("trailers", *ANSWERING, CALLER)
def send_trailers(begin: bytes) -> Pieces:
    """Yield the trailers of an empty body."""
    yield begin + CHUNKED + b"0\r\n"
    yield from itertools.repeat(_piece_of(FIELD))


@register_kind(UNREAD_REQUESTS, CALLER)
def send_pipelined_requests(begin: bytes) -> Pieces:
    """Yield requests whose answers are never read."""
    _, _, fields = begin.partition(b"\r\n")
    request = b"GET /read/x HTTP/1.1\r\n" + fields
    while True:
        ids = (secrets.token_hex(8).encode() for _ in range(PIPELINED_COUNT))
        yield b"".join(
            request + b"X-Request-Id: %b\r\n\r\n" % request_id for request_id in ids
        )


def _length(size_bytes: int) -> bytes:
    return b"Content-Length: %d\r\n\r\n" % size_bytes


def _chunks_of(size_bytes: int, extension: bytes = b"") -> Piece:
    """Return a piece that consists of chunks of a size."""
    body = b"x" * size_bytes
    return _piece_of(b"%x%b\r\n%b\r\n" % (size_bytes, extension, body))


@functools.cache
def _piece_of(unit: bytes) -> Piece:
    """Return a piece of about `PIECE_BYTES` that repeats some bytes."""
    return Piece(unit * (PIECE_BYTES // len(unit)))
