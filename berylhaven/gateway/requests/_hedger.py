"""The hedges of an instance: when one is due, whether it is sent, and their counts."""

from collections.abc import Iterable

from berylhaven.clock import monotonic_s, wall_clock_ms
from berylhaven.event_log import EventLog
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway.members._members import MemberTable
from berylhaven.gateway.servers._finish_estimate import RouteWork, has_free_slot
from berylhaven.gateway.servers._server_chooser import ChoiceRequest
from berylhaven.gateway.servers._server_record import ServerRecord
from berylhaven.gateway.servers._server_table import ServerTable
from berylhaven.hedging import (
    HedgeBudget,
    HedgeDenial,
    HedgeLimit,
    LoadSample,
    TimeDistribution,
    busy_ratio,
    fleet_place,
)
from berylhaven.routes import Route

# The least time between two log lines about the room of a service.
ROOM_LINE_INTERVAL_S = 5.0


class Hedger:
    """Decides on the hedges of all requests of an instance.

    Parameters
    ----------
    limit : HedgeLimit or None
        The limit that operators set; None if they set none: hedges are then sent as in
        releases without this limit.
    table : ServerTable
        The backend servers.
    members : MemberTable
        The membership table.
    event_log : EventLog
        Receives a line for each hedge, and when hedging stops or resumes.
    metrics : GatewayMetrics
        Counts the hedges.
    """

    __slots__ = (
        "limit",
        "_table",
        "_members",
        "_event_log",
        "_hedges",
        "_denials",
        "_budgets",
        "_times",
        "_is_busy",
        "_room_line_at_s",
    )

    def __init__(
        self,
        limit: HedgeLimit | None,
        table: ServerTable,
        members: MemberTable,
        event_log: EventLog,
        metrics: GatewayMetrics,
    ) -> None:
        # The limit that operators set.
        self.limit = limit
        self._table = table
        self._members = members
        self._event_log = event_log
        self._hedges = metrics.counter(
            "hedges_total", "Hedges, by service and event: sent or won."
        )
        self._denials = metrics.counter(
            "hedges_denied_total",
            "Hedges that were due and not sent, by service and cause.",
        )
        self._budgets: dict[str, HedgeBudget] = {}
        # By route and service.
        self._times: dict[tuple[str, str], TimeDistribution] = {}
        # Whether the slots of a service were in use at the last look.
        self._is_busy: dict[str, bool] = {}
        self._room_line_at_s: dict[str, float] = {}

    def update_limit(self, limit: HedgeLimit | None) -> None:
        """Replace the limit; what was saved under another ratio is dropped.

        Parameters
        ----------
        limit : HedgeLimit or None
            The limit that operators set, or None.
        """
        old_ratio = self.limit.extra_request_ratio if self.limit else None
        new_ratio = limit.extra_request_ratio if limit else None
        if new_ratio != old_ratio:
            self._budgets.clear()
            self._event_log.write("instance", "hedge limit changed", ratio=new_ratio)
        self.limit = limit

    def retain(self, routes: Iterable[Route]) -> None:
        """Remove what is kept of routes and services that are no longer active.

        Parameters
        ----------
        routes : iterable of Route
            All active routes.
        """
        active = {(r.name, part.service) for r in routes for part in r.parts}
        services = {service for _, service in active}
        for key in [key for key in self._times if key not in active]:
            del self._times[key]
        for by_service in (self._budgets, self._is_busy, self._room_line_at_s):
            for service in [name for name in by_service if name not in services]:
                del by_service[service]

    def record_request(self, service: str) -> None:
        """Record a request that this instance took from a caller.

        Parameters
        ----------
        service : str
            The service of the request.
        """
        if self.limit is not None:
            budget = self._current_budget(service)
            budget.record_request(self.limit.extra_request_ratio)

    def late_ratio(self, request: ChoiceRequest) -> float | None:
        """Return how late, relative to its estimate, an attempt has to be for a hedge.

        Parameters
        ----------
        request : ChoiceRequest
            The input of the server choice.

        Returns
        -------
        float or None
            None if there is no limit, or if too few times of the route are known.
        """
        if self.limit is None:
            return None
        times = self._times.get((request.route.name, request.service.name))
        if times is None:
            return None
        return times.quantile(self.limit.delay_quantile, monotonic_s())

    def record_time(self, request: ChoiceRequest, time_ratio: float) -> None:
        """Record the time of a first attempt, or its time so far when a hedge won.

        Parameters
        ----------
        request : ChoiceRequest
            The input of the server choice.
        time_ratio : float
            The time, relative to the estimate.
        """
        if self.limit is None:
            return
        key = (request.route.name, request.service.name)
        times = self._times.setdefault(key, TimeDistribution())
        times.record(time_ratio, monotonic_s())

    def busy_ratio(self, service: str) -> float | None:
        """Return the share of a service's slots in use, or None if it is unknown.

        Parameters
        ----------
        service : str
            The service's name.

        Returns
        -------
        float or None
            The share, by the load reports that this instance has.
        """
        now_s = monotonic_s()
        return busy_ratio(
            LoadSample(s.occupied_count, s.slot_count, s.report_age_s(now_s))
            for s in self._table.candidates(service)
            if s.report is not None
        )

    def unsuitable_ids(self, service: str) -> frozenset[str]:
        """Return the ids of the servers that get no hedge whatever their load is.

        Parameters
        ----------
        service : str
            The service's name.

        Returns
        -------
        frozenset of str
            The servers that are cold, name a limit, want a pause or don't answer.
        """
        now_s = monotonic_s()
        return frozenset(
            server.entry.server_id
            for server in self._table.candidates(service)
            if _is_unsuitable(server, now_s)
        )

    def has_room(self, server: ServerRecord, work: RouteWork) -> bool:
        """Return whether a server may get a hedge now.

        Parameters
        ----------
        server : ServerRecord
            The chosen server.
        work : RouteWork
            The averages of the request's route.

        Returns
        -------
        bool
            False also if it became unsuitable while it was probed.
        """
        now_s = monotonic_s()
        if server.is_leaving or _is_unsuitable(server, now_s):
            return False
        return has_free_slot(server, work, now_s)

    def has_hedge(self, service: str) -> bool:
        """Return whether the limit leaves a hedge for a service now."""
        return self._current_budget(service).has_hedge(wall_clock_ms() / 1000)

    def record_sent(self, service: str, request_id: str, server: ServerRecord) -> None:
        """Spend a hedge that is sent now.

        Parameters
        ----------
        service : str
            The service's name.
        request_id : str
            The id of the request.
        server : ServerRecord
            The second server.
        """
        self._current_budget(service).spend()
        self._hedges.inc({"service": service, "event": "sent"})
        self._event_log.write(
            "attempt",
            "hedged",
            request=request_id,
            service=service,
            server=server.entry.server_id,
            busy_ratio=self.busy_ratio(service),
        )
        self._note_room(service, is_busy=False)

    def record_won(self, service: str) -> None:
        """Count a hedge whose answer came first."""
        self._hedges.inc({"service": service, "event": "won"})

    def record_denied(self, service: str, denial: HedgeDenial) -> None:
        """Count a hedge that was due and is not sent.

        Parameters
        ----------
        service : str
            The service's name.
        denial : HedgeDenial
            The cause.
        """
        self._denials.inc({"service": service, "cause": denial.value})
        if denial is HedgeDenial.BUSY:
            self._note_room(service, is_busy=True)

    def _note_room(self, service: str, is_busy: bool) -> None:
        """Log that hedging stopped for lack of room, or resumed."""
        now_s = monotonic_s()
        if self._is_busy.get(service, False) is is_busy:
            return
        if now_s < self._room_line_at_s.get(service, now_s):
            return
        self._is_busy[service] = is_busy
        self._room_line_at_s[service] = now_s + ROOM_LINE_INTERVAL_S
        self._event_log.write(
            "placement",
            "hedging stopped" if is_busy else "hedging resumed",
            service=service,
            busy_ratio=self.busy_ratio(service),
        )

    def _current_budget(self, service: str) -> HedgeBudget:
        budget = self._budgets.setdefault(service, HedgeBudget())
        fleet_s = wall_clock_ms() / 1000
        if budget.needs_place(fleet_s):
            own_address = self._members.own.peers_address
            ready = self._members.ready(monotonic_s())
            addresses = (member.peers_address for member in ready)
            place = fleet_place(service, own_address, addresses)
            budget.start_slot(self.limit.extra_request_ratio, place, fleet_s)
        return budget


def _is_unsuitable(server: ServerRecord, now_s: float) -> bool:
    return (
        now_s < server.warmup_end_s
        or server.limit is not None
        or server.is_quiet(now_s)
        or server.is_unresponsive
    )
