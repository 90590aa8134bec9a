"""HTTP client whose answers have a time limit and a size limit as a whole.

It works in operating-system threads, unlike `berylhaven.http1.BoundedClient`.
"""

import http.client
import io
import socket
import time

import urllib3

PIECE_BYTES = 65_536
# Each piece of a body counts at least this much towards the size limit: a chunk of two
# bytes takes as long to parse as a large one.
PIECE_COST_BYTES = 64
POOL_COUNT = 64


class AnswerTooLarge(Exception):
    """An answer exceeded its size limit, and its connection was closed."""


class _AnswerSource(io.RawIOBase):
    """Reads one answer, all of it within the timeout that a single read has.

    Parameters
    ----------
    source : io.RawIOBase
        Reads from the socket.
    sock : socket.socket
        The socket, with the timeout of the answer.
    """

    def __init__(self, source: io.RawIOBase, sock: socket.socket) -> None:
        super().__init__()
        self._source = source
        self._socket = sock
        # The timeouts of sockets are kept by this clock too.
        self._deadline_s = time.monotonic() + sock.gettimeout()

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: memoryview) -> int | None:
        """Read into a buffer; raise TimeoutError once the answer is late."""
        remaining_s = self._deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("the whole answer was not received in time")
        self._socket.settimeout(remaining_s)
        return self._source.readinto(buffer)

    def close(self) -> None:
        """Close the source too."""
        self._source.close()
        super().close()


class _BoundedResponse(http.client.HTTPResponse):
    """An answer that is read from an `_AnswerSource`."""

    def __init__(
        self, sock: socket.socket, *arguments: object, **options: object
    ) -> None:
        super().__init__(sock, *arguments, **options)
        self.fp = io.BufferedReader(_AnswerSource(self.fp.detach(), sock))


class _Connection(urllib3.connection.HTTPConnection):
    """A connection with bounded answers."""

    response_class = _BoundedResponse


class _ConnectionPool(urllib3.HTTPConnectionPool):
    """The connections to one address."""

    ConnectionCls = _Connection


def create_http(connections_per_address: int) -> urllib3.PoolManager:
    """Return an HTTP client whose read timeouts are those of whole answers.

    Parameters
    ----------
    connections_per_address : int
        The number of idle connections that are kept for each address.

    Returns
    -------
    urllib3.PoolManager
        It neither retries nor follows redirects; requests need a read timeout, and
        ``preload_content=False`` for `read_body`.
    """
    pools = urllib3.PoolManager(
        num_pools=POOL_COUNT, maxsize=connections_per_address, retries=False
    )
    pools.pool_classes_by_scheme = {"http": _ConnectionPool}
    return pools


def read_body(answer: urllib3.BaseHTTPResponse, limit_bytes: int) -> bytes:
    """Read the body of an answer.

    Parameters
    ----------
    answer : urllib3.BaseHTTPResponse
        The answer, whose body is not read yet.
    limit_bytes : int
        The size limit of the decoded body, in bytes.

    Returns
    -------
    bytes
        The whole body; the connection is free for the next request.

    Raises
    ------
    AnswerTooLarge
        If the body exceeds the limit, or its length is announced as such.
    urllib3.exceptions.HTTPError
        If the connection breaks or the answer is malformed or late.
    """
    body = bytearray()
    cost_bytes = answer.length_remaining or 0
    is_whole = False
    try:
        if cost_bytes > limit_bytes:
            raise AnswerTooLarge(f"announced length of {cost_bytes} bytes")
        cost_bytes = 0
        for piece in answer.stream(PIECE_BYTES):
            cost_bytes += max(len(piece), PIECE_COST_BYTES)
            if cost_bytes > limit_bytes:
                raise AnswerTooLarge(f"more than {limit_bytes} bytes")
            body += piece
        is_whole = True
    finally:
        if not is_whole:
            # The rest must not be read as the next answer.
            answer.close()
        answer.release_conn()
    return bytes(body)
