"""The directory of backend servers, merged from the instance list and other sources."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from berylhaven.blackboard import Section
from berylhaven.discovery._instances import BackendServer

# A list that lacks most of a service's servers is accepted only after this time; one
# that lacks all of them is never accepted.
SHRUNK_LIST_HOLD_S = 30.0
# A list with less than this share of a service's available servers is suspicious.
PLAUSIBLE_LIST_RATIO = 0.5
# After this time neither a lagging list nor an update from a peer contains a server's
# state from before it left, so its leaving mark can be dropped.
LEAVING_MARK_RETENTION_S = 7_200.0
# The maximum number of leaving marks in memory.
LEAVING_MARK_LIMIT = 4_096


class ListValidity(enum.Enum):
    """The result of validating an instance list."""

    ACCEPTED = "believed"
    SUSPICIOUS = "suspicious"


@dataclass(slots=True)
class LeavingMark:
    """A mark that an incarnation of a backend server is draining."""

    # HOST:PORT of the backend server.
    address: str
    # The latest draining incarnation; it and all earlier ones accept no new calls.
    incarnation: int
    # When the mark was set, on the hub's clock.
    known_at_s: float


class ServerDirectory:
    """Backend servers by service; an incarnation that drains never returns."""

    __slots__ = ("_services", "_marks", "_missing_since_s")

    def __init__(self) -> None:
        # Servers by service name, then by address.
        self._services: dict[str, dict[str, BackendServer]] = {}
        self._marks: dict[str, LeavingMark] = {}
        self._missing_since_s: dict[str, float] = {}

    def apply_list(
        self, servers: Iterable[BackendServer], now_s: float
    ) -> ListValidity:
        """Apply an instance list to the directory.

        Parameters
        ----------
        servers : iterable of BackendServer
            All backend servers in the list.
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        ListValidity
            SUSPICIOUS if servers of a service were kept although the list lacks them.
        """
        listed: dict[str, dict[str, BackendServer]] = {}
        for server in servers:
            listed.setdefault(server.service, {})[server.address] = server
            if server.is_leaving:
                self.mark_leaving(server.address, server.incarnation, now_s)
        validity = ListValidity.ACCEPTED
        for service in self._services.keys() | listed.keys():
            shown = listed.get(service, {})
            if self._is_accepted(service, shown, now_s):
                self._missing_since_s.pop(service, None)
                self._services[service] = self._merged(service, shown)
            else:
                validity = ListValidity.SUSPICIOUS
                self._services[service].update(self._merged(service, shown))
        self._drop_old_marks(now_s)
        return validity

    def mark_leaving(self, address: str, incarnation: int, now_s: float) -> bool:
        """Mark a backend server as draining.

        Parameters
        ----------
        address : str
            HOST:PORT of the backend server.
        incarnation : int
            The incarnation that is draining.
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        bool
            Whether the mark is new.
        """
        mark = self._marks.get(address)
        if mark is not None and mark.incarnation >= incarnation:
            return False
        if mark is None and len(self._marks) >= LEAVING_MARK_LIMIT:
            oldest = min(self._marks.values(), key=lambda m: m.known_at_s)
            del self._marks[oldest.address]
        self._marks[address] = LeavingMark(address, incarnation, now_s)
        return True

    def is_leaving(self, server: BackendServer) -> bool:
        """Return whether a backend server is draining and accepts no new calls."""
        mark = self._marks.get(server.address)
        return mark is not None and mark.incarnation >= server.incarnation

    def server(self, service: str, address: str) -> BackendServer | None:
        """Return the backend server of a service at an address, or None."""
        return self._services.get(service, {}).get(address)

    def servers(self, service: str) -> list[BackendServer]:
        """Return all known backend servers of a service, including draining ones."""
        return list(self._services.get(service, {}).values())

    def available_servers(self, service: str) -> list[BackendServer]:
        """Return the backend servers of a service that accept new calls."""
        return [s for s in self.servers(service) if not self.is_leaving(s)]

    def services(self) -> list[str]:
        """Return the names of the services that have or had backend servers."""
        return list(self._services)

    def leaving_marks(self) -> list[LeavingMark]:
        """Return the marks of draining servers, to be sent to peers."""
        return list(self._marks.values())

    def missing_services(self) -> list[str]:
        """Return the services whose servers are kept although the list lacks them."""
        return sorted(self._missing_since_s)

    def _is_accepted(
        self, service: str, shown: dict[str, BackendServer], now_s: float
    ) -> bool:
        known_count = len(self.available_servers(service))
        if len(shown) >= PLAUSIBLE_LIST_RATIO * known_count:
            return True
        since_s = self._missing_since_s.setdefault(service, now_s)
        return bool(shown) and now_s - since_s >= SHRUNK_LIST_HOLD_S

    def _merged(
        self, service: str, shown: dict[str, BackendServer]
    ) -> dict[str, BackendServer]:
        known = self._services.get(service, {})
        merged = {}
        for address, server in shown.items():
            before = known.get(address)
            # A lagging list must not restore an earlier incarnation.
            is_older = before is not None and before.incarnation > server.incarnation
            merged[address] = before if is_older else server
        return merged

    def _drop_old_marks(self, now_s: float) -> None:
        listed = {a for servers in self._services.values() for a in servers}
        for address, mark in list(self._marks.items()):
            is_old = now_s - mark.known_at_s > LEAVING_MARK_RETENTION_S
            if is_old and address not in listed:
                del self._marks[address]


# Written by the backend servers controller once the servers are known and in use.
BACKEND_SERVERS_SECTION = Section[ServerDirectory]("backend_servers")
