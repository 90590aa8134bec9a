"""The simulated servers of one service."""

from bench.routing._fake_server import FakeServer
from bench.routing._firms import DATA_CENTRES
from berylhaven.discovery import BackendServer


def data_centre_of(index: int) -> str:
    """Return the data centre of the server or instance with an index."""
    return DATA_CENTRES[index % len(DATA_CENTRES)]


class FakeService:
    """The simulated servers of one service and their rows in the instance list.

    Parameters
    ----------
    name : str
        The service's name.
    servers : list of FakeServer
        The service's servers.
    """

    __slots__ = ("name", "servers", "incarnations", "rate_per_s")

    def __init__(self, name: str, servers: list[FakeServer]) -> None:
        self.name = name
        self.servers = servers
        # By server index, incremented when the server returns after a drain.
        self.incarnations = [1] * len(servers)
        # Calls per second from all instances together.
        self.rate_per_s = 0.0

    def rows(self) -> list[BackendServer]:
        """Return the instance list's rows of the servers that are not leaving."""
        return [
            BackendServer(
                self.address(index),
                self.name,
                data_centre_of(index),
                server.slot_count,
                self.incarnations[index],
                is_leaving=False,
            )
            for index, server in enumerate(self.servers)
            if not server.is_leaving
        ]

    def address(self, index: int) -> str:
        """Return the address of the server with an index."""
        return f"{self.name}-{index}:80"

    def server(self, address: str) -> FakeServer:
        """Return the server with an address."""
        index = address.removeprefix(self.name + "-").removesuffix(":80")
        return self.servers[int(index)]
