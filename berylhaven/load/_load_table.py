"""The load records of all backend servers, by service."""

from collections.abc import Iterable

from berylhaven.blackboard import Section
from berylhaven.discovery import BackendServer
from berylhaven.load._server_load import COLD_START_S, ServerLoad
from berylhaven.load._service_load import ServiceLoad


class _ServiceRecords:
    """The records of one service and the candidates among them."""

    __slots__ = ("load", "incarnations", "servers", "candidates")

    def __init__(self) -> None:
        self.load = ServiceLoad()
        self.incarnations: dict[str, int] = {}
        self.servers: dict[str, ServerLoad] = {}
        self.candidates: tuple[ServerLoad, ...] = ()


class LoadTable:
    """Load records that are kept while the list of backend servers changes."""

    __slots__ = ("_services",)

    def __init__(self) -> None:
        self._services: dict[str, _ServiceRecords] = {}

    def update_servers(
        self,
        service: str,
        servers: Iterable[BackendServer],
        now_s: float | None = None,
    ) -> None:
        """Make the records of a service match its backend servers.

        Parameters
        ----------
        service : str
            The service's name.
        servers : iterable of BackendServer
            Those that take new calls; records of others are dropped.
        now_s : float or None
            The time on the hub's clock, from which new servers count as cold;
            None if no server is cold.
        """
        records = self._services.get(service)
        if records is None:
            # Servers of the first list were most likely there before this instance.
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
        """Return what a service's backend servers have in common, or None."""
        records = self._services.get(service)
        return records.load if records else None

    def services(self) -> list[str]:
        """Return the names of the services that have records."""
        return list(self._services)


def _record(
    records: _ServiceRecords, server: BackendServer, now_s: float | None
) -> ServerLoad:
    known = records.servers.get(server.address)
    if known is not None and (
        records.incarnations[server.address] == server.incarnation
    ):
        known.slot_count = server.slot_count
        return known
    # A new incarnation on an old address has nothing of its predecessor's load.
    if known is not None:
        records.load.readmit(known)
    record = ServerLoad(
        server.address, server.data_centre, server.slot_count, records.load
    )
    if now_s is not None:
        record.cold_until_s = now_s + COLD_START_S
        record.has_penalty = True
    return record


# Written by the load controller; the table itself changes with each call.
LOAD_SECTION = Section[LoadTable]("load")
