"""Choosing the backend server for one attempt."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from berylhaven.clock import monotonic_s
from berylhaven.gateway._finish_forecast import (
    RouteWork,
    expected_utility,
    finish_forecast_s,
    remote_cost,
)
from berylhaven.gateway._server_probe import ServerProber
from berylhaven.gateway._server_record import ServerRecord
from berylhaven.gateway._server_table import ServerTable
from berylhaven.routes import Route, ServiceSpec

# How many servers are asked for their load at once.
PROBED_COUNT = 2
# A server that is expected to be worth less makes the choice look further.
GOOD_WORTH = 0.8
# A recent failure ratio of 1 takes this much from a server's worth.
FAILURE_COST = 1.5
# A server that left its last probe unanswered is the last choice: it may be gone.
SILENCE_COST = 1.0
# Servers without an open connection are probed after the others: an instance that
# seldom sends keeps to few servers until they are too slow or full.
NEW_CONNECTION_COST = 0.9
# A server that has joined is treated as if it had a connection for this time, so that
# it gets its part within seconds.
NEW_SERVER_PERIOD_S = 6.0
# How many of the servers of each round of probes stand in other data centres; a whole
# data centre may be too busy.
FAR_PROBED_COUNTS = (0, 0, 1, 2, 2)
# The worth below which no server is expected to answer in time.
HOPELESS_WORTH = 0.0


@dataclass(slots=True)
class Choice:
    """The chosen server and why."""

    # The server; None if none is expected to answer in time.
    server: ServerRecord | None
    # How many servers could have been chosen.
    candidate_count: int
    # How many of them were asked for their load or had just reported it.
    compared_count: int
    # The expected time to the answer in seconds; the least if no server was chosen.
    finish_s: float
    # The age of the chosen server's report in seconds.
    report_age_s: float


@dataclass(slots=True)
class ChoiceRequest:
    """What a choice is for."""

    # The route of the request.
    route: Route
    # The service that its split chose.
    service: ServiceSpec
    # What requests of the route need.
    work: RouteWork
    # When the caller sent the request, on the hub's clock.
    received_at_s: float
    # When the answer is of no more use, on the hub's clock.
    deadline_s: float
    # Ids of servers that were tried already.
    excluded: frozenset[str] = frozenset()


class ServerChooser:
    """Chooses servers by expected worth, near ones first.

    Parameters
    ----------
    data_centre : str
        Where this instance stands.
    table : ServerTable
        The servers.
    prober : ServerProber
        Asks servers for their load.
    random : random.Random
        The source of random numbers.
    has_connection : callable
        Tells whether a connection to an address is open.
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
        """Return the server of which most is expected.

        Parameters
        ----------
        request : ChoiceRequest
            What the choice is for.

        Returns
        -------
        Choice
            Without a server if none is expected to answer before the deadline.
        """
        candidates = [
            server
            for server in self._table.candidates(request.service.name)
            if server.entry.server_id not in request.excluded
        ]
        near, far = self._order(candidates)
        compared: list[ServerRecord] = []
        best: ServerRecord | None = None
        worth = HOPELESS_WORTH
        for far_count in FAR_PROBED_COUNTS:
            probed = _take(near, far, far_count)
            if not probed:
                break
            self._prober.refresh(probed, request.service.health_path)
            compared += probed
            now_s = monotonic_s()
            best = max(compared, key=lambda server: self._worth(server, request, now_s))
            worth = self._worth(best, request, now_s)
            if worth >= GOOD_WORTH - self._remote_cost(best, request):
                break
        return self._choice(request, candidates, compared, best)

    def _choice(
        self,
        request: ChoiceRequest,
        candidates: list[ServerRecord],
        compared: list[ServerRecord],
        best: ServerRecord | None,
    ) -> Choice:
        now_s = monotonic_s()
        # A server may have left while others were asked.
        current = self._table.candidates(request.service.name)
        if best is not None and best not in current:
            staying = [server for server in compared if server in current]
            best = max(
                staying,
                key=lambda server: self._worth(server, request, now_s),
                default=None,
            )
        if best is None:
            return Choice(None, len(candidates), len(compared), 0.0, 0.0)
        finish_s = finish_forecast_s(best, request.work, now_s)
        if finish_s >= request.deadline_s - now_s or now_s < best.full_until_s:
            return Choice(None, len(candidates), len(compared), finish_s, 0.0)
        return Choice(
            best, len(candidates), len(compared), finish_s, best.report_age_s(now_s)
        )

    def _order(
        self, candidates: list[ServerRecord]
    ) -> tuple[list[ServerRecord], list[ServerRecord]]:
        """Return near and far candidates, each in the order in which they are asked.

        The order is random but for those that were full or failed just now, and those
        to which a connection would have to be opened.
        """
        now_s = monotonic_s()

        def rank(server: ServerRecord) -> float:
            """Return the sort key of a server."""
            penalty = server.failure_ratio(now_s) * FAILURE_COST
            if now_s < server.full_until_s:
                penalty += 1.0
            if now_s < server.backoff_until_s:
                penalty += SILENCE_COST
            has_joined = now_s - server.first_seen_at_s < NEW_SERVER_PERIOD_S
            if not has_joined and not self._has_connection(server.entry.address):
                penalty += NEW_CONNECTION_COST
            return penalty + self._random.random()

        ordered = sorted(candidates, key=rank)
        near = [s for s in ordered if s.entry.data_centre == self._data_centre]
        far = [s for s in ordered if s.entry.data_centre != self._data_centre]
        return near, far

    def _remote_cost(self, server: ServerRecord, request: ChoiceRequest) -> float:
        if server.entry.data_centre == self._data_centre:
            return 0.0
        return remote_cost(request.work.size_bytes)

    def _worth(
        self, server: ServerRecord, request: ChoiceRequest, now_s: float
    ) -> float:
        finish_s = finish_forecast_s(server, request.work, now_s)
        objective_s = request.route.latency_objective_s
        worth = expected_utility(
            finish_s,
            request.received_at_s + objective_s - now_s,
            objective_s,
            request.deadline_s - now_s,
        )
        worth -= FAILURE_COST * server.failure_ratio(now_s)
        worth -= self._remote_cost(server, request)
        if now_s < server.full_until_s:
            worth -= 1.0
        if server.is_unresponsive:
            worth -= SILENCE_COST
        return worth


def _take(
    near: list[ServerRecord], far: list[ServerRecord], far_count: int
) -> list[ServerRecord]:
    """Remove and return the next servers to ask; where one kind ends, the other."""
    far_count = max(min(far_count, len(far)), PROBED_COUNT - len(near))
    near_count = PROBED_COUNT - min(far_count, len(far))
    taken = near[:near_count] + far[:far_count]
    del near[:near_count], far[:far_count]
    return taken
