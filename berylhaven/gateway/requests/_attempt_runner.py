"""Runs one attempt of a request: chooses a server, sends, records the result."""

import dataclasses
from dataclasses import dataclass
from random import Random

from berylhaven.attempts import AttemptEnd, AttemptFailed
from berylhaven.clock import monotonic_s, sleep_s
from berylhaven.event_log import EventLog
from berylhaven.gateway._dialect import Dialect
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway.callers._drain import Drain, DrainRefusal
from berylhaven.gateway.callers._held_bytes import HeldBytes
from berylhaven.gateway.callers._request import GatewayRequest
from berylhaven.gateway.requests._request_quarantine import RequestQuarantine
from berylhaven.gateway.requests._sent_request import SentRequest
from berylhaven.gateway.requests._server_uploads import (
    CHOICES_LIMIT,
    UPLOADS_RETRY_AFTER_S,
    ServerUploads,
)
from berylhaven.gateway.servers._evacuations import Evacuations
from berylhaven.gateway.servers._reach_monitor import ReachMonitor
from berylhaven.gateway.servers._server_chooser import (
    Choice,
    ChoiceRequest,
    ServerChooser,
)
from berylhaven.gateway.servers._server_exchange import (
    AnswerCutOff,
    ServerAnswer,
    exchange,
)
from berylhaven.gateway.servers._server_record import ServerRecord
from berylhaven.gateway.servers._server_signals import ServerSignals
from berylhaven.http1 import AnswerMatch, ConnectionPool
from berylhaven.overload import (
    StartDecision,
    return_after_s,
    wait_step_s,
)
from berylhaven.results import Outcome

# Ends of attempts that don't count as failures of the backend server.
ENDS_UNRELATED_TO_SERVER = frozenset(
    {
        AttemptEnd.BODY_TAKEN,
        AttemptEnd.CALLER_BODY_CUT,
        AttemptEnd.CALLER_BODY_TOO_LARGE,
        AttemptEnd.CALLER_TOO_SLOW,
        AttemptEnd.CONNECTION_LIMIT,
        AttemptEnd.DEADLINE_BEFORE_SENDING,
        AttemptEnd.INSTANCE_STOPS,
        AttemptEnd.SERVER_EVACUATED,
    }
)
# Ends of attempts at a server that did not answer at all.
SILENT_ENDS = frozenset(
    {
        AttemptEnd.NOT_CONNECTED,
        AttemptEnd.BROKEN_WHILE_SENDING,
        AttemptEnd.BROKEN_BEFORE_HEAD,
        AttemptEnd.DEADLINE_BEFORE_HEAD,
        AttemptEnd.UNRESPONSIVE,
    }
)
# How long a server that refused a request because it was full is skipped.
FULL_SERVER_BACKOFF_S = 0.05
HTTP_STATUS_SERVER_ERROR = 500


class NoServerAvailable(Exception):
    """No backend server is expected to answer in time.

    Parameters
    ----------
    message : str
        One sentence with the details.
    return_s : float
        The time after which the caller may come back, in seconds.
    """

    def __init__(self, message: str, return_s: float) -> None:
        super().__init__(message)
        self.message = message
        self.return_s = return_s


@dataclass(slots=True)
class AttemptResult:
    """A backend server's answer and the server that gave it."""

    # The server that answered; None if another instance passed the answer on.
    server: ServerRecord | None
    # The answer.
    answer: ServerAnswer


class AttemptRunner:
    """Sends attempts and records their results.

    Parameters
    ----------
    chooser : ServerChooser
        Chooses the backend servers.
    pool : ConnectionPool
        The connections to backend servers.
    dialect : Dialect
        The header names of the deployment.
    signals : ServerSignals
        Records the headers of answers.
    random : random.Random
        The source of random numbers.
    event_log : EventLog
        Receives a line for each choice and each attempt.
    metrics : GatewayMetrics
        Counts the attempts.
    quarantine : RequestQuarantine
        Records the attempts that ended with their server.
    reach : ReachMonitor
        Records which servers answer.
    evacuations : Evacuations
        Tells whether a server may be sent a request.
    memory : HeldBytes
        The account of held bytes.
    drain : Drain
        Tells which requests may still be sent.
    """

    __slots__ = (
        "_drain",
        "_evacuations",
        "_reach",
        "_quarantine",
        "_chooser",
        "_pool",
        "_dialect",
        "_signals",
        "_random",
        "_event_log",
        "_metrics",
        "_memory",
        "_uploads",
    )

    def __init__(
        self,
        chooser: ServerChooser,
        pool: ConnectionPool,
        dialect: Dialect,
        signals: ServerSignals,
        random: Random,
        event_log: EventLog,
        metrics: GatewayMetrics,
        quarantine: RequestQuarantine,
        reach: ReachMonitor,
        evacuations: Evacuations,
        memory: HeldBytes,
        drain: Drain,
    ) -> None:
        self._drain = drain
        self._evacuations = evacuations
        self._reach = reach
        self._quarantine = quarantine
        self._chooser = chooser
        self._pool = pool
        self._dialect = dialect
        self._signals = signals
        self._random = random
        self._event_log = event_log
        self._metrics = metrics
        self._memory = memory
        self._uploads = ServerUploads(event_log)

    def choose(
        self, request: GatewayRequest, choice_request: ChoiceRequest
    ) -> ServerRecord:
        """Return the server for an attempt, after a wait for a slot if necessary.

        Parameters
        ----------
        request : GatewayRequest
            The caller's request.
        choice_request : ChoiceRequest
            The input of the choice.

        Returns
        -------
        ServerRecord
            The chosen server.

        Raises
        ------
        NoServerAvailable
            If no server is expected to answer in time.
        """
        choice = self._choose_bearing(request, choice_request)
        server = choice.server
        self._event_log.write(
            "placement",
            "server chosen" if server else "no server chosen",
            request=request.request_id,
            route=choice_request.route.name,
            service=choice_request.service.name,
            server=server.entry.server_id if server else None,
            data_centre=server.entry.data_centre if server else None,
            candidates=choice.candidate_count,
            compared=choice.compared_count,
            finish_s=choice.finish_s,
            slowdown=choice_request.work.crowding.slowdown_ratio,
            report_age_s=choice.report_age_s,
            occupied=server.occupied_count if server else None,
            tried=len(choice_request.excluded),
        )
        if server is None:
            problem = "accepts requests now" if choice.quiet_s else "can answer in time"
            message = (
                f'service "{choice_request.service.name}": none of '
                f"{choice.candidate_count} servers {problem}"
            )
            return_s = choice.quiet_s or return_after_s(
                choice.finish_s, choice.concurrency, self._random.random()
            )
            raise NoServerAvailable(message, return_s)
        return server

    def _choose_bearing(
        self, request: GatewayRequest, choice_request: ChoiceRequest
    ) -> Choice:
        """Choose a server that bears the upload beside those it holds from here."""
        for _ in range(CHOICES_LIMIT):
            choice = self._choose_after_wait(choice_request)
            server = choice.server
            if server is None or self._uploads.admits(request, server):
                return choice
            excluded = choice_request.excluded | {server.entry.server_id}
            choice_request = dataclasses.replace(choice_request, excluded=excluded)
        service = choice_request.service.name
        raise NoServerAvailable(
            f'service "{service}": the servers hold as many uploads of this instance '
            f"as they are known to bear ({self._uploads.limit_bytes(service)} bytes)",
            UPLOADS_RETRY_AFTER_S,
        )

    def _choose_after_wait(self, choice_request: ChoiceRequest) -> Choice:
        began_at_s = monotonic_s()
        choice = self._chooser.choose(choice_request)
        while choice.decision is StartDecision.WAIT:
            limit_s = choice_request.wait_limit_s
            sleep_s(wait_step_s(limit_s, self._random.random()))
            choice_request = dataclasses.replace(
                choice_request, waited_s=monotonic_s() - began_at_s
            )
            choice = self._chooser.choose(choice_request)
        return choice

    def send(
        self,
        request: GatewayRequest,
        choice_request: ChoiceRequest,
        server: ServerRecord,
    ) -> AttemptResult:
        """Send a request to a server and return its answer.

        Parameters
        ----------
        request : GatewayRequest
            The caller's request.
        choice_request : ChoiceRequest
            The request for which the server was chosen.
        server : ServerRecord
            The chosen server.

        Returns
        -------
        AttemptResult
            The server and its answer, which doesn't state that the request did not run.

        Raises
        ------
        AttemptFailed
            With the stage at which the attempt ended.
        """
        entry = server.entry

        def check_sending() -> None:
            """Raise AttemptFailed if the server must not be sent the request."""
            self._evacuations.check_sending(entry.server_id, entry.data_centre)
            self._check_drain(choice_request.deadline_s)

        if not self._uploads.admits(request, server):
            # Another upload took the room since the choice.
            raise AttemptFailed(
                AttemptEnd.CONNECTION_LIMIT,
                f'server "{server.entry.server_id}" holds as many uploads of this '
                "instance as it is known to bear",
            )
        sent = SentRequest(server, choice_request.work)
        connection = self._pool.acquire(
            server.entry.address,
            choice_request.route.is_idempotent,
            # Without an id only the first answer on a connection is surely its own.
            requires_new_connection=not request.request_id,
            request_id=request.request_id,
        )
        server.in_flight_count += 1
        self._uploads.add(request, server)
        answer = None
        try:
            answer = exchange(
                connection,
                request,
                self._dialect,
                server.entry.server_id,
                choice_request.deadline_s,
                self._memory,
                check_sending,
            )
        except AttemptFailed as failure:
            self._record_failure(request, server, failure, sent.sent_at_s)
            self._quarantine.record_failure(
                request,
                server,
                failure.end,
                choice_request.service.health_path,
                self._uploads.crash_recorder(server),
            )
            raise
        finally:
            server.in_flight_count -= 1
            is_reusable = (
                answer is not None
                and answer.is_reusable
                and not self._evacuations.is_evacuated(entry.data_centre)
            )
            self._uploads.remove(request, server, answer is not None)
            self._pool.release(connection, is_reusable)
        duration_s = monotonic_s() - sent.sent_at_s
        self._metrics.record_foreign_answers(
            AnswerMatch.OTHER_REQUEST, answer.skipped_count
        )
        self._record_answer(request, server, answer, duration_s)
        self._metrics.record_attempt(server.entry.service, "answered", duration_s)
        sent.record_duration(duration_s, request.body.position + len(answer.body))
        self._event_log.write(
            "attempt",
            "answered",
            request=request.request_id,
            server=server.entry.server_id,
            status=answer.status,
            duration_s=duration_s,
            forecast_s=sent.expected_s,
            slowness=sent.slowness,
        )
        return AttemptResult(server, answer)

    def _check_drain(self, deadline_s: float) -> None:
        try:
            self._drain.check_sending(monotonic_s(), deadline_s)
        except DrainRefusal as refusal:
            raise AttemptFailed(AttemptEnd.INSTANCE_STOPS, refusal.message) from None

    def _record_answer(
        self,
        request: GatewayRequest,
        server: ServerRecord,
        answer: ServerAnswer,
        duration_s: float,
    ) -> None:
        now_s = monotonic_s()
        self._reach.record_answer(server.entry.service, server.entry.server_id)
        is_own_answer = self._signals.record(server, answer.status, answer.fields)
        if server.report is None and answer.status < HTTP_STATUS_SERVER_ERROR:
            server.reports_load = False
        if not self._dialect.is_not_executed(answer.status, answer.fields):
            server.record_attempt(answer.status >= HTTP_STATUS_SERVER_ERROR, now_s)
            self._quarantine.record_answer(request, answer.status)
            request.progress.record_received()
            return
        request.progress.record_not_run()
        if not is_own_answer:
            # The address has been reassigned to another server.
            server.record_probe_failure(now_s)
        server.record_refusal(now_s, FULL_SERVER_BACKOFF_S)
        end = AttemptEnd.SHED
        self._metrics.record_attempt(server.entry.service, end.value, duration_s)
        self._event_log.write_failure(
            "attempt",
            "server refused",
            request=request.request_id,
            server=server.entry.server_id,
            status=answer.status,
            occupied=server.occupied_count,
        )
        message = (
            f'server "{server.entry.server_id}" refused with status {answer.status}'
        )
        raise AttemptFailed(end, message)

    def _record_failure(
        self,
        request: GatewayRequest,
        server: ServerRecord,
        failure: AttemptFailed,
        sent_at_s: float,
    ) -> None:
        now_s = monotonic_s()
        duration_s = now_s - sent_at_s
        self._metrics.record_attempt(
            server.entry.service, failure.end.value, duration_s
        )
        if failure.end is AttemptEnd.UNPROVEN_ANSWER:
            self._metrics.record_foreign_answers(AnswerMatch.UNPROVEN, 1)
        if isinstance(failure, AnswerCutOff):
            self._record_cut_answer(server, failure)
        if failure.end not in ENDS_UNRELATED_TO_SERVER:
            server.record_attempt(True, now_s)
        if failure.end in SILENT_ENDS:
            self._reach.record_silence(server.entry.service, server.entry.server_id)
        self._event_log.write_failure(
            "attempt",
            "failed",
            request=request.request_id,
            server=server.entry.server_id,
            address=server.entry.address,
            end=failure.end.value,
            outcome=failure.classification.outcome.value,
            duration_s=duration_s,
            reason=failure.message,
        )

    def _record_cut_answer(self, server: ServerRecord, failure: AnswerCutOff) -> None:
        entry = server.entry
        self._metrics.record_cut_answer(entry.service, failure.end.value)
        self._event_log.write_failure(
            "attempt",
            "answer cut off",
            server=entry.server_id,
            address=entry.address,
            service=entry.service,
            kind=failure.end.value,
            received_bytes=failure.received_bytes,
        )


def may_have_run(failures: list[AttemptFailed]) -> bool:
    """Return whether a request may have run in one of its failed attempts.

    Parameters
    ----------
    failures : list of AttemptFailed
        The failures of the attempts.

    Returns
    -------
    bool
        False only if every failure proves that the request did not run.
    """
    return any(f.classification.outcome is not Outcome.NOT_RUN for f in failures)
