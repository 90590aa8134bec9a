"""One attempt with all that goes with it: connection, load record, refusals."""

from dataclasses import dataclass

from urllib3.connection import HTTPConnection

from berylhaven.backend import LOAD_HEADER, is_failure, is_shed, read_load_header
from berylhaven.calls import AttemptEnd, AttemptFailed
from berylhaven.clock import monotonic_s
from berylhaven.load import ServerLoad
from berylhaven.proxy._attempt import UpstreamAnswer, send_attempt
from berylhaven.proxy._call_request import CallRequest
from berylhaven.proxy._connection_pool import ConnectionPool

# These ends tell nothing of the backend server.
ENDS_WITHOUT_BLAME = frozenset(
    {AttemptEnd.CALLER_BODY_CUT, AttemptEnd.DEADLINE_BEFORE_SENDING}
)


@dataclass(slots=True)
class OpenAnswer:
    """An answer whose head was received, with the connection that carries it."""

    # The head.
    upstream: UpstreamAnswer
    # HOST:PORT of the backend server.
    address: str
    # The connection, which carries no other call.
    connection: HTTPConnection
    # Takes the connection back.
    pool: ConnectionPool

    def end(self, is_reusable: bool) -> None:
        """Give the connection back.

        Parameters
        ----------
        is_reusable : bool
            Whether the answer was read to its exact end.
        """
        self.pool.put_back(self.address, self.connection, is_reusable)


class AttemptSender:
    """Sends attempts to backend servers and tells the load records of their ends.

    Parameters
    ----------
    pool : ConnectionPool
        The open connections.
    chunk_bytes : int
        How much of a body is held at once.
    """

    __slots__ = ("_pool", "_chunk_bytes")

    def __init__(self, pool: ConnectionPool, chunk_bytes: int) -> None:
        self._pool = pool
        self._chunk_bytes = chunk_bytes

    def send(self, server: ServerLoad, request: CallRequest) -> OpenAnswer:
        """Send a call to a backend server and wait for the head of its answer.

        Parameters
        ----------
        server : ServerLoad
            The record of the chosen server.
        request : CallRequest
            The call.

        Returns
        -------
        OpenAnswer
            To be ended by the one who reads it.

        Raises
        ------
        AttemptFailed
            With the place at which it ended.
        """
        connection = self._pool.acquire(server.address)
        server.call_started()
        sent_at_s = monotonic_s()
        try:
            upstream = send_attempt(connection, request, self._chunk_bytes)
            _tell_answered(server, upstream, sent_at_s)
        except AttemptFailed as failure:
            self._pool.put_back(server.address, connection, is_reusable=False)
            if failure.end is not AttemptEnd.SHED:
                _tell_failed(server, failure, sent_at_s)
            raise
        except BaseException:
            # The green thread was ended from outside, which says nothing of the server.
            server.call_cancelled()
            self._pool.put_back(server.address, connection, is_reusable=False)
            raise
        return OpenAnswer(upstream, server.address, connection, self._pool)


def _tell_answered(
    server: ServerLoad, upstream: UpstreamAnswer, sent_at_s: float
) -> None:
    """Tell the load record of an answer's head; raise if it says `not started`."""
    now_s = monotonic_s()
    headers = upstream.response.headers
    report = read_load_header(headers.get(LOAD_HEADER), now_s)
    if is_shed(upstream.status, headers):
        server.call_shed(now_s, report)
        raise AttemptFailed(AttemptEnd.SHED, "the backend server is full")
    if is_failure(upstream.status):
        server.call_failed(now_s, report)
    else:
        server.call_answered(now_s - sent_at_s, report, now_s)


def _tell_failed(server: ServerLoad, failure: AttemptFailed, sent_at_s: float) -> None:
    now_s = monotonic_s()
    if failure.end in ENDS_WITHOUT_BLAME:
        server.call_cancelled()
    elif failure.end is AttemptEnd.DEADLINE_BEFORE_HEAD:
        server.call_timed_out(now_s - sent_at_s, now_s)
    else:
        server.call_failed(now_s)
