"""Holds requests under which servers end, by the evidence of all instances."""

from collections.abc import Callable

import eventlet

from berylhaven.attempts import AttemptEnd
from berylhaven.clock import monotonic_s, wall_clock_ms
from berylhaven.event_log import EventLog
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway.callers._request import GatewayRequest
from berylhaven.gateway.members._evidence_codec import TEXT_LIMIT
from berylhaven.gateway.members._evidence_spread import EvidenceSpread
from berylhaven.gateway.members._members import MemberTable
from berylhaven.gateway.servers._server_end_check import ServerEndCheck
from berylhaven.gateway.servers._server_record import ServerEntry, ServerRecord
from berylhaven.quarantine import CrashEvidence, Hold, Strike, Trials

# Ends of attempts after which the server is checked: a connection broke while the
# request was there.
BROKEN_ENDS = frozenset(
    {
        AttemptEnd.BROKEN_WHILE_SENDING,
        AttemptEnd.BROKEN_BEFORE_HEAD,
        AttemptEnd.CUT_BEFORE_BODY,
    }
)
HTTP_STATUS_SERVER_ERROR = 500


class RequestQuarantine:
    """Collects evidence from attempts, and tells which requests are held.

    Parameters
    ----------
    evidence : CrashEvidence
        The evidence of all instances.
    spread : EvidenceSpread
        Tells news to the other instances.
    check : ServerEndCheck
        Finds out whether a server has ended.
    event_log : EventLog
        Receives a line for each server that ended under a request.
    members : MemberTable
        The membership table.
    metrics : GatewayMetrics
        Counts strikes and refusals.
    """

    __slots__ = (
        "_members",
        "_trials",
        "_evidence",
        "_spread",
        "_check",
        "_event_log",
        "_strikes",
        "_refusals",
        "_held",
    )

    def __init__(
        self,
        evidence: CrashEvidence,
        spread: EvidenceSpread,
        check: ServerEndCheck,
        event_log: EventLog,
        members: MemberTable,
        metrics: GatewayMetrics,
    ) -> None:
        self._members = members
        self._trials = Trials()
        self._evidence = evidence
        self._spread = spread
        self._check = check
        self._event_log = event_log
        self._strikes = metrics.counter(
            "server_ends_under_requests_total",
            "Requests that were at a server when it ended, by service.",
        )
        self._refusals = metrics.counter(
            "quarantine_refusals_total",
            "Requests that were refused because servers end under them, by service.",
        )
        self._held = metrics.gauge(
            "quarantined_requests", "Requests that are held, by fingerprint."
        )
        metrics.add_refresher(self._refresh)

    def admit(self, request: GatewayRequest) -> Hold | None:
        """Return the hold of a request, or None if it may be sent now.

        Parameters
        ----------
        request : GatewayRequest
            The request.

        Returns
        -------
        Hold or None
            None also if this instance is to try a held request.
        """
        now_s = monotonic_s()
        hold = self._evidence.hold(request.fingerprint, now_s)
        if hold is None or not self._try_start(request.fingerprint, hold, now_s):
            return hold
        self._event_log.write_failure(
            "quarantine",
            "held request tried",
            request=request.request_id,
            fingerprint=request.fingerprint,
            ended_servers=hold.run_count,
            age_s=hold.age_s,
        )
        request.is_trial = True
        return None

    def record_unsent(self, request: GatewayRequest) -> None:
        """Record that a request reached no server; a trial may then be repeated."""
        if request.is_trial:
            self._trials.withdraw(request.fingerprint)

    def _try_start(self, fingerprint: str, hold: Hold, now_s: float) -> bool:
        own = self._members.own
        ready = [member.peers_address for member in self._members.ready(now_s)]
        return self._trials.try_start(
            fingerprint, hold, own.peers_address, ready, now_s
        )

    def is_held(self, request: GatewayRequest) -> bool:
        """Return whether a request gets no further attempt."""
        return self._evidence.hold(request.fingerprint, monotonic_s()) is not None

    def is_suspect(self, request: GatewayRequest) -> bool:
        """Return whether a server has ended under a request."""
        return self._evidence.is_suspect(request.fingerprint)

    def has_run(self, request: GatewayRequest) -> bool:
        """Return whether a request with this very id was at a server that ended."""
        return self._evidence.has_run(request.fingerprint, _short_id(request))

    def record_refusal(self, service: str) -> None:
        """Count a request that was refused because it is held."""
        self._refusals.inc({"service": service})

    def record_answer(self, request: GatewayRequest, status: int) -> None:
        """Record a complete answer of a server.

        Parameters
        ----------
        request : GatewayRequest
            The request.
        status : int
            The status of the answer. A server error does not clear the request.
        """
        if status < HTTP_STATUS_SERVER_ERROR:
            now_s = monotonic_s()
            news = self._evidence.record_answer(request.fingerprint, now_s)
            self._spread.push(news, now_s)

    def record_failure(
        self,
        request: GatewayRequest,
        server: ServerRecord,
        end: AttemptEnd,
        health_path: str,
        on_server_ended: Callable[[ServerEntry], None],
    ) -> None:
        """Check the server after a failed attempt if its connection broke.

        Parameters
        ----------
        request : GatewayRequest
            The request.
        server : ServerRecord
            The server.
        end : AttemptEnd
            The end of the attempt.
        health_path : str
            The path of the server's health check.
        on_server_ended : callable
            Called with the server's entry if it has ended.
        """
        # A server that is leaving is expected to end.
        if end in BROKEN_ENDS and not server.is_leaving:
            eventlet.spawn(
                self._record_broken,
                request,
                server.entry,
                monotonic_s(),
                wall_clock_ms(),
                health_path,
                on_server_ended,
            )

    def _record_broken(
        self,
        request: GatewayRequest,
        entry: ServerEntry,
        broken_at_s: float,
        broken_at_ms: int,
        health_path: str,
        on_server_ended: Callable[[ServerEntry], None],
    ) -> None:
        if not self._check.has_ended(entry, health_path):
            return
        on_server_ended(entry)
        run = f"{entry.server_id}/{entry.started_at_ms}"[:TEXT_LIMIT]
        strike = Strike(request.fingerprint, run, _short_id(request), broken_at_ms)
        news = self._evidence.merge(strike, broken_at_s)
        self._spread.push(news, broken_at_s)
        self._strikes.inc({"service": entry.service})
        hold = self._evidence.hold(request.fingerprint, monotonic_s())
        self._event_log.write_failure(
            "quarantine",
            "server ended under request",
            request=request.request_id,
            fingerprint=request.fingerprint,
            caller=request.caller_host,
            server=entry.server_id,
            service=entry.service,
            is_counted=strike in news,
            ended_servers=hold.run_count if hold else None,
            held_s=hold.remaining_s if hold else None,
        )

    def _refresh(self) -> None:
        self._held.set({}, self._evidence.held_count(monotonic_s()))


def _short_id(request: GatewayRequest) -> str:
    return request.request_id[:TEXT_LIMIT]
