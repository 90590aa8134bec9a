"""Metrics that are collected from the instance's components on each scrape."""

import collections
import resource
import socket

from aioprometheus.collectors import Counter, Gauge, Histogram

from berylhaven.catalogue import CATALOGUE_REFUSAL_SECTION, CATALOGUE_SECTION
from berylhaven.clock import monotonic_s, set_turn_report
from berylhaven.controllers import ControllerContext
from berylhaven.membership import PeerState
from berylhaven.operations import DecisionLog, process_usage
from berylhaven.proxy import CallHandler

NO_LABELS: dict[str, str] = {}
TURN_BUCKETS_S = (0.01, 0.02, 0.05, 0.1, 0.5, 2.0, 10.0)
# Linux counts the peak memory in this unit.
KILOBYTE = 1_024


class InstanceMetrics:
    """Sets the metrics before each rendering of the registry.

    Parameters
    ----------
    context : ControllerContext
        The instance's components, with the registry of metrics.
    decision_log : DecisionLog
        Provides the number of dropped decision lines.
    handler : CallHandler
        Provides the number of open connections to backend servers.
    """

    def __init__(
        self,
        context: ControllerContext,
        decision_log: DecisionLog,
        handler: CallHandler,
    ) -> None:
        self._context = context
        self._decision_log = decision_log
        self._handler = handler
        self._in_flight = self._gauge("calls_in_flight", "Calls in flight.")
        self._connections = self._gauge(
            "upstream_connections", "Open connections to backend servers."
        )
        self._peers = self._gauge("peers", "Other entry instances, by state.")
        self._active_revision = self._gauge(
            "catalogue_revision", "The active revision of the catalogue; 0 without one."
        )
        self._rejected_revision = self._gauge(
            "catalogue_refused_revision",
            "The last rejected revision of the catalogue; 0 without one.",
        )
        self._service_info = self._gauge(
            "service_info", "1 for each service, by its class and owner."
        )
        self._resident_bytes = self._gauge(
            "resident_bytes", "Resident memory of the process."
        )
        self._processor_seconds = self._counter(
            "processor_seconds_total", "Processor time used by the process."
        )
        self._peak_memory = self._gauge(
            "peak_memory_bytes", "The highest memory that the process has had."
        )
        self._turns = Histogram(
            "berylhaven_turn_seconds",
            "Turns of the hub's green threads that took 5 ms or more.",
            buckets=list(TURN_BUCKETS_S),
            registry=context.metrics.registry,
        )
        set_turn_report(self._record_turn)
        self._dropped_lines = self._counter(
            "decision_lines_dropped_total",
            "Routing decisions without a log line, because of the rate limit.",
        )
        self._peer_bytes = self._counter(
            "peer_bytes_total", "Bytes to and from other entry instances."
        )
        context.metrics.add_refresher(self.refresh)

    def refresh(self) -> None:
        """Set every metric to its current value."""
        context = self._context
        self._in_flight.set(NO_LABELS, context.gate.in_flight_count)
        self._connections.set(NO_LABELS, self._handler.open_connection_count)
        self._dropped_lines.set(NO_LABELS, self._decision_log.dropped_count)
        traffic = context.peer_traffic
        self._peer_bytes.set({"direction": "sent"}, traffic.sent_bytes)
        self._peer_bytes.set({"direction": "received"}, traffic.received_bytes)
        usage = process_usage()
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        self._peak_memory.set(NO_LABELS, peak * KILOBYTE)
        self._resident_bytes.set(NO_LABELS, usage.resident_bytes)
        self._processor_seconds.set(NO_LABELS, round(usage.processor_s, 3))
        self._refresh_peers()
        self._refresh_catalogue()

    def _record_turn(self, turn_s: float, sock: socket.socket | None) -> None:
        self._turns.observe(NO_LABELS, turn_s)

    def _refresh_peers(self) -> None:
        now_s = monotonic_s()
        states = collections.Counter(
            peer.state(now_s) for peer in self._context.peer_table.peers()
        )
        for state in PeerState:
            self._peers.set({"state": state.value}, states[state])

    def _refresh_catalogue(self) -> None:
        active_catalogue = self._context.blackboard.read(CATALOGUE_SECTION)
        rejected_catalogue = self._context.blackboard.read(CATALOGUE_REFUSAL_SECTION)
        self._active_revision.set(
            NO_LABELS, active_catalogue.value.revision if active_catalogue else 0
        )
        self._rejected_revision.set(
            NO_LABELS, rejected_catalogue.value.revision if rejected_catalogue else 0
        )
        # Services that were removed from the catalogue must not remain.
        self._service_info.values.clear()
        if active_catalogue is None:
            return
        for service in active_catalogue.value.catalogue.services.values():
            labels = {"service": service.name, "class": service.call_class.value}
            self._service_info.set({**labels, "owner": service.owner}, 1)

    def _gauge(self, name: str, help_text: str) -> Gauge:
        registry = self._context.metrics.registry
        return Gauge(f"berylhaven_{name}", help_text, registry=registry)

    def _counter(self, name: str, help_text: str) -> Counter:
        registry = self._context.metrics.registry
        return Counter(f"berylhaven_{name}", help_text, registry=registry)
