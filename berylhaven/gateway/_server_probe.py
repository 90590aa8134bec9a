"""Asking backend servers for their load just before one of them is chosen."""

from collections.abc import Iterable

import eventlet

from berylhaven.attempts import AttemptEnd, AttemptFailed
from berylhaven.clock import monotonic_s
from berylhaven.gateway._dialect import Dialect
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway._server_exchange import CONNECT_TIMEOUT_S
from berylhaven.gateway._server_record import ServerRecord
from berylhaven.http1 import (
    CONNECTION_ERRORS,
    AnswerCut,
    ConnectionPool,
    read_answer,
)
from berylhaven.results import CallRefused

# A probe is answered at once, after a round trip within a region.
PROBE_TIMEOUT_S = 0.015
# A report that came within this time needs no probe.
REPORT_FRESHNESS_S = 0.02
# The time after which a silent probe's connection is given up.
PROBE_LIMIT_S = 0.25
ANSWER_LIMIT_BYTES = 4_096
# How long a server is passed over to which all of this instance's connections are busy.
NO_CONNECTION_REST_S = 0.02
# Passes of the hub in which an answer that has arrived is read to its end.
READ_PASSES = 3


class ServerProber:
    """Probes servers over the connections that carry requests.

    Parameters
    ----------
    pool : ConnectionPool
        The connections to backend servers.
    dialect : Dialect
        The headers' names.
    metrics : GatewayMetrics
        Counts the probes.
    """

    __slots__ = ("_pool", "_dialect", "_metrics", "_under_way")

    def __init__(
        self, pool: ConnectionPool, dialect: Dialect, metrics: GatewayMetrics
    ) -> None:
        self._metrics = metrics
        self._pool = pool
        self._dialect = dialect
        # Probes by server id; requests that come together share them.
        self._under_way: dict[str, eventlet.greenthread.GreenThread] = {}

    def refresh(self, servers: Iterable[ServerRecord], health_path: str) -> None:
        """Return when the servers have reported their load, or soon after.

        Parameters
        ----------
        servers : iterable of ServerRecord
            The servers to ask; those with fresh reports are not asked.
        health_path : str
            The path that answers with the load.
        """
        now_s = monotonic_s()
        asked = [
            server
            for server in servers
            if server.reports_load and server.report_age_s(now_s) > REPORT_FRESHNESS_S
        ]
        waits = [self._start(server, health_path) for server in asked]
        with eventlet.Timeout(PROBE_TIMEOUT_S, False):
            for wait in waits:
                wait.wait()
        self._judge_late(asked)
        silent_count = sum(server.is_unresponsive for server in asked)
        self._metrics.record_probes(len(asked) - silent_count, silent_count)

    def _judge_late(self, asked: list[ServerRecord]) -> None:
        """Take in which of the servers have left their probe unanswered."""
        if all(server.entry.server_id not in self._under_way for server in asked):
            return
        # After a pause of this process the timer fires before the answers that came
        # meanwhile are read.
        for _ in range(READ_PASSES):
            eventlet.sleep(0)
        now_s = monotonic_s()
        for server in asked:
            if server.entry.server_id in self._under_way:
                server.record_probe_failure(now_s)

    def _start(
        self, server: ServerRecord, health_path: str
    ) -> eventlet.greenthread.GreenThread:
        server_id = server.entry.server_id
        thread = self._under_way.get(server_id)
        if thread is None:
            thread = eventlet.spawn(self._probe, server, health_path)
            self._under_way[server_id] = thread
        return thread

    def _probe(self, server: ServerRecord, health_path: str) -> None:
        entry = server.entry
        try:
            with eventlet.Timeout(PROBE_LIMIT_S, False):
                self._ask(server, health_path)
        except (*CONNECTION_ERRORS, AttemptFailed, CallRefused, AnswerCut) as error:
            self._take_failure(server, error)
        finally:
            del self._under_way[entry.server_id]

    def _take_failure(self, server: ServerRecord, error: Exception) -> None:
        now_s = monotonic_s()
        end = error.end if isinstance(error, AttemptFailed) else None
        if end is AttemptEnd.CONNECTION_LIMIT:
            # It is this instance that has no connection left for a request either.
            server.record_refusal(now_s, NO_CONNECTION_REST_S)
            return
        server.record_attempt(True, now_s)
        server.record_probe_failure(now_s)

    def _ask(self, server: ServerRecord, health_path: str) -> None:
        entry = server.entry
        connection = self._pool.acquire(entry.address, is_idempotent=True)
        is_reusable = False
        try:
            if not connection.is_open:
                connection.open(CONNECT_TIMEOUT_S)
            lines = f"GET {health_path} HTTP/1.1\r\nHost: {entry.address}\r\n\r\n"
            connection.send(lines.encode("latin-1"))
            head = connection.read_head()
            answer = read_answer(head, connection.reader, "GET", ANSWER_LIMIT_BYTES)
            is_reusable = answer.is_whole and answer.keeps_connection
        finally:
            self._pool.put_back(connection, is_reusable)
        if self._dialect.server_id(head.fields) not in (None, entry.server_id):
            # Its address has been given to another server.
            server.record_probe_failure(monotonic_s())
            return
        report = self._dialect.load_report(head.fields, monotonic_s())
        if report is not None:
            server.record_report(report)
