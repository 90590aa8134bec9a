"""HTTP client whose answers have a size limit and a time limit as a whole."""

import zlib
from collections.abc import Mapping
from dataclasses import dataclass

import eventlet
import urllib3

from berylhaven.clock import end_long_turn
from berylhaven.http1._chunked_reader import CHUNK_COST_BYTES, FRAMING_ALLOWANCE_BYTES

PIECE_BYTES = 65_536
CONTENT_ENCODING = "content-encoding"
DEFLATE = "deflate"
IDENTITY = "identity"
POOL_COUNT = 64
# Raised when there is no whole answer; `AnswerRefused` and late answers are OSErrors.
REQUEST_ERRORS = (urllib3.exceptions.HTTPError, OSError)


class AnswerRefused(OSError):
    """An answer was malformed, and its connection was closed."""


class AnswerTooLarge(AnswerRefused):
    """An answer exceeded its size limit, and its connection was closed."""


@dataclass(slots=True, frozen=True)
class BoundedAnswer:
    """An answer that was read to its end."""

    # The HTTP status.
    status: int
    # The reason phrase.
    reason: str | None
    # The headers, with case-insensitive lookup by name.
    headers: Mapping[str, str]
    # The decoded body.
    data: bytes


class BoundedClient:
    """Sends requests over kept-alive connections, and reads answers within limits.

    urllib3 reads a body of any size into memory, and its timeouts are those of single
    reads, which a sender without end never exceeds.

    Parameters
    ----------
    limit_bytes : int
        The size limit of a body, as received and as decoded, in bytes.
    connections_per_address : int
        The number of idle connections that are kept for each address.
    pool_count : int
        The number of addresses to which connections are kept.
    """

    __slots__ = ("_pools", "_limit_bytes")

    def __init__(
        self,
        limit_bytes: int,
        connections_per_address: int = 1,
        pool_count: int = POOL_COUNT,
    ) -> None:
        self._limit_bytes = limit_bytes
        self._pools = urllib3.PoolManager(
            num_pools=pool_count, maxsize=connections_per_address, retries=False
        )

    def request(
        self,
        method: str,
        url: str,
        timeout_s: float,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        socket_timeout: urllib3.Timeout | None = None,
    ) -> BoundedAnswer:
        """Send a request and read the whole answer; redirects are not followed.

        Parameters
        ----------
        method : str
            The HTTP method.
        url : str
            The URL.
        timeout_s : float
            The time limit of the request and its whole answer, in seconds.
        body : bytes or None
            The body of the request; None for none.
        headers : mapping or None
            Additional request headers.
        socket_timeout : urllib3.Timeout or None
            Time limits of the connection attempt and of each read; None for none beside
            `timeout_s`.

        Returns
        -------
        BoundedAnswer
            The answer, of any status.

        Raises
        ------
        AnswerTooLarge
            If the body exceeds the size limit, or its length is announced as such.
        AnswerRefused
            If the answer is malformed.
        TimeoutError
            If the whole answer was not received within `timeout_s`.
        urllib3.exceptions.HTTPError
            If the connection cannot be opened, breaks, or a read times out.
        """
        # Not an OSError: urllib3 would replace it by an error of its own.
        timer = eventlet.Timeout(timeout_s)
        try:
            answer = self._pools.request(
                method,
                url,
                body=body,
                headers=headers,
                timeout=socket_timeout or urllib3.Timeout(),
                redirect=False,
                preload_content=False,
            )
            try:
                data = self._read_body(answer)
            except BaseException:
                # The rest must not be read as the next answer.
                answer.close()
                raise
            finally:
                answer.release_conn()
        except eventlet.Timeout as timeout:
            if timeout is not timer:
                raise
            raise TimeoutError(f"no whole answer within {timeout_s:g} s") from None
        finally:
            timer.cancel()
        return BoundedAnswer(answer.status, answer.reason, answer.headers, data)

    def _read_body(self, answer: urllib3.BaseHTTPResponse) -> bytes:
        if (answer.length_remaining or 0) > self._limit_bytes:
            raise AnswerTooLarge(
                f"announced length of {answer.length_remaining} bytes exceeds "
                f"{self._limit_bytes} bytes"
            )
        decoder = _decoder(answer.headers.get(CONTENT_ENCODING), self._limit_bytes)
        received_bytes = 0
        framing_left_bytes = FRAMING_ALLOWANCE_BYTES
        try:
            while piece := answer.read1(PIECE_BYTES, decode_content=False):
                received_bytes += len(piece)
                if received_bytes > self._limit_bytes:
                    raise AnswerTooLarge(f"body exceeds {self._limit_bytes} bytes")
                # A chunk is read as one piece or more.
                framing_left_bytes += len(piece) - CHUNK_COST_BYTES
                if framing_left_bytes < 0:
                    raise AnswerRefused("body has far more framing than content")
                decoder.add(piece)
                # Many pieces may come from one read of the socket.
                end_long_turn()
        except (ValueError, OverflowError, zlib.error) as error:
            raise AnswerRefused(f"malformed body: {error}") from None
        return decoder.finish()


class _Body:
    """Collects a body that has no encoding."""

    __slots__ = ("_data",)

    def __init__(self) -> None:
        self._data = bytearray()

    def add(self, piece: bytes) -> None:
        """Append a piece as received."""
        self._data += piece

    def finish(self) -> bytes:
        """Return the whole body."""
        return bytes(self._data)


class _DeflatedBody(_Body):
    """Decompresses a body up to a size limit.

    Parameters
    ----------
    limit_bytes : int
        The size limit of the decoded body in bytes.
    """

    __slots__ = ("_inflater", "_limit_bytes")

    def __init__(self, limit_bytes: int) -> None:
        super().__init__()
        self._inflater = zlib.decompressobj()
        self._limit_bytes = limit_bytes

    def add(self, piece: bytes) -> None:
        """Decompress a piece as received."""
        left_bytes = self._limit_bytes - len(self._data)
        # One more byte than allowed; 0 would stand for no limit.
        self._data += self._inflater.decompress(piece, left_bytes + 1)
        if len(self._data) > self._limit_bytes:
            raise AnswerTooLarge(f"decoded body exceeds {self._limit_bytes} bytes")
        if self._inflater.unused_data:
            raise AnswerRefused("bytes follow the compressed body")

    def finish(self) -> bytes:
        """Return the whole body; raise AnswerRefused if it is truncated."""
        if not self._inflater.eof:
            raise AnswerRefused("the compressed body is truncated")
        return super().finish()


def _decoder(encoding: str | None, limit_bytes: int) -> _Body:
    name = (encoding or IDENTITY).strip().lower()
    if name == DEFLATE:
        return _DeflatedBody(limit_bytes)
    if name != IDENTITY:
        raise AnswerRefused(f"Content-Encoding {name!r:.60} was not asked for")
    return _Body()
