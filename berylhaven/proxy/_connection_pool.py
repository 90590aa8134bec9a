"""Open connections to backend servers, each carrying one call at a time."""

from urllib3.connection import HTTPConnection


class ConnectionPool:
    """Idle connections by backend server."""

    __slots__ = ("_idle",)

    def __init__(self) -> None:
        self._idle: dict[str, list[HTTPConnection]] = {}

    def acquire(self, address: str) -> HTTPConnection:
        """Return an idle connection to a server, or a new one, not yet open.

        Parameters
        ----------
        address : str
            HOST:PORT of the backend server.

        Returns
        -------
        HTTPConnection
            For one call at a time.
        """
        idle = self._idle.get(address)
        if idle:
            return idle.pop()
        host, _, port = address.rpartition(":")
        return HTTPConnection(host, int(port))

    def put_back(
        self, address: str, connection: HTTPConnection, is_reusable: bool
    ) -> None:
        """Keep a connection for another call, or close it.

        Parameters
        ----------
        address : str
            HOST:PORT of the backend server.
        connection : HTTPConnection
            The connection that `acquire` returned.
        is_reusable : bool
            Whether its last answer was read to the exact end.
        """
        if is_reusable:
            self._idle.setdefault(address, []).append(connection)
        else:
            connection.close()

    def open_count(self) -> int:
        """Return how many idle connections are kept."""
        return sum(len(idle) for idle in self._idle.values())
