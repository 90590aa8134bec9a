"""The table of the backend servers of all services."""

from berylhaven.gateway._server_record import ServerEntry, ServerRecord


class ServerTable:
    """Records of backend servers by id, and by service those that accept requests."""

    __slots__ = ("_records", "_by_service")

    def __init__(self) -> None:
        self._records: dict[str, ServerRecord] = {}
        self._by_service: dict[str, tuple[ServerRecord, ...]] = {}

    def candidates(self, service: str) -> tuple[ServerRecord, ...]:
        """Return the servers of a service that accept new requests.

        Parameters
        ----------
        service : str
            The service's name.

        Returns
        -------
        tuple of ServerRecord
            The servers, except those that are draining.
        """
        return self._by_service.get(service, ())

    def record(self, server_id: str) -> ServerRecord | None:
        """Return the record of a server, or None."""
        return self._records.get(server_id)

    def server_ids(self) -> set[str]:
        """Return the ids of all servers, including draining ones."""
        return set(self._records)

    def records(self) -> list[ServerRecord]:
        """Return the records of all servers, including draining ones."""
        return list(self._records.values())

    def service_at(self, address: str) -> str | None:
        """Return the service of the server at an address, or None.

        Parameters
        ----------
        address : str
            The address as HOST:PORT.

        Returns
        -------
        str or None
            The service's name.
        """
        for record in self._records.values():
            if record.entry.address == address:
                return record.entry.service
        return None

    @property
    def server_count(self) -> int:
        """The number of servers, including draining ones."""
        return len(self._records)

    def put(self, entry: ServerEntry, now_s: float) -> None:
        """Insert or update the entry of a server.

        Parameters
        ----------
        entry : ServerEntry
            The entry of a new server, or a newer entry of a listed one.
        now_s : float
            The current time on the hub's clock, in seconds.
        """
        known = self._records.get(entry.server_id)
        if known is None or not known.entry.is_same_run(entry):
            self._records[entry.server_id] = ServerRecord(entry, now_s)
        else:
            known.update_entry(entry, now_s)
        self._regroup()

    def remove(self, server_id: str) -> ServerRecord | None:
        """Remove a server and return its record, or None if it was not listed."""
        record = self._records.pop(server_id, None)
        if record is not None:
            self._regroup()
        return record

    def _regroup(self) -> None:
        groups: dict[str, list[ServerRecord]] = {}
        for record in self._records.values():
            if not record.entry.is_leaving:
                groups.setdefault(record.entry.service, []).append(record)
        self._by_service = {name: tuple(group) for name, group in groups.items()}
