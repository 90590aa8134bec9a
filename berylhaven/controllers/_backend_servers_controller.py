"""Keeps the load records consistent with the directory of backend servers."""

from aioprometheus.collectors import Gauge

from berylhaven.clock import monotonic_s
from berylhaven.controllers._context import ControllerContext
from berylhaven.controllers._registry import register_controller
from berylhaven.discovery import (
    BACKEND_SERVERS_SECTION,
    INSTANCE_LIST_SECTION,
    BackendServer,
    ListValidity,
)
from berylhaven.load import ServerLoad
from berylhaven.operations import ComponentLog
from berylhaven.results import InstanceListSuspicious

LOG = ComponentLog("backend_servers")


@register_controller("backend_servers")
class BackendServersController:
    """Merges the instance list, load reports and peers; stops calls to leaving servers.

    Parameters
    ----------
    context : ControllerContext
        Provides the directory and the load records.
    """

    interval_s = 0.25

    def __init__(self, context: ControllerContext) -> None:
        self._blackboard = context.blackboard
        self._writer = context.blackboard.claim(
            BACKEND_SERVERS_SECTION, "backend_servers"
        )
        self._directory = context.server_directory
        self._load_table = context.load_table
        self._urgent_signal = context.urgent_signal
        self._list_written_at_s = float("-inf")
        self._is_list_complete = True
        # The servers last applied to the load records, by service and address.
        self._applied: dict[str, dict[str, BackendServer]] = {}
        # Addresses whose records this controller marked as leaving; other marks come
        # from load reports.
        self._marked_here: set[str] = set()
        self._leaving = Gauge(
            "berylhaven_backend_servers_leaving",
            "Backend servers that receive no new calls.",
            registry=context.metrics.registry,
        )
        self._suspicious = Gauge(
            "berylhaven_instance_list_suspicious",
            "1 while backend servers are kept against the instance list.",
            registry=context.metrics.registry,
        )

    def step(self) -> None:
        """Apply the newest instance list and load reports to the load records."""
        now_s = monotonic_s()
        self._apply_list(now_s)
        self._apply_load_reports(now_s)
        leaving_count = 0
        for service in self._directory.services():
            leaving_count += self._update_load_records(service, now_s)
        self._leaving.set({}, leaving_count)
        if self._directory.services():
            self._writer.write(self._directory)

    def _apply_list(self, now_s: float) -> None:
        reading = self._blackboard.read(INSTANCE_LIST_SECTION)
        if reading is None or reading.written_at_s <= self._list_written_at_s:
            return
        self._list_written_at_s = reading.written_at_s
        mark_count = len(self._directory.leaving_marks())
        validity = self._directory.apply_list(reading.value.backend_servers, now_s)
        if len(self._directory.leaving_marks()) > mark_count:
            self._urgent_signal.set()
        self._record_validity(validity)

    def _record_validity(self, validity: ListValidity) -> None:
        is_complete = validity is ListValidity.ACCEPTED
        self._suspicious.set({}, int(not is_complete))
        if is_complete == self._is_list_complete:
            return
        self._is_list_complete = is_complete
        if is_complete:
            LOG.info("The instance list is complete again.")
            return
        code = InstanceListSuspicious.code
        services = ", ".join(self._directory.missing_services())
        LOG.error(
            "%d %s: the instance list lacks servers of %s; keeping the last known.",
            code.number,
            code.name,
            services,
        )

    def _apply_load_reports(self, now_s: float) -> None:
        for service in self._load_table.services():
            for record in self._load_table.candidates(service):
                if record.is_leaving and record.address not in self._marked_here:
                    self._mark_leaving(service, record.address, now_s)

    def _mark_leaving(self, service: str, address: str, now_s: float) -> None:
        server = self._directory.server(service, address)
        if server is None:
            return
        if self._directory.mark_leaving(address, server.incarnation, now_s):
            LOG.info("Backend server %s reports that it is leaving.", address)
            self._urgent_signal.set()

    def _update_load_records(self, service: str, now_s: float) -> int:
        applied = self._applied.get(service, {})
        kept_servers = {
            server.address: server
            for server in self._directory.available_servers(service)
        }
        leaving_count = len(self._directory.servers(service)) - len(kept_servers)
        for record in self._load_table.candidates(service):
            if record.address in kept_servers:
                self._unmark_record(record)
            elif record.own_in_flight > 0:
                # The record is kept while calls are in flight, without new calls.
                self._mark_record(record)
                kept_servers[record.address] = applied[record.address]
        if kept_servers != applied:
            self._load_table.update_servers(service, kept_servers.values(), now_s)
            self._applied[service] = kept_servers
        return leaving_count

    def _mark_record(self, record: ServerLoad) -> None:
        if not record.is_leaving:
            record.is_leaving = True
            self._marked_here.add(record.address)

    def _unmark_record(self, record: ServerLoad) -> None:
        if record.address in self._marked_here:
            # The server was missing from the list for a while, but did not report that
            # it is leaving.
            self._marked_here.discard(record.address)
            record.is_leaving = False
