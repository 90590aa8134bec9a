"""The load records of all backend servers, by service."""

from collections.abc import Iterable

from berylhaven.blackboard import Section
from berylhaven.load._server_load import ServerLoad
from berylhaven.platform import BackendServer


class LoadTable:
    """Load records that are kept while the list of backend servers changes."""

    __slots__ = ("_services",)

    def __init__(self) -> None:
        self._services: dict[str, dict[str, ServerLoad]] = {}

    def update_servers(self, service: str, servers: Iterable[BackendServer]) -> None:
        """Make the records of a service match its backend servers.

        Parameters
        ----------
        service : str
            The service's name.
        servers : iterable of BackendServer
            Those that take new calls; records of others are dropped.
        """
        known = self._services.get(service, {})
        kept = {}
        for server in servers:
            record = known.get(server.address)
            if record is None:
                record = ServerLoad(
                    server.address, server.data_centre, server.slot_count
                )
            kept[server.address] = record
        self._services[service] = kept

    def candidates(self, service: str) -> list[ServerLoad]:
        """Return the records of a service's backend servers."""
        return list(self._services.get(service, {}).values())

    def services(self) -> list[str]:
        """Return the names of the services that have records."""
        return list(self._services)


# Written by the load controller; the table itself changes with each call.
LOAD_SECTION = Section[LoadTable]("load")
