"""What the headers of a backend server's answers say about sending to it."""

from berylhaven.clock import monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway._dialect import Dialect
from berylhaven.gateway.servers._server_limits import ServerLimits
from berylhaven.gateway.servers._server_record import ServerRecord
from berylhaven.http1 import (
    RETRY_AFTER,
    ConnectionPool,
    HeadFields,
    parse_retry_after_s,
)

HTTP_STATUS_UNAVAILABLE = 503


class ServerSignals:
    """Records load reports, announced leaving and requested pauses of servers.

    Parameters
    ----------
    dialect : Dialect
        The header names of the deployment.
    pool : ConnectionPool
        The connections; idle ones to a leaving server are closed.
    limits : ServerLimits
        Records the limits that servers name.
    event_log : EventLog
        Receives a line for each server that is leaving or wants a pause.
    """

    __slots__ = ("_dialect", "_pool", "_limits", "_event_log")

    def __init__(
        self,
        dialect: Dialect,
        pool: ConnectionPool,
        limits: ServerLimits,
        event_log: EventLog,
    ) -> None:
        self._limits = limits
        self._dialect = dialect
        self._pool = pool
        self._event_log = event_log

    def record(
        self,
        server: ServerRecord,
        status: int,
        fields: HeadFields,
        is_probe: bool = False,
    ) -> bool:
        """Record the headers of an answer to a request or probe.

        Parameters
        ----------
        server : ServerRecord
            The server that the request was sent to.
        status : int
            The status of the answer.
        fields : HeadFields
            The headers of the answer.
        is_probe : bool
            Whether it is the answer to a probe.

        Returns
        -------
        bool
            False if another server answered, to which the address was reassigned;
            nothing is recorded then.
        """
        if self._dialect.server_id(fields) not in (None, server.entry.server_id):
            return False
        now_s = monotonic_s()
        limit_text = self._dialect.request_limit(fields)
        self._limits.record(server, limit_text, is_probe, now_s)
        warmup_left_s = self._dialect.warmup_left_s(fields)
        if warmup_left_s is not None:
            server.record_warmup_left(warmup_left_s, now_s)
        report = self._dialect.load_report(fields, now_s)
        if report is not None:
            server.record_report(report)
        if self._dialect.is_server_leaving(fields) and server.record_leaving():
            self._pool.close_idle(server.entry.address)
            self._event_log.write(
                "fleet",
                "server leaving",
                server=server.entry.server_id,
                service=server.entry.service,
                address=server.entry.address,
                by="answer",
            )
        pause_text = fields.get(RETRY_AFTER)
        if status == HTTP_STATUS_UNAVAILABLE and pause_text is not None:
            self._record_pause(server, pause_text, now_s)
        return True

    def _record_pause(self, server: ServerRecord, text: str, now_s: float) -> None:
        duration_s = parse_retry_after_s(text)
        if duration_s is None:
            self._event_log.write_failure(
                "fleet",
                "retry-after unreadable",
                server=server.entry.server_id,
                value=text[:100],
            )
            return
        server.record_quiet(now_s, duration_s)
        self._event_log.write(
            "fleet",
            "server wants a pause",
            server=server.entry.server_id,
            service=server.entry.service,
            duration_s=duration_s,
        )
