"""The load records of all backend servers, by service."""

from collections.abc import Iterable

from berylhaven.blackboard import Section
from berylhaven.discovery import BackendServer
from berylhaven.load._server_load import COLD_START_S, ServerLoad
from berylhaven.load._service_load import ServiceLoad


class _ServiceRecords:
    """The load records of one service, and the candidates for its calls."""

    __slots__ = ("load", "incarnations", "servers", "candidates")

    def __init__(self) -> None:
        self.load = ServiceLoad()
        self.incarnations: dict[str, int] = {}
        self.servers: dict[str, ServerLoad] = {}
        self.candidates: tuple[ServerLoad, ...] = ()


class LoadTable:
    """Load records, kept across changes of the list of backend servers."""

    __slots__ = ("_services",)

    def __init__(self) -> None:
        self._services: dict[str, _ServiceRecords] = {}

    def update_servers(
        self,
        service: str,
        servers: Iterable[BackendServer],
        now_s: float | None = None,
    ) -> None:
        """Add and remove records so that they match the backend servers of a service.

        Parameters
        ----------
        service : str
            The service's name.
        servers : iterable of BackendServer
            The servers that accept new calls; records of other servers are removed.
        now_s : float or None
            The time on the hub's clock at which the cold start of new servers
            begins; None if new servers have no cold start.
        """
        records = self._services.get(service)
        if records is None:
            # Servers of the first list were most likely running before this instance
            # started, so they have no cold start.
            records = self._services[service] = _ServiceRecords()
            now_s = None
        kept = {}
        for server in servers:
            kept[server.address] = _record(records, server, now_s)
            records.incarnations[server.address] = server.incarnation
        records.servers = kept
        records.load.server_count = max(1, len(kept))
        records.candidates = tuple(kept.values())

    def candidates(self, service: str) -> tuple[ServerLoad, ...]:
        """Return the records of a service's backend servers."""
        records = self._services.get(service)
        return records.candidates if records else ()

    def server(self, service: str, address: str) -> ServerLoad | None:
        """Return the record of one backend server, or None."""
        records = self._services.get(service)
        return records.servers.get(address) if records else None

    def service_load(self, service: str) -> ServiceLoad | None:
        """Return the means over a service's backend servers, or None."""
        records = self._services.get(service)
        return records.load if records else None

    def services(self) -> list[str]:
        """Return the names of the services that have records."""
        return list(self._services)


def _record(
    records: _ServiceRecords, server: BackendServer, now_s: float | None
) -> ServerLoad:
    existing = records.servers.get(server.address)
    if existing is not None and (
        records.incarnations[server.address] == server.incarnation
    ):
        existing.slot_count = server.slot_count
        return existing
    # A new incarnation at the same address starts with an empty record: the load
    # of its predecessor does not apply to it.
    if existing is not None:
        records.load.readmit(existing)
    record = ServerLoad(
        server.address, server.data_centre, server.slot_count, records.load
    )
    if now_s is not None:
        record.cold_until_s = now_s + COLD_START_S
        record.has_penalty = True
    return record


# The load controller writes this section; the table itself changes with each call.
LOAD_SECTION = Section[LoadTable]("load")
