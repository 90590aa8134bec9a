"""The body of a caller's request, counted as it is read."""

import io
from collections.abc import Callable, Iterator

import eventlet.wsgi

from berylhaven.clock import monotonic_s
from berylhaven.http1._body_framing import BodyFraming
from berylhaven.http1._chunked_reader import ChunkedBodyError, ChunkedReader
from berylhaven.results import BadFraming, BodyCut, BodyTooLarge, SenderTooSlow

# What is left of a refused request's body is read up to this size, so that the
# connection can serve the next request; a longer rest closes it.
DISCARD_LIMIT_BYTES = 65_536
CONTINUE_LINE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestBody:
    """A request's body; it also stands in for the WSGI server's own input.

    Parameters
    ----------
    reader : io.BufferedReader
        At the body's first byte.
    framing : BodyFraming
        How its end is told.
    sender_timeout_s : float
        How long the sender may take for one read.
    send_continue : callable or None
        Sends the interim answer that the caller waits for; None if it waits for none.
    """

    __slots__ = (
        "_reader",
        "_chunks",
        "_sender_timeout_s",
        "_send_continue",
        "_first_part",
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
        self._first_part: bytes | None = None
        # The most bytes that are taken; None before the service is known.
        self.limit_bytes: int | None = None
        # The length; None if the body is chunked.
        self.content_length = None if framing.is_chunked else framing.content_length
        if not framing.is_chunked and framing.content_length is None:
            self.content_length = 0
        # How many bytes were read.
        self.position = 0
        # Set by the WSGI server.
        self.headers_sent: list | None = None

    @property
    def has_body(self) -> bool:
        """Whether a body follows the head."""
        return self.content_length is None or self.content_length > 0

    @property
    def is_ended(self) -> bool:
        """Whether the whole body was read."""
        if self._chunks is not None:
            return self._chunks.is_ended
        return self.position == self.content_length

    @property
    def is_replayable(self) -> bool:
        """Whether the whole body is held, so that it can be sent again."""
        return not self.has_body or (self._first_part is not None and self.is_ended)

    @property
    def chunked_input(self) -> bool:
        """Whether the WSGI server must look after a rest of the body."""
        return not self.is_ended

    @property
    def should_send_hundred_continue(self) -> bool:
        """Whether the caller still waits for an interim answer."""
        return self._send_continue is not None

    @property
    def awaits_continue(self) -> bool:
        """Whether reading makes the caller send its body."""
        return self._send_continue is not None

    def read(self, size_bytes: int) -> bytes:
        """Return so many bytes of the body, fewer only at its end.

        Parameters
        ----------
        size_bytes : int
            How many bytes are wanted.

        Returns
        -------
        bytes
            Empty at the end.

        Raises
        ------
        BodyCut
            If the sender closed early.
        BadFraming
            If a chunk is malformed.
        BodyTooLarge
            If the body is over its limit.
        SenderTooSlow
            If the sender took too long.
        """
        if self._send_continue is not None and self.has_body:
            self._send_continue()
            self._send_continue = None
        pieces = []
        got_bytes = 0
        started_at_s = None
        while got_bytes < size_bytes and not self.is_ended:
            if started_at_s is None:
                started_at_s = monotonic_s()
            elif monotonic_s() - started_at_s > self._sender_timeout_s:
                raise SenderTooSlow("the body came too slowly")
            piece = self._read_some(size_bytes - got_bytes)
            got_bytes += len(piece)
            pieces.append(piece)
        return pieces[0] if len(pieces) == 1 else b"".join(pieces)

    def _read_some(self, size_bytes: int) -> bytes:
        try:
            if self._chunks is not None:
                piece = self._chunks.read1(size_bytes)
            else:
                left_bytes = self.content_length - self.position
                piece = self._reader.read1(min(size_bytes, left_bytes))
                if not piece:
                    raise BodyCut("the body ended before its Content-Length")
        except ChunkedBodyError as fault:
            raise BadFraming(str(fault)) from None
        except TimeoutError:
            raise SenderTooSlow("the body came too slowly") from None
        except OSError as error:
            raise BodyCut(f"the caller's connection broke: {error}") from None
        self.position += len(piece)
        if self.limit_bytes is not None and self.position > self.limit_bytes:
            raise BodyTooLarge(f"allowed is {self.limit_bytes} bytes")
        return piece

    def buffer_first_part(self, size_bytes: int) -> None:
        """Read and keep the first part, before anything is held for the call.

        Parameters
        ----------
        size_bytes : int
            How much is kept at most.
        """
        if self._first_part is None:
            self._first_part = self.read(size_bytes) if self.has_body else b""

    def pieces(self, size_bytes: int) -> Iterator[bytes]:
        """Yield the body from its start; once, unless it is replayable.

        Parameters
        ----------
        size_bytes : int
            How much is held at once.

        Yields
        ------
        bytes
            A piece of the body.
        """
        if self._first_part:
            yield self._first_part
        if not self.is_ended:
            # The first part is let go, since the body cannot be sent again.
            self._first_part = None
        while not self.is_ended:
            piece = self.read(size_bytes)
            if piece:
                yield piece

    def discard(self) -> None:
        """Read a short rest, or raise the error that closes the connection."""
        try:
            self.read(DISCARD_LIMIT_BYTES)
        except (BodyCut, BadFraming, BodyTooLarge, SenderTooSlow) as error:
            raise eventlet.wsgi.ChunkReadError(str(error)) from None
        if not self.is_ended:
            raise eventlet.wsgi.ChunkReadError("the rest of the body is too long")
