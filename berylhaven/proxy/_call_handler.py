"""Passing one call to a backend server."""

import random

from berylhaven.admission import AdmissionGate, AdmissionTicket, connection_part
from berylhaven.backend import LOAD_HEADER, is_failure, is_shed, read_load_header
from berylhaven.calls import AttemptEnd, AttemptFailed
from berylhaven.catalogue import Catalogue
from berylhaven.clock import monotonic_s
from berylhaven.load import LoadTable, ServerLoad
from berylhaven.operations import CallMetrics, DecisionLog, PlacementDecision
from berylhaven.proxy._call_answer import CallAnswer, outcome_headers
from berylhaven.proxy._call_request import CallRequest
from berylhaven.proxy._hop_headers import end_to_end
from berylhaven.proxy._relay import relay_body
from berylhaven.proxy._upstream_answer import UpstreamAnswer
from berylhaven.proxy._upstream_caller import UpstreamCaller, UpstreamExchange
from berylhaven.results import (
    Answered,
    CallRefused,
    NoBackendServer,
    NoBackendServerInTime,
    Outcome,
)
from berylhaven.routing import RoutingDecision, RoutingRequest, choose
from berylhaven.settings import Settings

RETRY_AFTER_S = 1.0
# The load header concerns this program; callers get the rest.
DROPPED_ANSWER_HEADERS = frozenset({LOAD_HEADER})

# These ends tell nothing of the backend server.
ENDS_WITHOUT_BLAME = frozenset(
    {
        AttemptEnd.CALLER_BODY_CUT,
        AttemptEnd.CALLER_BODY_TOO_LARGE,
        AttemptEnd.CALLER_TOO_SLOW,
        AttemptEnd.CALLER_GONE,
        AttemptEnd.CONNECTION_LIMIT,
        AttemptEnd.DEADLINE_BEFORE_SENDING,
    }
)
# These ends came after a wait, whose length tells whether the server is to blame.
ENDS_BY_LATENESS = frozenset({AttemptEnd.DEADLINE_BEFORE_HEAD, AttemptEnd.SILENT})


class CallHandler:
    """Admits a call, chooses a backend server and relays the answer.

    Parameters
    ----------
    settings : Settings
        The process's settings.
    gate : AdmissionGate
        The limits.
    load_table : LoadTable
        The load records, told of each call.
    decision_log : DecisionLog
        Gets a line for each decision.
    metrics : CallMetrics
        Counts the calls' ends.
    """

    __slots__ = (
        "_settings",
        "_gate",
        "_load_table",
        "_decision_log",
        "_metrics",
        "_connection_limits",
        "_upstreams",
        "_random",
    )

    def __init__(
        self,
        settings: Settings,
        gate: AdmissionGate,
        load_table: LoadTable,
        decision_log: DecisionLog,
        metrics: CallMetrics,
    ) -> None:
        self._settings = settings
        self._gate = gate
        self._load_table = load_table
        self._decision_log = decision_log
        self._metrics = metrics
        self._connection_limits: dict[str, int] = {}
        self._upstreams = UpstreamCaller(
            settings.proxy, self._connection_limits.__getitem__
        )
        self._random = random.Random()

    def handle(self, catalogue: Catalogue, request: CallRequest) -> CallAnswer:
        """Run one call.

        Parameters
        ----------
        catalogue : Catalogue
            The catalogue in force.
        request : CallRequest
            The call.

        Returns
        -------
        CallAnswer
            The backend server's answer, its body streamed.

        Raises
        ------
        CallRefused
            If the call ends without a backend server's answer.
        """
        started_at_s = monotonic_s()
        ticket = self._gate.admit(
            catalogue, request.service, started_at_s, request.deadline_s
        )
        answer = None
        try:
            answer = self._try_once(catalogue, request, ticket)
        except CallRefused as refusal:
            self._metrics.call_ended(request.service.name, refusal.code, started_at_s)
            raise
        finally:
            if answer is None:
                ticket.release()
        self._metrics.call_ended(request.service.name, Answered.code, started_at_s)
        return answer

    def _try_once(
        self, catalogue: Catalogue, request: CallRequest, ticket: AdmissionTicket
    ) -> CallAnswer:
        server = self._choose(request)
        # A caller that awaits a sign to send gets it now that its call has a place.
        request.body.read_first(self._settings.proxy.chunk_bytes)
        self._connection_limits[server.address] = connection_part(
            request.service, catalogue.fleet
        )
        try:
            exchange = self._attempt(server, request)
        except AttemptFailed as failure:
            judgement = failure.judgement
            raise judgement.refusal(
                failure.message, RETRY_AFTER_S, judgement.outcome
            ) from failure
        upstream = exchange.answer

        def end_call(is_reusable: bool) -> None:
            """Give back what the call held."""
            ticket.release()
            exchange.end(is_reusable)

        return CallAnswer(
            f"{upstream.status} {upstream.reason}",
            self._answer_headers(upstream),
            relay_body(
                upstream,
                self._settings.proxy.chunk_bytes,
                request.deadline_s,
                end_call,
            ),
        )

    def _attempt(self, server: ServerLoad, request: CallRequest) -> UpstreamExchange:
        server.call_started()
        sent_at_s = monotonic_s()
        try:
            exchange = self._upstreams.attempt(server.address, request)
        except AttemptFailed as failure:
            now_s = monotonic_s()
            if failure.end in ENDS_WITHOUT_BLAME:
                server.call_cancelled()
            elif failure.end in ENDS_BY_LATENESS:
                server.call_timed_out(now_s - sent_at_s, now_s)
            else:
                server.call_failed(now_s)
            raise
        now_s = monotonic_s()
        answer = exchange.answer
        report = read_load_header(answer.message.get(LOAD_HEADER), now_s)
        if is_shed(answer.status, answer.message):
            exchange.end(answer.is_whole and answer.keeps_connection)
            server.call_shed(now_s, report)
            raise AttemptFailed(AttemptEnd.SHED, "the backend server is full")
        if is_failure(answer.status):
            server.call_failed(now_s, report)
        else:
            server.call_answered(now_s - sent_at_s, report, now_s)
        return exchange

    def _choose(self, request: CallRequest) -> ServerLoad:
        now_s = monotonic_s()
        routing_request = RoutingRequest(
            now_s=now_s,
            deadline_s=request.deadline_s,
            data_centre=self._settings.instance.data_centre,
            random=self._random,
        )
        candidates = self._load_table.candidates(request.service.name)
        decision = choose(request.service.routing_policy, routing_request, candidates)
        self._log_decision(request, decision)
        if decision.server is not None:
            return decision.server
        if not candidates:
            message = f"service {request.service.name} has no backend server"
            raise NoBackendServer(message, RETRY_AFTER_S)
        raise NoBackendServerInTime("all backend servers are too busy", RETRY_AFTER_S)

    def _log_decision(self, request: CallRequest, decision: RoutingDecision) -> None:
        self._decision_log.write(
            PlacementDecision(
                call_id=request.call_id,
                service=request.service.name,
                policy=request.service.routing_policy,
                chosen=decision.server.address if decision.server else None,
                candidate_count=decision.candidate_count,
                news_age_s=decision.news_age_s,
                estimated_finish_s=decision.estimated_finish_s,
            )
        )

    def _answer_headers(self, upstream: UpstreamAnswer) -> list[tuple[str, str]]:
        kept = end_to_end(upstream.headers, DROPPED_ANSWER_HEADERS)
        return kept + outcome_headers(Answered.code, Outcome.RUN)
