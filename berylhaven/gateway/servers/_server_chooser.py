"""Chooses the backend server for an attempt."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from berylhaven.clock import monotonic_s
from berylhaven.gateway.servers._finish_estimate import (
    RouteWork,
    expected_finish_s,
    expected_utility,
    remote_cost,
)
from berylhaven.gateway.servers._server_probe import ServerProber
from berylhaven.gateway.servers._server_record import ServerRecord
from berylhaven.gateway.servers._server_table import ServerTable
from berylhaven.overload import (
    StartDecision,
    StartOutlook,
    best_concurrency,
    decide_start,
)
from berylhaven.routes import Route, ServiceSpec

# The number of servers that are probed in one round.
PROBES_PER_ROUND = 2
# If the best server has a lower expected utility, another round is probed.
SUFFICIENT_UTILITY = 0.8
# The utility that a recent failure ratio of 1 subtracts.
FAILURE_COST = 1.5
# The utility that an unanswered probe subtracts, so that the server, which may have
# stopped, is chosen last.
UNRESPONSIVE_COST = 1.0
# The sort penalty of servers without an open connection, so that they are probed last:
# an instance with little traffic uses few servers until they are too slow or full.
NEW_CONNECTION_COST = 0.9
# A new server is treated for this time as if it had an open connection, so that it
# gets its share of requests within seconds.
NEW_SERVER_PERIOD_S = 6.0
# The number of remote servers in each round of probes; the later rounds have some,
# because the whole local data centre may be overloaded.
REMOTE_PROBE_COUNTS = (0, 0, 1, 2, 2)
# The initial utility, which stands for no server that can answer in time.
MIN_UTILITY = 0.0
# The sort penalty of cold servers, so that most warm ones with a connection are probed
# before them.
COLD_COST = 0.6
# The share of requests that are sent to a full server, so that it is noticed if the
# servers of a service no longer slow down when they are nearly full.
TRIAL_SHARE = 0.02
# The Retry-After value while all servers of a service are in evacuated data centres:
# only an operator returns one to service.
EVACUATED_RETRY_AFTER_S = 2.0


@dataclass(slots=True)
class Choice:
    """The chosen server and the data behind the choice."""

    # The server; None if none is expected to answer in time.
    server: ServerRecord | None
    # The number of candidate servers.
    candidate_count: int
    # The number of candidates that were probed or had a fresh load report.
    compared_count: int
    # The estimate of the time to the answer, in seconds; that of the best candidate if
    # no server was chosen.
    finish_s: float
    # The age of the chosen server's load report, in seconds.
    report_age_s: float
    # If all servers want a pause or are in evacuated data centres, the time until the
    # first one may be used, in seconds.
    quiet_s: float = 0.0
    # What happens to the request.
    decision: StartDecision = StartDecision.REFUSE
    # The best concurrency of the best candidate.
    concurrency: int = 1


@dataclass(slots=True)
class ChoiceRequest:
    """The input of a server choice."""

    # The route of the request.
    route: Route
    # The service chosen by the route's split.
    service: ServiceSpec
    # The moving averages of the route's work and size.
    work: RouteWork
    # When the request was received, on the hub's clock.
    received_at_s: float
    # The deadline of the answer, on the hub's clock.
    deadline_s: float
    # The ids of servers that were already tried.
    excluded: frozenset[str] = frozenset()
    # For how long the request has waited for a slot, in seconds.
    waited_s: float = 0.0
    # For how long it may wait for a slot in all, in seconds.
    wait_limit_s: float = 0.0


class ServerChooser:
    """Chooses servers by expected utility, local ones first.

    Parameters
    ----------
    data_centre : str
        The data centre of this instance.
    table : ServerTable
        The backend servers.
    prober : ServerProber
        Queries the load of servers.
    random : random.Random
        The source of random numbers.
    has_connection : callable
        Returns whether a connection to an address is open.
    """

    __slots__ = ("_data_centre", "_table", "_prober", "_random", "_has_connection")

    def __init__(
        self,
        data_centre: str,
        table: ServerTable,
        prober: ServerProber,
        random: Random,
        has_connection: Callable[[str], bool],
    ) -> None:
        self._has_connection = has_connection
        self._data_centre = data_centre
        self._table = table
        self._prober = prober
        self._random = random

    def choose(self, request: ChoiceRequest) -> Choice:
        """Return the server with the highest expected utility.

        Parameters
        ----------
        request : ChoiceRequest
            The input of the choice.

        Returns
        -------
        Choice
            The choice; without a server if none is expected to answer before the
            deadline.
        """
        now_s = monotonic_s()
        untried = [
            server
            for server in self._table.candidates(request.service.name)
            if server.entry.server_id not in request.excluded
        ]
        candidates = [server for server in untried if not server.is_quiet(now_s)]
        if untried and not candidates:
            return _choice_of_none(request, untried, now_s)
        if not untried and self._table.is_evacuated(request.service.name):
            return Choice(None, 0, 0, 0.0, 0.0, EVACUATED_RETRY_AFTER_S)
        local, remote = self._order_candidates(candidates)
        compared: list[ServerRecord] = []
        best: ServerRecord | None = None
        utility = MIN_UTILITY
        for remote_count in REMOTE_PROBE_COUNTS:
            probed = _pop_next_servers(local, remote, remote_count)
            if not probed:
                break
            self._prober.refresh(probed, request.service.health_path)
            compared += probed
            now_s = monotonic_s()
            # The answers to the probes may say that servers are cold.
            usable = [s for s in compared if s.warmup_wait_s(now_s) == 0]
            if not usable:
                continue
            best = max(usable, key=lambda server: self._utility(server, request, now_s))
            utility = self._utility(best, request, now_s)
            if utility >= SUFFICIENT_UTILITY - self._remote_cost(best, request):
                break
        choice = self._choice(request, candidates, compared, best)
        for server in compared:
            if server is not choice.server:
                server.record_unused_probe(now_s)
        return choice

    def _choice(
        self,
        request: ChoiceRequest,
        candidates: list[ServerRecord],
        compared: list[ServerRecord],
        best: ServerRecord | None,
    ) -> Choice:
        now_s = monotonic_s()
        # While others were probed, a server may have been removed or asked for a pause.
        current = [
            server
            for server in self._table.candidates(request.service.name)
            if not server.is_quiet(now_s)
        ]
        if best is not None and best not in current:
            staying = [server for server in compared if server in current]
            best = max(
                staying,
                key=lambda server: self._utility(server, request, now_s),
                default=None,
            )
        if best is None:
            cold = [s for s in candidates if s.warmup_wait_s(now_s) > 0]
            if cold and not current:
                return _choice_of_none(request, cold, now_s)
            return Choice(None, len(candidates), len(compared), 0.0, 0.0)
        finish_s = expected_finish_s(best, request.work, now_s)
        concurrency = best_concurrency(
            best.slot_count, request.work.crowding.slowdown_ratio
        )
        request_count = best.occupied_count + 1
        if now_s < best.full_until_s:
            request_count = max(request_count, concurrency + 1)
            finish_s = max(finish_s, request.route.latency_objective_s)
        decision = decide_start(
            StartOutlook(
                request_count=request_count,
                best_concurrency=concurrency,
                slot_count=best.slot_count,
                finish_s=finish_s,
                objective_remaining_s=request.received_at_s
                + request.route.latency_objective_s
                - now_s,
                deadline_remaining_s=request.deadline_s - now_s,
                waited_s=request.waited_s,
                wait_limit_s=request.wait_limit_s,
                is_trial=self._random.random() < TRIAL_SHARE,
            )
        )
        if best.is_cold(now_s) and request_count > concurrency:
            # Nothing queues at a cold server.
            decision = StartDecision.REFUSE
        if decision is StartDecision.SEND:
            best.record_send(now_s)
        return Choice(
            server=best if decision is StartDecision.SEND else None,
            candidate_count=len(candidates),
            compared_count=len(compared),
            finish_s=finish_s,
            report_age_s=best.report_age_s(now_s),
            decision=decision,
            concurrency=concurrency,
        )

    def _order_candidates(
        self, candidates: list[ServerRecord]
    ) -> tuple[list[ServerRecord], list[ServerRecord]]:
        """Return local and remote candidates, each in the order of probing.

        The order is random, except that servers that were full, failed or did not
        answer a probe recently, and those without an open connection, come later.
        """
        now_s = monotonic_s()

        def sort_key(server: ServerRecord) -> float:
            """Return the sort key of a server."""
            penalty = server.failure_ratio(now_s) * FAILURE_COST
            if now_s < server.full_until_s:
                penalty += 1.0
            if now_s < server.backoff_until_s:
                penalty += UNRESPONSIVE_COST
            is_new = now_s - server.first_seen_at_s < NEW_SERVER_PERIOD_S
            if server.is_cold(now_s):
                # The few instances with a part of its rate should find it, also those
                # without a connection.
                penalty += COLD_COST
            elif not is_new and not self._has_connection(server.entry.address):
                penalty += NEW_CONNECTION_COST
            return penalty + self._random.random()

        ordered = sorted(candidates, key=sort_key)
        local = [s for s in ordered if s.entry.data_centre == self._data_centre]
        remote = [s for s in ordered if s.entry.data_centre != self._data_centre]
        return local, remote

    def _remote_cost(self, server: ServerRecord, request: ChoiceRequest) -> float:
        if server.entry.data_centre == self._data_centre:
            return 0.0
        return remote_cost(request.work.size_bytes)

    def _utility(
        self, server: ServerRecord, request: ChoiceRequest, now_s: float
    ) -> float:
        finish_s = expected_finish_s(server, request.work, now_s)
        objective_s = request.route.latency_objective_s
        utility = expected_utility(
            finish_s,
            request.received_at_s + objective_s - now_s,
            objective_s,
            request.deadline_s - now_s,
        )
        utility -= FAILURE_COST * server.failure_ratio(now_s)
        utility -= self._remote_cost(server, request)
        if now_s < server.full_until_s:
            utility -= 1.0
        if server.is_unresponsive:
            utility -= UNRESPONSIVE_COST
        return utility


def _choice_of_none(
    request: ChoiceRequest, untried: list[ServerRecord], now_s: float
) -> Choice:
    """Return the choice while nothing may be sent to any server."""
    quiet_s = min(server.quiet_s(now_s) for server in untried)
    choice = Choice(None, len(untried), 0, 0.0, 0.0, quiet_s)
    is_token_near = request.waited_s + quiet_s < request.wait_limit_s
    if is_token_near and any(server.is_cold(now_s) for server in untried):
        choice.decision = StartDecision.WAIT
    return choice


def _pop_next_servers(
    local: list[ServerRecord], remote: list[ServerRecord], remote_count: int
) -> list[ServerRecord]:
    """Remove and return the next servers to probe.

    If there are too few local or remote servers, the others take their places.
    """
    remote_count = max(min(remote_count, len(remote)), PROBES_PER_ROUND - len(local))
    local_count = PROBES_PER_ROUND - min(remote_count, len(remote))
    taken = local[:local_count] + remote[:remote_count]
    del local[:local_count], remote[:remote_count]
    return taken
