"""The uploads in flight to each server, within what the servers are known to bear."""

import collections
from collections.abc import Callable

from berylhaven.event_log import EventLog
from berylhaven.gateway.callers._request import GatewayRequest
from berylhaven.gateway.servers._server_record import ServerRecord
from berylhaven.gateway.store._fleet_source import ServerEntry
from berylhaven.overload import SMALL_BYTES, UploadLimit

# The number of servers that are chosen for one attempt while each holds enough uploads.
CHOICES_LIMIT = 4
# The Retry-After value while all of these servers hold enough uploads.
UPLOADS_RETRY_AFTER_S = 0.5
# The number of ended runs of servers that are remembered, so that the uploads of one
# crash decrease the limit once.
ENDED_RUNS_LIMIT = 256


class ServerUploads:
    """Counts the bytes of uploads at each server and keeps their limit by service.

    Servers of a service have the same memory, and a server that starts again may have
    another id, so the limit belongs to the service.

    Parameters
    ----------
    event_log : EventLog
        Receives a line for each decrease of a limit.
    """

    __slots__ = ("_event_log", "_in_flight_bytes", "_limits", "_ended_runs")

    def __init__(self, event_log: EventLog) -> None:
        self._event_log = event_log
        self._in_flight_bytes: collections.Counter[str] = collections.Counter()
        self._limits: collections.defaultdict[str, UploadLimit]
        self._limits = collections.defaultdict(UploadLimit)
        self._ended_runs: collections.deque[tuple[str, int]]
        self._ended_runs = collections.deque(maxlen=ENDED_RUNS_LIMIT)

    def limit_bytes(self, service: str) -> int:
        """Return how many bytes one server of a service gets at a time."""
        return self._limits[service].limit_bytes

    def admits(self, request: GatewayRequest, server: ServerRecord) -> bool:
        """Return whether a request may be sent to a server now.

        Parameters
        ----------
        request : GatewayRequest
            The request.
        server : ServerRecord
            The server.

        Returns
        -------
        bool
            True for a small body.
        """
        size_bytes = upload_bytes(request)
        entry = server.entry
        in_flight_bytes = self._in_flight_bytes[entry.address]
        return not size_bytes or self._limits[entry.service].admits(
            size_bytes, in_flight_bytes
        )

    def add(self, request: GatewayRequest, server: ServerRecord) -> None:
        """Count a request that is sent to a server."""
        if size_bytes := upload_bytes(request):
            self._in_flight_bytes[server.entry.address] += size_bytes

    def remove(
        self, request: GatewayRequest, server: ServerRecord, is_answered: bool
    ) -> None:
        """Count a request as no longer held by a server.

        Parameters
        ----------
        request : GatewayRequest
            The request.
        server : ServerRecord
            The server.
        is_answered : bool
            Whether the server answered it.
        """
        size_bytes = upload_bytes(request)
        if not size_bytes:
            return
        address, service = server.entry.address, server.entry.service
        self._in_flight_bytes[address] -= size_bytes
        if self._in_flight_bytes[address] <= 0:
            del self._in_flight_bytes[address]
        if is_answered:
            self._limits[service] = self._limits[service].after_answer(size_bytes)

    def crash_recorder(self, server: ServerRecord) -> Callable[[ServerEntry], None]:
        """Return what records that a server ended with the uploads that it holds now.

        Parameters
        ----------
        server : ServerRecord
            The server whose connection broke.

        Returns
        -------
        callable
            To be called with the server's entry if this run of the server has ended.
        """
        held_bytes = self._in_flight_bytes[server.entry.address]

        def record(entry: ServerEntry) -> None:
            """Decrease the limit of the server's service."""
            run = (entry.server_id, entry.started_at_ms)
            if not held_bytes or run in self._ended_runs:
                return
            self._ended_runs.append(run)
            former = self._limits[entry.service]
            self._limits[entry.service] = former.after_crash(held_bytes)
            self._event_log.write_failure(
                "memory",
                "upload limit decreased",
                service=entry.service,
                server=entry.server_id,
                held_bytes=held_bytes,
                former_limit_bytes=former.limit_bytes,
                limit_bytes=self._limits[entry.service].limit_bytes,
            )

        return record


def upload_bytes(request: GatewayRequest) -> int:
    """Return the size of a request's body if it counts as an upload, or 0.

    Parameters
    ----------
    request : GatewayRequest
        A request whose first part was read.

    Returns
    -------
    int
        Of a chunked body, the size of its first part.
    """
    size_bytes = request.body.content_length
    if size_bytes is None:
        size_bytes = request.body.buffered_bytes
    return size_bytes if size_bytes > SMALL_BYTES else 0
