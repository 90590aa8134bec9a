"""Keeps the directory of backend servers and the load records in step."""

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
    """Merges list, answers and peers, and stops new work at leaving servers.

    Parameters
    ----------
    context : ControllerContext
        With the directory and the load records.
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
        self._list_read_at_s = float("-inf")
        self._is_list_sound = True
        # What the load records were last made to match, by service and address.
        self._applied: dict[str, dict[str, BackendServer]] = {}
        # Servers whose records were marked here and not by an answer of theirs.
        self._held: set[str] = set()
        self._leaving = Gauge(
            "berylhaven_backend_servers_leaving",
            "Backend servers that take no new calls.",
            registry=context.metrics.registry,
        )
        self._suspicious = Gauge(
            "berylhaven_instance_list_suspicious",
            "1 while backend servers are kept against the instance list.",
            registry=context.metrics.registry,
        )

    def step(self) -> None:
        """Take in what is new and apply it."""
        now_s = monotonic_s()
        self._take_list(now_s)
        self._take_answers(now_s)
        leaving_count = 0
        for service in self._directory.services():
            leaving_count += self._apply(service, now_s)
        self._leaving.set({}, leaving_count)
        if self._directory.services():
            self._writer.write(self._directory)

    def _take_list(self, now_s: float) -> None:
        reading = self._blackboard.read(INSTANCE_LIST_SECTION)
        if reading is None or reading.written_at_s <= self._list_read_at_s:
            return
        self._list_read_at_s = reading.written_at_s
        mark_count = len(self._directory.leaving_marks())
        verdict = self._directory.apply_list(reading.value.backend_servers, now_s)
        if len(self._directory.leaving_marks()) > mark_count:
            self._urgent_signal.set()
        self._tell(verdict)

    def _tell(self, verdict: ListValidity) -> None:
        is_sound = verdict is ListValidity.ACCEPTED
        self._suspicious.set({}, int(not is_sound))
        if is_sound == self._is_list_sound:
            return
        self._is_list_sound = is_sound
        if is_sound:
            LOG.info("The instance list is complete again.")
            return
        code = InstanceListSuspicious.code
        services = ", ".join(self._directory.missing_services())
        LOG.error(
            "%d %s: the list lacks servers of %s. The last known servers stay.",
            code.number,
            code.name,
            services,
        )

    def _take_answers(self, now_s: float) -> None:
        for service in self._load_table.services():
            for record in self._load_table.candidates(service):
                if record.is_leaving and record.address not in self._held:
                    self._mark(service, record.address, now_s)

    def _mark(self, service: str, address: str, now_s: float) -> None:
        known = self._directory.server(service, address)
        if known is None:
            return
        if self._directory.mark_leaving(address, known.incarnation, now_s):
            LOG.info("Backend server %s says that it leaves.", address)
            self._urgent_signal.set()

    def _apply(self, service: str, now_s: float) -> int:
        applied = self._applied.get(service, {})
        kept = {
            server.address: server
            for server in self._directory.available_servers(service)
        }
        leaving_count = len(self._directory.servers(service)) - len(kept)
        for record in self._load_table.candidates(service):
            if record.address in kept:
                self._release(record)
            elif record.own_in_flight > 0:
                # Its record stays while calls are in flight, and takes no new ones.
                self._hold(record)
                kept[record.address] = applied[record.address]
        if kept != applied:
            self._load_table.update_servers(service, kept.values(), now_s)
            self._applied[service] = kept
        return leaving_count

    def _hold(self, record: ServerLoad) -> None:
        if not record.is_leaving:
            record.is_leaving = True
            self._held.add(record.address)

    def _release(self, record: ServerLoad) -> None:
        if record.address in self._held:
            # The list had lost it for a while; it never said that it leaves.
            self._held.discard(record.address)
            record.is_leaving = False
