"""The platform's list of live and draining instances, which lags."""

from dataclasses import dataclass

from berylhaven.blackboard import Section


@dataclass(slots=True, frozen=True)
class BackendServer:
    """One backend server in the instance list."""

    # HOST:PORT for calls.
    address: str
    # The name of the service that the server runs.
    service: str
    # The data centre in which it runs.
    data_centre: str
    # The number of calls that the server runs at the same time.
    slot_count: int
    # Increases with each start at the same address.
    incarnation: int
    # Whether the server is draining and accepts no new calls.
    is_leaving: bool


@dataclass(slots=True, frozen=True)
class EntryInstance:
    """One entry instance in the instance list."""

    # HOST:PORT for the other entry instances.
    peers_address: str
    # The data centre in which it runs.
    data_centre: str
    # Whether the instance is draining.
    is_leaving: bool


@dataclass(slots=True, frozen=True)
class InstanceList:
    """The complete list of one read."""

    # The backend servers of all services.
    backend_servers: tuple[BackendServer, ...] = ()
    # The entry instances of the firm whose list was read.
    entry_instances: tuple[EntryInstance, ...] = ()

    def servers_of(self, service: str) -> list[BackendServer]:
        """Return the backend servers of a service, including draining ones."""
        return [s for s in self.backend_servers if s.service == service]


# Written by the instance list controller.
INSTANCE_LIST_SECTION = Section[InstanceList]("instance_list")
