"""Gauges that are set from an instance's components when metrics are read."""

import collections

from berylhaven.clock import monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway._active_routes import ActiveRoutes
from berylhaven.gateway._gateway_metrics import LABEL_ESCAPES, NO_LABELS, GatewayMetrics
from berylhaven.gateway.callers._callers_port import CallersPort
from berylhaven.gateway.members._members import MemberTable
from berylhaven.gateway.servers._server_record import ServerRecord
from berylhaven.gateway.servers._server_table import ServerTable
from berylhaven.gateway.store._update_log import UpdateLog


class InstanceGauges:
    """Sets the gauges of an instance's state and of its pending work.

    Parameters
    ----------
    metrics : GatewayMetrics
        The registry of the gauges.
    routes : ActiveRoutes
        The active configuration.
    table : ServerTable
        The servers.
    members : MemberTable
        The instances.
    update_log : UpdateLog
        Has the time of the store's latest answer.
    port : CallersPort
        The callers' connections.
    event_log : EventLog
        Counts the dropped log lines.
    """

    __slots__ = (
        "_routes",
        "_table",
        "_members",
        "_update_log",
        "_port",
        "_event_log",
        "_version",
        "_problems",
        "_servers",
        "_evacuated",
        "_instances",
        "_store_answer_age",
        "_revision",
        "_era",
        "_pending",
        "_connections",
        "_dropped",
    )

    def __init__(
        self,
        metrics: GatewayMetrics,
        routes: ActiveRoutes,
        table: ServerTable,
        members: MemberTable,
        update_log: UpdateLog,
        port: CallersPort,
        event_log: EventLog,
    ) -> None:
        self._routes = routes
        self._table = table
        self._members = members
        self._update_log = update_log
        self._port = port
        self._event_log = event_log
        self._version = metrics.gauge(
            "configuration_version",
            "Version of the active configuration; 0 without one.",
        )
        self._problems = metrics.gauge(
            "configuration_problems",
            "Parts of the active configuration that are unusable or have default "
            "values.",
        )
        self._servers = metrics.gauge(
            "servers", "Backend servers, by service and state."
        )
        self._evacuated = metrics.gauge(
            "data_centre_evacuated",
            "1 for each data centre to whose servers nothing is sent; 2 while its "
            "return is held.",
        )
        self._instances = metrics.gauge("instances", "Other instances, by state.")
        self._store_answer_age = metrics.gauge(
            "store_silence_seconds", "Time since the store last answered this instance."
        )
        self._revision = metrics.gauge(
            "store_revision", "The store's revision up to which all changes are known."
        )
        self._era = metrics.gauge(
            "store_era", "The store's era, which rises when it is restored."
        )
        self._pending = metrics.gauge(
            "requests_pending", "Requests that were read and are not answered yet."
        )
        self._connections = metrics.gauge(
            "caller_connections", "Open connections of callers."
        )
        self._dropped = metrics.counter(
            "log_lines_dropped_total", "Log lines that were not written."
        )
        metrics.add_refresher(self.refresh)

    def refresh(self) -> None:
        """Set every gauge to its current value."""
        now_s = monotonic_s()
        self._version.set(NO_LABELS, self._routes.version or 0)
        configuration = self._routes.configuration
        problem_count = len(configuration.problems) if configuration else 0
        self._problems.set(NO_LABELS, problem_count)
        self._revision.set(NO_LABELS, self._members.own.revision.number)
        self._era.set(NO_LABELS, self._members.own.revision.era)
        age_s = now_s - self._update_log.store_answered_at_s
        self._store_answer_age.set(NO_LABELS, round(age_s, 3))
        self._pending.set(NO_LABELS, self._port.pending_count)
        self._connections.set(NO_LABELS, self._port.connection_count)
        self._dropped.set(NO_LABELS, self._event_log.dropped_count)
        live = self._members.live(now_s)
        ready_count = sum(member.is_ready for member in live)
        self._instances.set({"state": "ready"}, ready_count)
        self._instances.set({"state": "not-ready"}, len(live) - ready_count)
        self._refresh_servers()
        self._refresh_evacuations()

    def _refresh_servers(self) -> None:
        states = collections.Counter(
            (record.entry.service, self._state(record))
            for record in self._table.records()
        )
        # Removed services must not keep their last values.
        self._servers.values.clear()
        for (service, state), count in states.items():
            self._servers.set({"service": service, "state": state}, count)

    def _refresh_evacuations(self) -> None:
        evacuations = self._table.evacuations
        self._evacuated.values.clear()
        for name in evacuations.data_centres:
            value = 2 if evacuations.awaits_return(name) else 1
            # The name is any text that is in the key of an evacuation.
            label = name.translate(LABEL_ESCAPES)
            self._evacuated.set({"data_centre": label}, value)

    def _state(self, record: ServerRecord) -> str:
        if record.is_leaving:
            return "leaving"
        if self._table.evacuations.is_evacuated(record.entry.data_centre):
            return "evacuated"
        return "silent" if record.is_unresponsive else "ready"
