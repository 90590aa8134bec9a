"""The platform's lagging list of live and leaving instances."""

from dataclasses import dataclass

from berylhaven.blackboard import Section


@dataclass(slots=True, frozen=True)
class BackendServer:
    """One backend server as the instance list names it."""

    # HOST:PORT for calls.
    address: str
    # The service that it runs.
    service: str
    # Where it stands.
    data_centre: str
    # How many calls it runs at once.
    slot_count: int
    # Rises with each start on the same address.
    incarnation: int
    # Whether it takes no new calls.
    is_leaving: bool


@dataclass(slots=True, frozen=True)
class EntryInstance:
    """One entry instance as the instance list names it."""

    # HOST:PORT for the other entry instances.
    peers_address: str
    # Where it stands.
    data_centre: str
    # Whether it is leaving.
    is_leaving: bool


@dataclass(slots=True, frozen=True)
class InstanceList:
    """The whole list as it was read."""

    # The backend servers of all services.
    backend_servers: tuple[BackendServer, ...] = ()
    # The entry instances of the firm.
    entry_instances: tuple[EntryInstance, ...] = ()

    def servers_of(self, service: str) -> list[BackendServer]:
        """Return the backend servers of a service, leaving ones too."""
        return [s for s in self.backend_servers if s.service == service]


# Written by the instance list controller.
INSTANCE_LIST_SECTION = Section[InstanceList]("instance_list")
