"""Finds out whether a run of a backend server has ended."""

import contextlib

import eventlet

from berylhaven.attempts import AttemptEnd, AttemptFailed
from berylhaven.clock import sleep_s
from berylhaven.gateway._dialect import Dialect
from berylhaven.gateway.servers._evacuations import Evacuations
from berylhaven.gateway.servers._server_exchange import CONNECT_TIMEOUT_S
from berylhaven.gateway.servers._server_record import ServerEntry
from berylhaven.http1 import (
    CONNECTION_ERRORS,
    MALFORMED_ANSWER_ERRORS,
    AnswerBodyError,
    ConnectionPool,
    NoAnswerLength,
    read_answer,
)

# The time limit of the whole check.
CHECK_TIMEOUT_S = 2.0
# The time between two queries if a connection was accepted and then broken: by a full
# server, or by a proxy before one that has ended.
RETRY_INTERVAL_S = 0.25
ANSWER_LIMIT_BYTES = 4_096


class ServerEndCheck:
    """Queries the health of a server on a new connection.

    Parameters
    ----------
    pool : ConnectionPool
        The connections to backend servers.
    dialect : Dialect
        The header names of the deployment.
    evacuations : Evacuations
        Tells whether a server may be queried.
    """

    __slots__ = ("_pool", "_dialect", "_evacuations", "_running")

    def __init__(
        self, pool: ConnectionPool, dialect: Dialect, evacuations: Evacuations
    ) -> None:
        self._evacuations = evacuations
        self._pool = pool
        self._dialect = dialect
        # Running checks by server id; requests that broke together share one.
        self._running: dict[str, eventlet.greenthread.GreenThread] = {}

    def has_ended(self, entry: ServerEntry, health_path: str) -> bool:
        """Return whether a server that broke a connection is gone.

        Parameters
        ----------
        entry : ServerEntry
            The server.
        health_path : str
            The path of its health check.

        Returns
        -------
        bool
            False if the server answers, or if that cannot be told, as in an evacuated
            data centre.
        """
        thread = self._running.get(entry.server_id)
        if thread is None:
            thread = eventlet.spawn(self._check, entry, health_path)
            self._running[entry.server_id] = thread
        return thread.wait()

    def _check(self, entry: ServerEntry, health_path: str) -> bool:
        try:
            with eventlet.Timeout(CHECK_TIMEOUT_S, False):
                while (has_ended := self._query(entry, health_path)) is None:
                    sleep_s(RETRY_INTERVAL_S)
                return has_ended
            return False
        finally:
            del self._running[entry.server_id]

    def _query(self, entry: ServerEntry, health_path: str) -> bool | None:
        """Return whether the server has ended; None if it cannot be told now."""
        if self._evacuations.is_evacuated(entry.data_centre):
            return False
        try:
            connection = self._pool.acquire(
                entry.address, is_idempotent=True, requires_new_connection=True
            )
        except AttemptFailed as failure:
            return True if failure.end is AttemptEnd.NOT_CONNECTED else None
        is_reusable = False
        try:
            try:
                connection.open(CONNECT_TIMEOUT_S)
            except CONNECTION_ERRORS:
                return True
            self._evacuations.check_sending(entry.server_id, entry.data_centre)
            lines = f"GET {health_path} HTTP/1.1\r\nHost: {entry.address}\r\n\r\n"
            connection.send(lines.encode("latin-1"))
            head = connection.read_head()
            with contextlib.suppress(NoAnswerLength):
                # Without a length the end of the connection ends the answer.
                answer = read_answer(head, connection.reader, "GET", ANSWER_LIMIT_BYTES)
                is_reusable = answer.is_complete and answer.keeps_connection
        except AttemptFailed:
            # The data centre was evacuated while the connection was opened.
            return False
        except (*CONNECTION_ERRORS, *MALFORMED_ANSWER_ERRORS, AnswerBodyError):
            return None
        finally:
            self._pool.release(connection, is_reusable)
        # The address may have been reassigned to another server.
        return self._dialect.server_id(head.fields) not in (None, entry.server_id)
