"""Forwards requests: finds the route, runs the attempts and returns the answer."""

import dataclasses
from collections.abc import Callable
from random import Random

from berylhaven.attempts import AttemptEnd, AttemptFailed
from berylhaven.clock import monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway._active_routes import ActiveRoutes
from berylhaven.gateway._dialect import Dialect
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway.callers._drain import Drain, DrainRefusal
from berylhaven.gateway.callers._held_bytes import HeldBytes, NoRoom
from berylhaven.gateway.callers._passed_on import ANSWERED, NOT_RUN, OUTCOME
from berylhaven.gateway.callers._request import (
    GatewayAnswer,
    GatewayRequest,
    error_answer,
)
from berylhaven.gateway.requests._attempt_coordinator import AttemptCoordinator
from berylhaven.gateway.requests._attempt_runner import AttemptRunner
from berylhaven.gateway.requests._hedger import Hedger
from berylhaven.gateway.requests._peer_forwarder import PeerForwarder
from berylhaven.gateway.requests._request_quarantine import RequestQuarantine
from berylhaven.gateway.requests._shared_retry_budget import (
    RetryAllowance,
    SharedRetryBudget,
)
from berylhaven.gateway.servers._finish_estimate import INITIAL_WORK_RATIO, RouteWork
from berylhaven.gateway.servers._reach_monitor import ReachMonitor
from berylhaven.gateway.servers._server_chooser import ChoiceRequest
from berylhaven.hedging import HedgeLimit
from berylhaven.http1 import end_to_end_headers
from berylhaven.overload import (
    INITIAL_DOWNLOAD_BYTES,
    Crowding,
    ExpectedSize,
    answer_kind,
    wait_limit_s,
)
from berylhaven.quarantine import Hold, request_fingerprint
from berylhaven.results import BodyTooLarge, CallRefused
from berylhaven.routes import RequestKind, Route, ServiceSpec, SplitChooser

# The Retry-After value while no configuration has been received.
NOT_READY_RETRY_AFTER_S = 0.3
# The Retry-After value of a route that could not be decoded: only a newer configuration
# makes it usable.
UNUSABLE_ROUTE_RETRY_AFTER_S = 2.0
# The least Retry-After value of a request that is held and may be tried elsewhere.
MIN_HELD_RETRY_AFTER_S = 1.0
# Bodies up to this size are read before a server is chosen, so that another attempt
# can send them again.
REPLAYABLE_BODY_LIMIT_BYTES = 1_000_000
# Statuses of error answers to requests that may have run.
UNKNOWN_STATUSES = frozenset({502, 504})
CONTENT_LENGTH = frozenset({"content-length"})


class Forwarder:
    """Answers requests by forwarding them to backend servers.

    Parameters
    ----------
    routes : ActiveRoutes
        The active configuration.
    runner : AttemptRunner
        Runs the attempts.
    dialect : Dialect
        The header names of the deployment.
    allowance : RetryAllowance
        The retries that all instances together may make.
    instance_count : callable
        Returns the number of instances that share the allowance.
    random : random.Random
        The source of random numbers.
    event_log : EventLog
        Receives a line for each answered or refused request.
    metrics : GatewayMetrics
        Counts the requests.
    quarantine : RequestQuarantine
        Tells which requests are not sent to servers.
    reach : ReachMonitor
        Tells which services this instance reaches.
    peers : PeerForwarder
        Passes requests for the others on.
    hedger : Hedger
        Decides on hedges.
    held : HeldBytes
        The account of held bytes.
    drain : Drain
        Tells which requests are still taken.
    """

    __slots__ = (
        "_reach",
        "_peers",
        "_hedger",
        "_quarantine",
        "_routes",
        "_runner",
        "_dialect",
        "_allowance",
        "_instance_count",
        "_splits",
        "_routes_version",
        "_budgets",
        "_work_by_route",
        "_crowding_by_service",
        "_event_log",
        "_metrics",
        "_held",
        "_drain",
        "_expected_sizes",
    )

    def __init__(
        self,
        routes: ActiveRoutes,
        runner: AttemptRunner,
        dialect: Dialect,
        allowance: RetryAllowance,
        instance_count: Callable[[], int],
        random: Random,
        event_log: EventLog,
        metrics: GatewayMetrics,
        quarantine: RequestQuarantine,
        reach: ReachMonitor,
        peers: PeerForwarder,
        hedger: Hedger,
        held: HeldBytes,
        drain: Drain,
    ) -> None:
        self._drain = drain
        self._hedger = hedger
        self._held = held
        # The sizes to expect of answers, by route and service.
        self._expected_sizes: dict[tuple[str, str], ExpectedSize] = {}
        self._reach = reach
        self._peers = peers
        self._quarantine = quarantine
        self._metrics = metrics
        self._routes = routes
        self._runner = runner
        self._dialect = dialect
        self._allowance = allowance
        self._instance_count = instance_count
        self._splits = SplitChooser(random)
        # The configuration version whose routes are kept.
        self._routes_version: int | None = None
        self._budgets: dict[str, SharedRetryBudget] = {}
        self._work_by_route: dict[tuple[str, str], RouteWork] = {}
        self._crowding_by_service: dict[str, Crowding] = {}
        self._event_log = event_log

    def update_allowance(self, allowance: RetryAllowance) -> None:
        """Replace the retry allowance; spent retries stay counted.

        Parameters
        ----------
        allowance : RetryAllowance
            The retries that all instances together may make.
        """
        self._allowance = allowance
        for budget in self._budgets.values():
            budget.allowance = allowance

    def update_hedge_limit(self, limit: HedgeLimit | None) -> None:
        """Replace the limit of hedges.

        Parameters
        ----------
        limit : HedgeLimit or None
            The limit that operators set, or None.
        """
        self._hedger.update_limit(limit)

    def answer(self, request: GatewayRequest) -> GatewayAnswer:
        """Return the final answer of a request.

        Parameters
        ----------
        request : GatewayRequest
            The caller's request.

        Returns
        -------
        GatewayAnswer
            A backend server's answer, or an error answer whose status reflects
            whether the request may have run.
        """
        if not self._routes.is_loaded:
            message = "no configuration has been received yet"
            return self._refuse(request, 503, message, NOT_READY_RETRY_AFTER_S)
        route = self._routes.table.find(request.host, request.path)
        if route is None:
            message = (
                f'host "{request.host[:100]}" has no route for "{request.path[:100]}"'
            )
            return self._refuse(request, 404, message)
        if route.unusable_reason:
            message = f'route "{route.name}" is unusable: {route.unusable_reason}'
            return self._refuse(request, 503, message, UNUSABLE_ROUTE_RETRY_AFTER_S)
        request.progress.due_at_s = request.due_at_s(route.timeout_s)
        self._discard_outdated_routes()
        service = self._routes.service(self._splits.choose(route))
        try:
            request.body.limit_bytes = self._routes.caller_limits.body_limit_bytes
            if (request.body.content_length or 0) > request.body.limit_bytes:
                raise BodyTooLarge(
                    f"the request body of {request.body.content_length} bytes exceeds "
                    f"the limit of {request.body.limit_bytes} bytes"
                )
            request.body.buffer_first_part(REPLAYABLE_BODY_LIMIT_BYTES)
        except CallRefused as refusal:
            return self._refuse(request, refusal.code.status, refusal.message)
        request.fingerprint = request_fingerprint(
            request.host,
            request.method,
            request.target,
            request.fields.get("authorization", ""),
            request.body.first_part,
            request.body.content_length,
        )
        hold = self._quarantine.admit(request)
        if hold is not None:
            return self._refuse_held(request, service, hold)
        try:
            # Its body may have come late.
            self._drain.check_intake(monotonic_s(), request.progress.due_at_s)
        except DrainRefusal as refusal:
            return self._refuse(request, 503, refusal.message, refusal.return_s)
        return self._send(request, route, service)

    def _refuse_held(
        self, request: GatewayRequest, service: ServiceSpec, hold: Hold
    ) -> GatewayAnswer:
        """Refuse a request under which servers end; it is not sent to any."""
        self._quarantine.record_refusal(service.name)
        message = (
            f"{hold.run_count} servers have ended while they ran this request "
            f"(fingerprint {request.fingerprint}), the last one {hold.age_s:.0f} s ago"
        )
        # A request that comes again with its id may have run.
        status = 502 if self._quarantine.has_run(request) else 503
        return_s = max(hold.remaining_s, MIN_HELD_RETRY_AFTER_S)
        return self._refuse(request, status, message, return_s)

    def _send(
        self, request: GatewayRequest, route: Route, service: ServiceSpec
    ) -> GatewayAnswer:
        now_s = monotonic_s()
        budget = self._budget(service.name)
        wait_s = wait_limit_s(route.latency_objective_s)
        if request.passed_on_attempt_limit is None:
            budget.record_request(now_s)
            self._hedger.record_request(service.name)
        else:
            # The instance that took it from the caller has counted it, and waits too.
            attempt_limit = min(route.attempt_limit, request.passed_on_attempt_limit)
            route = dataclasses.replace(route, attempt_limit=attempt_limit)
            wait_s = 0.0
        choice_request = ChoiceRequest(
            route,
            service,
            self._work(route, service),
            request.received_at_s,
            request.due_at_s(route.timeout_s),
            wait_limit_s=wait_s,
        )

        expected_size = self._expected_size(route, service)
        size_bytes = expected_size.size_bytes(monotonic_s())
        try:
            # A request whose answer finds no room would hold a slot of its server.
            request.expected_answer = self._held.admit(
                answer_kind(size_bytes), size_bytes, wait_s
            )
        except NoRoom as refusal:
            return self._refuse(
                request, 503, refusal.message, refusal.return_s, choice_request
            )

        def try_acquire_retry(is_hedge: bool = False) -> bool:
            """Spend one retry of the shared budget if one is left."""
            return budget.try_acquire(self._instance_count(), monotonic_s(), is_hedge)

        def may_hedge() -> bool:
            """Return whether a hedge leaves the retries' reserve of the budget."""
            return budget.may_hedge(self._instance_count(), monotonic_s())

        attempts = AttemptCoordinator(
            self._runner,
            request,
            choice_request,
            try_acquire_retry,
            self._quarantine,
            self._reach,
            self._peers,
            self._hedger,
            may_hedge,
        )
        try:
            result = attempts.run()
        finally:
            attempts.cancel()
            request.expected_answer.release()
        if result is not None:
            answer = result.answer
            expected_size.record(len(answer.body), monotonic_s())
            headers = end_to_end_headers(
                answer.fields.pairs,
                CONTENT_LENGTH | self._dialect.dropped_answer_headers,
            )
            if request.passed_on_attempt_limit is not None:
                headers.append((OUTCOME, ANSWERED))
            self._log_answered(
                request, choice_request, answer.status, len(attempts.failures)
            )
            return GatewayAnswer(
                answer.status,
                answer.reason,
                headers,
                answer.body,
                reservation=answer.reservation,
            )
        return self._answer_failure(request, choice_request, attempts)

    def _answer_failure(
        self,
        request: GatewayRequest,
        choice_request: ChoiceRequest,
        attempts: AttemptCoordinator,
    ) -> GatewayAnswer:
        caller_status = _caller_error_status(attempts.failures)
        if caller_status is not None:
            message = attempts.last_message
            return self._refuse(request, caller_status, message, None, choice_request)
        if not attempts.may_have_run:
            if not attempts.has_reached_server:
                self._quarantine.record_unsent(request)
            retry_after_s = attempts.retry_after_s
            return self._refuse(
                request, 503, attempts.last_message, retry_after_s, choice_request
            )
        status = 504 if attempts.has_timed_out else 502
        return self._refuse(
            request, status, attempts.last_message, None, choice_request
        )

    def _refuse(
        self,
        request: GatewayRequest,
        status: int,
        message: str,
        retry_after_s: float | None = None,
        choice_request: ChoiceRequest | None = None,
    ) -> GatewayAnswer:
        duration_s = monotonic_s() - request.received_at_s
        self._count(choice_request, f"refused-{status}", duration_s)
        answer = error_answer(status, message, retry_after_s)
        is_passed_on = request.passed_on_attempt_limit is not None
        if is_passed_on and status not in UNKNOWN_STATUSES:
            answer.headers.append((OUTCOME, NOT_RUN))
        self._event_log.write_failure(
            "request",
            "refused",
            request=request.request_id,
            host=request.host,
            path=request.path,
            route=choice_request.route.name if choice_request else None,
            configuration=self._routes.version,
            status=status,
            retry_after_s=retry_after_s,
            duration_s=duration_s,
            reason=message,
        )
        return answer

    def _log_answered(
        self,
        request: GatewayRequest,
        choice_request: ChoiceRequest,
        status: int,
        failed: int,
    ) -> None:
        duration_s = monotonic_s() - request.received_at_s
        self._count(choice_request, f"answered-{status // 100}xx", duration_s)
        self._event_log.write(
            "request",
            "answered",
            request=request.request_id,
            route=choice_request.route.name,
            configuration=self._routes.version,
            status=status,
            by="server",
            failed_attempts=failed,
            duration_s=duration_s,
        )

    def _count(
        self, choice_request: ChoiceRequest | None, outcome: str, duration_s: float
    ) -> None:
        service = choice_request.service.name if choice_request else None
        kind = choice_request.route.kind.value if choice_request else ""
        self._metrics.record_request(service, kind, outcome, duration_s)

    def _discard_outdated_routes(self) -> None:
        configuration = self._routes.configuration
        if configuration.version != self._routes_version:
            self._routes_version = configuration.version
            self._splits.retain(configuration.routes)
            self._hedger.retain(configuration.routes)

    def _budget(self, service: str) -> SharedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = SharedRetryBudget(self._allowance)
        return budget

    def _expected_size(self, route: Route, service: ServiceSpec) -> ExpectedSize:
        key = (route.name, service.name)
        expected = self._expected_sizes.get(key)
        if expected is None:
            is_download = route.kind is RequestKind.DOWNLOAD
            expected = ExpectedSize(INITIAL_DOWNLOAD_BYTES if is_download else 0)
            self._expected_sizes[key] = expected
        return expected

    def _work(self, route: Route, service: ServiceSpec) -> RouteWork:
        # Versions of a route with the same name share their averages.
        key = (route.name, service.name)
        work = self._work_by_route.get(key)
        if work is None:
            crowding = self._crowding_by_service.setdefault(service.name, Crowding())
            initial_work_s = INITIAL_WORK_RATIO * route.latency_objective_s
            work = RouteWork(initial_work_s, crowding=crowding)
            self._work_by_route[key] = work
        return work


def _caller_error_status(failures: list[AttemptFailed]) -> int | None:
    """Return the status for a body that the caller sent incorrectly, or None."""
    for failure in failures:
        if failure.end is AttemptEnd.CALLER_BODY_TOO_LARGE:
            return 413
        if failure.end is AttemptEnd.CALLER_TOO_SLOW:
            return 502
        if failure.end is AttemptEnd.CALLER_BODY_CUT:
            return 400
    return None
