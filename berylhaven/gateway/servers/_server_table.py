"""The table of the backend servers of all services."""

from collections import OrderedDict
from collections.abc import Iterable

from berylhaven.gateway.servers._evacuations import Evacuations
from berylhaven.gateway.servers._server_record import (
    ServerEntry,
    ServerRecord,
    WarmupAdmission,
)

# How long a removed server is not used after a restored copy of the store lists it
# again: the entry of a run that has ended expires within this time.
RESTORED_ENTRY_HOLD_S = 6.0
# The number of removed servers whose last state is remembered.
REMOVED_SERVERS_LIMIT = 4_096


class ServerTable:
    """Records of backend servers by id and by service."""

    __slots__ = (
        "_records",
        "_groups",
        "_removed",
        "evacuations",
        "admission",
    )

    def __init__(self) -> None:
        # This instance's part of the rates of cold servers; set once, before entries.
        self.admission: WarmupAdmission | None = None
        self._records: dict[str, ServerRecord] = {}
        # Grouped when they are next looked up, since a snapshot changes thousands of
        # records at once; None until then.
        self._groups: _Groups | None = None
        # The last records of removed servers, the latest removal last.
        self._removed: OrderedDict[str, ServerRecord] = OrderedDict()
        # The data centres to whose servers nothing may be sent.
        self.evacuations = Evacuations()

    def candidates(self, service: str) -> tuple[ServerRecord, ...]:
        """Return the servers of a service that accept new requests.

        Parameters
        ----------
        service : str
            The service's name.

        Returns
        -------
        tuple of ServerRecord
            The servers, except those that are leaving or in evacuated data centres.
        """
        return tuple(
            server
            for server in self._grouped().by_service.get(service, ())
            if not server.is_leaving
            and not self.evacuations.is_evacuated(server.entry.data_centre)
        )

    def is_evacuated(self, service: str) -> bool:
        """Return whether evacuations leave no server of a service for new requests.

        Parameters
        ----------
        service : str
            The service's name.

        Returns
        -------
        bool
            False if the service has no servers without evacuations either.
        """
        servers = self._grouped().by_service.get(service, ())
        accepting = [s for s in servers if not s.is_leaving]
        return bool(accepting) and all(
            self.evacuations.is_evacuated(s.entry.data_centre) for s in accepting
        )

    def in_data_centre(self, data_centre: str) -> list[ServerRecord]:
        """Return the records of a data centre's servers, including leaving ones."""
        return list(self._grouped().by_data_centre.get(data_centre, ()))

    def record(self, server_id: str) -> ServerRecord | None:
        """Return the record of a server, or None."""
        return self._records.get(server_id)

    def server_ids(self) -> set[str]:
        """Return the ids of all servers, including leaving ones."""
        return set(self._records)

    def records(self) -> list[ServerRecord]:
        """Return the records of all servers, including leaving ones."""
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
        """The number of servers, including leaving ones."""
        return len(self._records)

    def put(
        self,
        entry: ServerEntry,
        now_s: float,
        is_restored: bool = False,
        is_start: bool = False,
    ) -> ServerRecord:
        """Insert or update the entry of a server.

        Parameters
        ----------
        entry : ServerEntry
            The entry of a new server, or a newer entry of a listed one.
        now_s : float
            The current time on the hub's clock, in seconds.
        is_restored : bool
            Whether the entry comes from an older copy of the store.
        is_start : bool
            Whether a run that was not known may have started now.

        Returns
        -------
        ServerRecord
            The record of the server.
        """
        known = self._records.get(entry.server_id)
        # Otherwise the store's order decides: the clock of a server may go back.
        if known and is_restored and entry.is_older_run(known.entry):
            return known
        if known is not None and known.entry.is_same_run(entry):
            known.update_entry(entry, now_s)
            if not is_restored:
                known.end_hold(now_s)
        else:
            known = self._insert(entry, now_s, is_restored, is_start)
        self._groups = None
        return known

    def _insert(
        self, entry: ServerEntry, now_s: float, is_restored: bool, is_start: bool
    ) -> ServerRecord:
        former = self._records.get(entry.server_id)
        record = ServerRecord(entry, now_s, self.admission)
        self._records[entry.server_id] = record
        removed = self._removed.get(entry.server_id)
        former = former or removed
        if former is not None:
            # The turns continue, so that a restart adds nothing to the rate.
            record.warmup_share = former.warmup_share
        if removed is None or not removed.entry.is_same_run(entry):
            if removed and is_restored and entry.is_older_run(removed.entry):
                # A later run has replaced it, and has ended too.
                record.record_leaving()
            if is_start:
                record.record_possible_cold(now_s)
            return record
        if removed.is_cold(now_s):
            record.warmup_end_s = max(record.warmup_end_s, removed.warmup_end_s)
        if removed.is_leaving and entry.started_at_ms:
            record.record_leaving()
        record.quiet_until_s = removed.quiet_until_s
        record.limit = removed.limit
        record.names_limit_in_probes = removed.names_limit_in_probes
        if is_restored:
            record.hold(now_s, RESTORED_ENTRY_HOLD_S)
        return record

    def remove(self, server_id: str) -> ServerRecord | None:
        """Remove a server and return its record, or None if it was not listed."""
        record = self._records.pop(server_id, None)
        if record is not None:
            self._removed[server_id] = record
            self._removed.move_to_end(server_id)
            if len(self._removed) > REMOVED_SERVERS_LIMIT:
                self._removed.popitem(last=False)
            self._groups = None
        return record

    def _grouped(self) -> "_Groups":
        if self._groups is None:
            self._groups = _Groups(self._records.values())
        return self._groups


class _Groups:
    """The records of all servers by the groups in which they are looked up."""

    __slots__ = ("by_service", "by_data_centre")

    def __init__(self, records: Iterable[ServerRecord]) -> None:
        self.by_service: dict[str, list[ServerRecord]] = {}
        self.by_data_centre: dict[str, list[ServerRecord]] = {}
        for record in records:
            entry = record.entry
            self.by_service.setdefault(entry.service, []).append(record)
            self.by_data_centre.setdefault(entry.data_centre, []).append(record)
