"""The backend servers of all services, as the gateway knows them."""

from berylhaven.gateway._server_record import ServerEntry, ServerRecord


class ServerTable:
    """Records of backend servers by id, and by service those that take requests."""

    __slots__ = ("_records", "_by_service")

    def __init__(self) -> None:
        self._records: dict[str, ServerRecord] = {}
        self._by_service: dict[str, tuple[ServerRecord, ...]] = {}

    def candidates(self, service: str) -> tuple[ServerRecord, ...]:
        """Return the servers of a service that take new requests.

        Parameters
        ----------
        service : str
            The service's name.

        Returns
        -------
        tuple of ServerRecord
            Without those that are leaving.
        """
        return self._by_service.get(service, ())

    def record(self, server_id: str) -> ServerRecord | None:
        """Return the record of a server, or None."""
        return self._records.get(server_id)

    def server_ids(self) -> set[str]:
        """Return the ids of all servers, leaving ones too."""
        return set(self._records)

    def records(self) -> list[ServerRecord]:
        """Return the records of all servers, leaving ones too."""
        return list(self._records.values())

    def service_at(self, address: str) -> str | None:
        """Return the service of the server at an address, or None.

        Parameters
        ----------
        address : str
            HOST:PORT.

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
        """All servers, leaving ones too."""
        return len(self._records)

    def put(self, entry: ServerEntry, now_s: float) -> None:
        """Take in the entry of a server.

        Parameters
        ----------
        entry : ServerEntry
            A new one, or a newer one of a known server.
        now_s : float
            The time on the hub's clock.
        """
        known = self._records.get(entry.server_id)
        if known is None or not known.entry.is_same_run(entry):
            self._records[entry.server_id] = ServerRecord(entry, now_s)
        else:
            known.update_entry(entry, now_s)
        self._regroup()

    def remove(self, server_id: str) -> ServerRecord | None:
        """Forget a server, and return its record if there was one."""
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
