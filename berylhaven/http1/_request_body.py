"""The body of a caller's request, read within size and time limits."""

import io
from collections.abc import Callable, Iterator

import eventlet.wsgi

from berylhaven.clock import monotonic_s
from berylhaven.http1._body_framing import BodyFraming
from berylhaven.http1._chunked_reader import ChunkedBodyError, ChunkedReader
from berylhaven.results import BadFraming, BodyTooLarge, BodyTruncated, SenderTooSlow

# The unread rest of a refused request's body is read and discarded up to this size, so
# that the connection can serve the next request; a longer rest closes the connection.
DISCARD_LIMIT_BYTES = 65_536
# A read allocates memory for as much as it may return.
PIECE_BYTES = 65_536
CONTINUE_LINE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyTaken(Exception):
    """A body that cannot be sent again is sent by another attempt, or was."""


class RequestBody:
    """Reads a request's body; it also replaces the input object of the WSGI server.

    Parameters
    ----------
    reader : io.BufferedReader
        Positioned at the first byte of the body.
    framing : BodyFraming
        The framing of the body.
    sender_timeout_s : float
        The time limit of one `read`, in seconds.
    send_continue : callable or None
        Sends the 100 Continue answer; None if the caller does not expect one.
    """

    __slots__ = (
        "_reader",
        "_chunks",
        "_sender_timeout_s",
        "_send_continue",
        "_first_part",
        "_is_taken",
        "buffered_bytes",
        "limit_bytes",
        "content_length",
        "position",
        "headers_sent",
    )

    def __init__(
        self,
        reader: io.BufferedReader,
        framing: BodyFraming,
        sender_timeout_s: float,
        send_continue: Callable[[], None] | None = None,
    ) -> None:
        self._reader = reader
        self._chunks = ChunkedReader(reader) if framing.is_chunked else None
        self._sender_timeout_s = sender_timeout_s
        self._send_continue = send_continue
        self._first_part: bytes | bytearray | None = None
        # Whether an attempt has begun to send a body that cannot be sent again.
        self._is_taken = False
        # The size of the part that was read into memory, also once it was released.
        self.buffered_bytes = 0
        # The size limit of the body in bytes; None until the service is known.
        self.limit_bytes: int | None = None
        # The length in bytes; None if the body is chunked.
        self.content_length = None if framing.is_chunked else framing.content_length
        if not framing.is_chunked and framing.content_length is None:
            self.content_length = 0
        # The number of bytes read.
        self.position = 0
        # Set by the WSGI server.
        self.headers_sent: list | None = None

    @property
    def has_body(self) -> bool:
        """Whether a body follows the head."""
        return self.content_length is None or self.content_length > 0

    @property
    def is_ended(self) -> bool:
        """Whether the whole body was read from the caller."""
        if self._chunks is not None:
            return self._chunks.is_ended
        return self.position == self.content_length

    @property
    def first_part(self) -> bytes | bytearray:
        """The part that was read into memory, as long as it is kept."""
        return self._first_part or b""

    @property
    def is_replayable(self) -> bool:
        """Whether the whole body is in memory, so that it can be sent again."""
        return not self.has_body or (self._first_part is not None and self.is_ended)

    @property
    def is_available(self) -> bool:
        """Whether an attempt may send the body from its start."""
        return self.is_replayable or not self._is_taken

    @property
    def chunked_input(self) -> bool:
        """Whether the WSGI server must discard an unread rest of the body."""
        return not self.is_ended

    @property
    def should_send_hundred_continue(self) -> bool:
        """Whether the caller still waits for 100 Continue; read by the WSGI server."""
        return self._send_continue is not None

    @property
    def awaits_continue(self) -> bool:
        """Whether the caller sends its body only after the first `read`."""
        return self._send_continue is not None

    def read(self, size_bytes: int) -> bytes | bytearray:
        """Return the given number of bytes of the body, fewer only at its end.

        Parameters
        ----------
        size_bytes : int
            The number of bytes to read.

        Returns
        -------
        bytes or bytearray
            Empty at the end.

        Raises
        ------
        BodyTruncated
            If the sender closed or broke the connection before the end of the body.
        BadFraming
            If a chunk is malformed.
        BodyTooLarge
            If the body exceeds its size limit.
        SenderTooSlow
            If the bytes were not received within the time limit.
        """
        if self._send_continue is not None and self.has_body:
            self._send_continue()
            self._send_continue = None
        body = None
        read_bytes = 0
        started_at_s = None
        while read_bytes < size_bytes and not self.is_ended:
            if started_at_s is None:
                started_at_s = monotonic_s()
            elif monotonic_s() - started_at_s > self._sender_timeout_s:
                raise SenderTooSlow(
                    f"the body was not received within {self._sender_timeout_s:g} s"
                )
            piece = self._read_piece(min(PIECE_BYTES, size_bytes - read_bytes))
            read_bytes += len(piece)
            # A list of chunks of a few bytes costs many times their bytes.
            if body is None:
                body = piece
            elif isinstance(body, bytearray):
                body += piece
            else:
                body = bytearray(body) + piece
        return body or b""

    def _read_piece(self, size_bytes: int) -> bytes:
        try:
            if self._chunks is not None:
                piece = self._chunks.read1(size_bytes)
            else:
                remaining_bytes = self.content_length - self.position
                piece = self._reader.read1(min(size_bytes, remaining_bytes))
                if not piece:
                    raise BodyTruncated(
                        f"{remaining_bytes} bytes of Content-Length are missing"
                    )
        except ChunkedBodyError as fault:
            raise BadFraming(str(fault)) from None
        except TimeoutError:
            raise SenderTooSlow("no part of the body was received in time") from None
        except OSError as error:
            raise BodyTruncated(f"the caller's connection broke: {error}") from None
        self.position += len(piece)
        if self.limit_bytes is not None and self.position > self.limit_bytes:
            raise BodyTooLarge(f"the body exceeds {self.limit_bytes} bytes")
        return piece

    def buffer_first_part(self, size_bytes: int) -> None:
        """Read the first part into memory, before the call acquires any resource.

        Parameters
        ----------
        size_bytes : int
            The maximum size of the first part, in bytes.
        """
        if self._first_part is None:
            self._first_part = self.read(size_bytes) if self.has_body else b""
            self.buffered_bytes = len(self._first_part)

    def extend_first_part(self, size_bytes: int) -> None:
        """Read more of the body into memory, after `buffer_first_part`.

        Parameters
        ----------
        size_bytes : int
            The maximum size of the addition, in bytes.
        """
        first_part = bytearray(self._first_part or b"")
        self._first_part = first_part
        end_bytes = len(first_part) + size_bytes
        while len(first_part) < end_bytes and not self.is_ended:
            first_part += self.read(min(PIECE_BYTES, end_bytes - len(first_part)))
        self.buffered_bytes = len(first_part)

    def pieces(self, size_bytes: int) -> Iterator[bytes | bytearray]:
        """Return the pieces of the body from its start.

        Two attempts that read one body would each send a part of it, so the first
        call takes a body that cannot be sent again.

        Parameters
        ----------
        size_bytes : int
            The maximum size of a further piece, in bytes.

        Returns
        -------
        iterator of bytes or bytearray
            The pieces.

        Raises
        ------
        BodyTaken
            If the body is not available.
        """
        if not self.is_available:
            raise BodyTaken("the body is sent by another attempt, or was")
        self._is_taken = True
        return self._read_pieces(size_bytes)

    def _read_pieces(self, size_bytes: int) -> Iterator[bytes | bytearray]:
        if self._first_part:
            yield self._first_part
        if not self.is_ended:
            # The body can't be sent again, so the memory of the first part is released.
            self._first_part = None
        while not self.is_ended:
            piece = self.read(size_bytes)
            if piece:
                yield piece

    def discard(self) -> None:
        """Read and drop a short rest, or raise the error that closes the connection."""
        try:
            self.read(DISCARD_LIMIT_BYTES)
        except (BodyTruncated, BadFraming, BodyTooLarge, SenderTooSlow) as error:
            raise eventlet.wsgi.ChunkReadError(str(error)) from None
        if not self.is_ended:
            raise eventlet.wsgi.ChunkReadError(
                f"the unread rest of the body exceeds {DISCARD_LIMIT_BYTES} bytes"
            )
