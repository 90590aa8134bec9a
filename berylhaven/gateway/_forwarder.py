"""The course of one request: its route, its attempts, and its answer."""

from collections.abc import Callable
from random import Random

from berylhaven.attempts import AttemptEnd, AttemptFailed
from berylhaven.clock import monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway._attempt_coordinator import AttemptCoordinator
from berylhaven.gateway._attempt_runner import AttemptRunner
from berylhaven.gateway._dialect import Dialect
from berylhaven.gateway._finish_forecast import INITIAL_WORK_RATIO, RouteWork
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway._request import GatewayAnswer, GatewayRequest, error_answer
from berylhaven.gateway._routes_in_force import RoutesInForce
from berylhaven.gateway._server_chooser import ChoiceRequest
from berylhaven.gateway._shared_retry_budget import RetryAllowance, SharedRetryBudget
from berylhaven.http1 import end_to_end
from berylhaven.results import BodyTooLarge, CallRefused
from berylhaven.routes import Route, ServiceSpec, SplitChooser

# An answer of a server leaves so long before the caller's time is up, for the way
# back.
WAY_BACK_S = 0.01
# Without a configuration, callers may come back after this time.
NOT_READY_RETRY_AFTER_S = 0.3
# Bodies up to this size are read before a server is chosen, so that they can be sent
# again.
KEPT_BODY_BYTES = 1_000_000
CONTENT_LENGTH = frozenset({"content-length"})


class Forwarder:
    """Answers requests by backend servers.

    Parameters
    ----------
    routes : RoutesInForce
        The configuration in force.
    runner : AttemptRunner
        Makes the attempts.
    dialect : Dialect
        The headers' names.
    allowance : RetryAllowance
        The retries of all instances together.
    instance_count : callable
        Returns how many instances share them.
    random : random.Random
        The source of random numbers.
    event_log : EventLog
        Gets a line for each request's end.
    metrics : GatewayMetrics
        Counts the requests.
    """

    __slots__ = (
        "_routes",
        "_runner",
        "_dialect",
        "_allowance",
        "_instance_count",
        "_splits",
        "_splits_version",
        "_budgets",
        "_works",
        "_event_log",
        "_metrics",
    )

    def __init__(
        self,
        routes: RoutesInForce,
        runner: AttemptRunner,
        dialect: Dialect,
        allowance: RetryAllowance,
        instance_count: Callable[[], int],
        random: Random,
        event_log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._metrics = metrics
        self._routes = routes
        self._runner = runner
        self._dialect = dialect
        self._allowance = allowance
        self._instance_count = instance_count
        self._splits = SplitChooser(random)
        # The configuration whose splits are kept.
        self._splits_version: int | None = None
        self._budgets: dict[str, SharedRetryBudget] = {}
        self._works: dict[tuple[str, str], RouteWork] = {}
        self._event_log = event_log

    def update_allowance(self, allowance: RetryAllowance) -> None:
        """Limit retries by newer settings; what was spent stays counted.

        Parameters
        ----------
        allowance : RetryAllowance
            What all instances may do together.
        """
        self._allowance = allowance
        for budget in self._budgets.values():
            budget.allowance = allowance

    def answer(self, request: GatewayRequest) -> GatewayAnswer:
        """Return the final answer of a request.

        Parameters
        ----------
        request : GatewayRequest
            The caller's request.

        Returns
        -------
        GatewayAnswer
            A backend server's, or one that says truly whether the request may have
            run.
        """
        if not self._routes.is_known:
            message = "no configuration is known yet"
            return self._refuse(request, 503, message, NOT_READY_RETRY_AFTER_S)
        route = self._routes.table.find(request.host, request.path)
        if route is None:
            message = f'host "{request.host}" has no route for "{request.path}"'
            return self._refuse(request, 404, message)
        self._forget_old_splits()
        service = self._routes.service(self._splits.choose(route))
        try:
            request.body.limit_bytes = self._routes.caller_limits.body_limit_bytes
            if (request.body.content_length or 0) > request.body.limit_bytes:
                raise BodyTooLarge(f"allowed is {request.body.limit_bytes} bytes")
            request.body.read_first(KEPT_BODY_BYTES)
        except CallRefused as refusal:
            return self._refuse(request, refusal.code.status, refusal.message)
        return self._send(request, route, service)

    def _send(
        self, request: GatewayRequest, route: Route, service: ServiceSpec
    ) -> GatewayAnswer:
        now_s = monotonic_s()
        budget = self._budget(service.name)
        budget.record_request(now_s)
        patience_s = route.timeout_s
        if request.time_left_s is not None:
            patience_s = min(patience_s, request.time_left_s - WAY_BACK_S)
        wanted = ChoiceRequest(
            route,
            service,
            self._work(route, service),
            request.received_at_s,
            request.received_at_s + patience_s,
        )

        def may_retry() -> bool:
            """Spend one retry of the shared budget if one is left."""
            return budget.try_acquire(self._instance_count(), monotonic_s())

        race = AttemptCoordinator(self._runner, request, wanted, may_retry)
        try:
            result = race.run()
        finally:
            race.cancel()
        if result is not None:
            answer = result.answer
            headers = end_to_end(
                answer.fields.pairs,
                CONTENT_LENGTH | self._dialect.dropped_answer_headers,
            )
            self._tell(request, wanted, answer.status, len(race.failures))
            return GatewayAnswer(answer.status, answer.reason, headers, answer.body)
        return self._give_up(request, wanted, race)

    def _give_up(
        self, request: GatewayRequest, wanted: ChoiceRequest, race: AttemptCoordinator
    ) -> GatewayAnswer:
        caller_fault = _caller_fault(race.failures)
        if caller_fault is not None:
            message = race.last_message
            return self._refuse(request, caller_fault, message, None, wanted)
        if not race.may_have_run:
            retry_after_s = race.retry_after_s
            return self._refuse(request, 503, race.last_message, retry_after_s, wanted)
        status = 504 if race.has_timed_out else 502
        return self._refuse(request, status, race.last_message, None, wanted)

    def _refuse(
        self,
        request: GatewayRequest,
        status: int,
        message: str,
        retry_after_s: float | None = None,
        wanted: ChoiceRequest | None = None,
    ) -> GatewayAnswer:
        duration_s = monotonic_s() - request.received_at_s
        self._count(wanted, f"refused-{status}", duration_s)
        answer = error_answer(status, message, retry_after_s)
        answer.closes_connection = not request.body.is_ended
        self._event_log.write_failure(
            "request",
            "refused",
            request=request.request_id,
            host=request.host,
            path=request.path,
            route=wanted.route.name if wanted else None,
            configuration=self._routes.version,
            status=status,
            retry_after_s=retry_after_s,
            duration_s=duration_s,
            reason=message,
        )
        return answer

    def _tell(
        self, request: GatewayRequest, wanted: ChoiceRequest, status: int, failed: int
    ) -> None:
        duration_s = monotonic_s() - request.received_at_s
        self._count(wanted, f"answered-{status // 100}xx", duration_s)
        self._event_log.write(
            "request",
            "answered",
            request=request.request_id,
            route=wanted.route.name,
            configuration=self._routes.version,
            status=status,
            by="server",
            failed_attempts=failed,
            duration_s=duration_s,
        )

    def _count(
        self, wanted: ChoiceRequest | None, outcome: str, duration_s: float
    ) -> None:
        service = wanted.service.name if wanted else None
        kind = wanted.route.kind.value if wanted else ""
        self._metrics.record_request(service, kind, outcome, duration_s)

    def _forget_old_splits(self) -> None:
        configuration = self._routes.configuration
        if configuration.version != self._splits_version:
            self._splits_version = configuration.version
            self._splits.retain(configuration.routes)

    def _budget(self, service: str) -> SharedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = SharedRetryBudget(self._allowance)
        return budget

    def _work(self, route: Route, service: ServiceSpec) -> RouteWork:
        # Versions of a route share what was learned if they have the same name.
        key = (route.name, service.name)
        work = self._works.get(key)
        if work is None:
            work = RouteWork(INITIAL_WORK_RATIO * route.latency_objective_s)
            self._works[key] = work
        return work


def _caller_fault(failures: list[AttemptFailed]) -> int | None:
    """Return the status for a body that the caller did not send rightly, or None."""
    for failure in failures:
        if failure.end is AttemptEnd.CALLER_BODY_TOO_LARGE:
            return 413
        if failure.end is AttemptEnd.CALLER_TOO_SLOW:
            return 502
        if failure.end is AttemptEnd.CALLER_BODY_CUT:
            return 400
    return None
