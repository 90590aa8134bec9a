"""Gauges that are read from an instance's parts when somebody asks."""

import collections

from berylhaven.clock import monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway._active_routes import ActiveRoutes
from berylhaven.gateway._callers_port import CallersPort
from berylhaven.gateway._gateway_metrics import NO_LABELS, GatewayMetrics
from berylhaven.gateway._members import MemberTable
from berylhaven.gateway._server_record import ServerRecord
from berylhaven.gateway._server_table import ServerTable
from berylhaven.gateway._update_log import UpdateLog


class InstanceGauges:
    """Sets gauges of what an instance knows and has under way.

    Parameters
    ----------
    metrics : GatewayMetrics
        Gets the gauges.
    routes : ActiveRoutes
        With the version in force.
    table : ServerTable
        The servers.
    members : MemberTable
        The instances.
    news_log : UpdateLog
        Knows when the store was heard.
    port : CallersPort
        The callers' connections.
    event_log : EventLog
        Counts the lines that were dropped.
    """

    __slots__ = (
        "_routes",
        "_table",
        "_members",
        "_news_log",
        "_port",
        "_event_log",
        "_version",
        "_servers",
        "_instances",
        "_news_age",
        "_revision",
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
        news_log: UpdateLog,
        port: CallersPort,
        event_log: EventLog,
    ) -> None:
        self._routes = routes
        self._table = table
        self._members = members
        self._news_log = news_log
        self._port = port
        self._event_log = event_log
        self._version = metrics.gauge(
            "configuration_version", "The configuration in force; 0 without one."
        )
        self._servers = metrics.gauge(
            "servers", "Backend servers, by service and state."
        )
        self._instances = metrics.gauge("instances", "Other instances, by state.")
        self._news_age = metrics.gauge(
            "store_silence_seconds", "Since the store last answered this instance."
        )
        self._revision = metrics.gauge(
            "store_revision", "The store's revision up to which all is known."
        )
        self._pending = metrics.gauge(
            "requests_pending", "Requests read and not answered."
        )
        self._connections = metrics.gauge(
            "caller_connections", "Open connections of callers."
        )
        self._dropped = metrics.counter(
            "log_lines_dropped_total", "Log lines that were not written."
        )
        metrics.add_refresher(self.refresh)

    def refresh(self) -> None:
        """Set every gauge to what holds now."""
        now_s = monotonic_s()
        self._version.set(NO_LABELS, self._routes.version or 0)
        self._revision.set(NO_LABELS, self._members.own.revision)
        silence_s = now_s - self._news_log.store_answered_at_s
        self._news_age.set(NO_LABELS, round(silence_s, 3))
        self._pending.set(NO_LABELS, self._port.pending_count)
        self._connections.set(NO_LABELS, self._port.connection_count)
        self._dropped.set(NO_LABELS, self._event_log.dropped_count)
        live = self._members.live(now_s)
        ready_count = sum(member.is_ready for member in live)
        self._instances.set({"state": "ready"}, ready_count)
        self._instances.set({"state": "not-ready"}, len(live) - ready_count)
        self._refresh_servers()

    def _refresh_servers(self) -> None:
        states = collections.Counter(
            (record.entry.service, _state(record)) for record in self._table.records()
        )
        # Services that are gone must not stay.
        self._servers.values.clear()
        for (service, state), count in states.items():
            self._servers.set({"service": service, "state": state}, count)


def _state(record: ServerRecord) -> str:
    if record.entry.is_leaving:
        return "leaving"
    return "silent" if record.is_unresponsive else "ready"
