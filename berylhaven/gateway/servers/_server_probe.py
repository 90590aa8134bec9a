"""Queries the load of backend servers just before one of them is chosen."""

from collections.abc import Iterable

import eventlet

from berylhaven.attempts import AttemptEnd, AttemptFailed
from berylhaven.clock import monotonic_s
from berylhaven.gateway._dialect import Dialect
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway.servers._evacuations import Evacuations
from berylhaven.gateway.servers._reach_monitor import ReachMonitor
from berylhaven.gateway.servers._server_exchange import CONNECT_TIMEOUT_S
from berylhaven.gateway.servers._server_record import ServerRecord
from berylhaven.gateway.servers._server_signals import ServerSignals
from berylhaven.http1 import (
    CONNECTION_ERRORS,
    SKIPPED_ANSWERS_LIMIT,
    AnswerBodyError,
    AnswerFramingError,
    AnswerHead,
    AnswerMatch,
    ConnectionPool,
    NoAnswerLength,
    UpstreamConnection,
    match_answer,
    read_answer,
)
from berylhaven.results import CallRefused

# Servers answer a probe immediately, so this covers a round trip within a region.
PROBE_TIMEOUT_S = 0.015
# A server with a load report of at most this age is not probed.
FRESH_REPORT_S = 0.02
# The time after which an unanswered probe is cancelled and its connection dropped.
PROBE_CONNECTION_TIMEOUT_S = 0.25
ANSWER_LIMIT_BYTES = 4_096
# How much of the answers to others a probe reads before its own. A second copy of an
# ordinary answer passes, and its server is not taken for a failed one.
SKIPPED_LIMIT_BYTES = 65_536
# How long a server is skipped if all of this instance's connections to it are busy.
NO_CONNECTION_BACKOFF_S = 0.02
# The reason of cut answers to probes in the metrics.
CUT_PROBE_ANSWER = "probe"
# Passes of the event loop within which an answer that has arrived is read completely.
PENDING_READ_PASSES = 3


class ServerProber:
    """Probes servers over the connections that also carry requests.

    Parameters
    ----------
    pool : ConnectionPool
        The connections to backend servers.
    dialect : Dialect
        The header names of the deployment.
    signals : ServerSignals
        Records the headers of answers.
    metrics : GatewayMetrics
        Counts the probes.
    reach : ReachMonitor
        Records which servers answer.
    evacuations : Evacuations
        Tells whether a server may be probed.
    """

    __slots__ = (
        "_pool",
        "_dialect",
        "_signals",
        "_metrics",
        "_reach",
        "_evacuations",
        "_running_probes",
    )

    def __init__(
        self,
        pool: ConnectionPool,
        dialect: Dialect,
        signals: ServerSignals,
        metrics: GatewayMetrics,
        reach: ReachMonitor,
        evacuations: Evacuations,
    ) -> None:
        self._evacuations = evacuations
        self._reach = reach
        self._metrics = metrics
        self._pool = pool
        self._dialect = dialect
        self._signals = signals
        # Running probes by server id; concurrent requests share them.
        self._running_probes: dict[str, eventlet.greenthread.GreenThread] = {}

    def refresh(self, servers: Iterable[ServerRecord], health_path: str) -> None:
        """Probe the servers and wait for their load reports, up to a time limit.

        Parameters
        ----------
        servers : iterable of ServerRecord
            The servers to probe; those with a fresh report are skipped.
        health_path : str
            The path of the health check, whose answer has a load report.
        """
        now_s = monotonic_s()
        probed = [
            server
            for server in servers
            if server.reports_load and server.report_age_s(now_s) > FRESH_REPORT_S
        ]
        threads = [self._start(server, health_path) for server in probed]
        with eventlet.Timeout(PROBE_TIMEOUT_S, False):
            for wait in threads:
                wait.wait()
        self._mark_unresponsive(probed)
        unresponsive_count = sum(server.is_unresponsive for server in probed)
        self._metrics.record_probes(
            len(probed) - unresponsive_count, unresponsive_count
        )

    def check(self, servers: Iterable[ServerRecord], health_path: str) -> None:
        """Probe servers to find out whether they answer, also without load reports.

        Parameters
        ----------
        servers : iterable of ServerRecord
            The servers.
        health_path : str
            The path of the health check.
        """
        for thread in [self._start(server, health_path) for server in servers]:
            thread.wait()

    def _mark_unresponsive(self, probed: list[ServerRecord]) -> None:
        """Mark the servers whose probes are still unanswered as unresponsive."""
        if all(server.entry.server_id not in self._running_probes for server in probed):
            return
        # After a pause of this process the timer fires before answers that arrived
        # meanwhile are read.
        for _ in range(PENDING_READ_PASSES):
            eventlet.sleep(0)
        now_s = monotonic_s()
        for server in probed:
            if server.entry.server_id in self._running_probes:
                server.record_probe_failure(now_s)

    def _start(
        self, server: ServerRecord, health_path: str
    ) -> eventlet.greenthread.GreenThread:
        server_id = server.entry.server_id
        thread = self._running_probes.get(server_id)
        if thread is None:
            thread = eventlet.spawn(self._probe, server, health_path)
            self._running_probes[server_id] = thread
        return thread

    def _probe(self, server: ServerRecord, health_path: str) -> None:
        entry = server.entry
        is_answered = False
        try:
            with eventlet.Timeout(PROBE_CONNECTION_TIMEOUT_S, False):
                self._query(server, health_path)
                is_answered = True
            if not is_answered:
                self._reach.record_silence(entry.service, entry.server_id)
        except (
            *CONNECTION_ERRORS,
            AttemptFailed,
            CallRefused,
            AnswerBodyError,
        ) as error:
            self._record_failure(server, error)
        finally:
            del self._running_probes[entry.server_id]
            if is_answered:
                self._reach.record_answer(entry.service, entry.server_id)

    def _record_failure(self, server: ServerRecord, error: Exception) -> None:
        now_s = monotonic_s()
        end = error.end if isinstance(error, AttemptFailed) else None
        if end in (AttemptEnd.SERVER_EVACUATED, AttemptEnd.INSTANCE_STOPS):
            return
        if end is AttemptEnd.CONNECTION_LIMIT:
            # This instance reached its limit and has no connection for requests either.
            server.record_refusal(now_s, NO_CONNECTION_BACKOFF_S)
            return
        if end is AttemptEnd.ANSWER_TOO_LARGE or isinstance(error, AnswerFramingError):
            self._metrics.record_cut_answer(server.entry.service, CUT_PROBE_ANSWER)
        if end is AttemptEnd.NOT_CONNECTED or isinstance(error, CONNECTION_ERRORS):
            self._reach.record_silence(server.entry.service, server.entry.server_id)
        server.record_attempt(True, now_s)
        server.record_probe_failure(now_s)

    def _query(self, server: ServerRecord, health_path: str) -> None:
        entry = server.entry
        self._evacuations.check_sending(entry.server_id, entry.data_centre)
        connection = self._pool.acquire(entry.address, is_idempotent=True)
        is_reusable = False
        try:
            if not connection.is_open:
                connection.open(CONNECT_TIMEOUT_S)
            self._evacuations.check_sending(entry.server_id, entry.data_centre)
            lines = f"GET {health_path} HTTP/1.1\r\nHost: {entry.address}\r\n\r\n"
            connection.send(lines.encode("latin-1"))
            head, is_free = self._read(connection, entry.server_id)
            is_reusable = is_free and not self._evacuations.is_evacuated(
                entry.data_centre
            )
        finally:
            self._pool.release(connection, is_reusable)
        is_own_answer = self._signals.record(
            server, head.status, head.fields, is_probe=True
        )
        if not is_own_answer:
            # The address has been reassigned to another server.
            server.record_probe_failure(monotonic_s())

    def _read(
        self, connection: UpstreamConnection, server_id: str
    ) -> tuple[AnswerHead, bool]:
        """Return the head of the answer to a probe, and whether the connection is free.

        Probes have no id, so an answer that names a request is not theirs: it is a
        second copy, and the answer to the probe is still due. Any answer without an id
        is taken for it, since requests on the connection check the ids themselves. Of
        its body one piece is read, of the answers to others a limited size.
        """
        left_bytes = SKIPPED_LIMIT_BYTES
        for _ in range(SKIPPED_ANSWERS_LIMIT):
            head = connection.read_head()
            match = match_answer(
                self._dialect.request_id(head.fields),
                None,
                is_first_answer=connection.answer_count == 1,
            )
            try:
                answer = read_answer(head, connection.reader, "GET", ANSWER_LIMIT_BYTES)
            except NoAnswerLength:
                # The end of the connection ends the answer; its head is enough.
                answer = None
            if match is not AnswerMatch.OTHER_REQUEST:
                is_free = answer is not None and answer.is_complete
                return head, is_free and head.keeps_connection
            self._metrics.record_foreign_answers(match, 1)
            if answer is None or not head.keeps_connection:
                break
            left_bytes -= len(answer.first_piece)
            while not answer.is_complete and left_bytes >= 0:
                left_bytes -= len(answer.body_reader.read1(ANSWER_LIMIT_BYTES))
            if left_bytes < 0:
                raise AttemptFailed(
                    AttemptEnd.ANSWER_TOO_LARGE,
                    f'server "{server_id}" sent more than {SKIPPED_LIMIT_BYTES} bytes '
                    "to others before its answer to a probe",
                )
        raise AttemptFailed(
            AttemptEnd.FOREIGN_ANSWER,
            f'server "{server_id}" answered a probe with the answer to a request',
        )
