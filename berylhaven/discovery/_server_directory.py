"""Which backend servers take new calls, merged from all that tells of it."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from berylhaven.blackboard import Section
from berylhaven.discovery._instances import BackendServer

# A list that lacks most of a service's servers is believed after as long; one that
# lacks them all is not believed at all.
SHRUNK_LIST_HOLD_S = 30.0
# A list that showed fewer than this part of a service's servers is suspicious.
BELIEVED_RATIO = 0.5
# Beyond this time no list lags, and no peer's news comes from before.
FORGET_AFTER_S = 7_200.0
# Bounds the memory of servers that leave.
LEAVING_LIMIT = 4_096


class ListValidity(enum.Enum):
    """What the directory thinks of a list that was read."""

    ACCEPTED = "believed"
    SUSPICIOUS = "suspicious"


@dataclass(slots=True)
class LeavingMark:
    """An incarnation of a backend server that is leaving."""

    # HOST:PORT of the backend server.
    address: str
    # The last incarnation known to leave; it and all before take no new calls.
    incarnation: int
    # When this became known, on the hub's clock.
    known_at_s: float


class ServerDirectory:
    """Backend servers by service; leaving only goes forward for an incarnation."""

    __slots__ = ("_services", "_marks", "_missing_since_s")

    def __init__(self) -> None:
        # By service, then by address.
        self._services: dict[str, dict[str, BackendServer]] = {}
        self._marks: dict[str, LeavingMark] = {}
        self._missing_since_s: dict[str, float] = {}

    def apply_list(
        self, servers: Iterable[BackendServer], now_s: float
    ) -> ListValidity:
        """Take in the instance list.

        Parameters
        ----------
        servers : iterable of BackendServer
            All that the list shows.
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        ListValidity
            SUSPICIOUS if the servers of some service were kept against the list.
        """
        listed: dict[str, dict[str, BackendServer]] = {}
        for server in servers:
            listed.setdefault(server.service, {})[server.address] = server
            if server.is_leaving:
                self.mark_leaving(server.address, server.incarnation, now_s)
        verdict = ListValidity.ACCEPTED
        for service in self._services.keys() | listed.keys():
            shown = listed.get(service, {})
            if self._is_believed(service, shown, now_s):
                self._missing_since_s.pop(service, None)
                self._services[service] = self._merged(service, shown)
            else:
                verdict = ListValidity.SUSPICIOUS
                self._services[service].update(self._merged(service, shown))
        self._forget(now_s)
        return verdict

    def mark_leaving(self, address: str, incarnation: int, now_s: float) -> bool:
        """Note that a backend server is leaving.

        Parameters
        ----------
        address : str
            HOST:PORT of the backend server.
        incarnation : int
            Which of its runs leaves.
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        bool
            Whether this is news.
        """
        mark = self._marks.get(address)
        if mark is not None and mark.incarnation >= incarnation:
            return False
        if mark is None and len(self._marks) >= LEAVING_LIMIT:
            oldest = min(self._marks.values(), key=lambda m: m.known_at_s)
            del self._marks[oldest.address]
        self._marks[address] = LeavingMark(address, incarnation, now_s)
        return True

    def is_leaving(self, server: BackendServer) -> bool:
        """Tell whether a backend server takes no new calls."""
        mark = self._marks.get(server.address)
        return mark is not None and mark.incarnation >= server.incarnation

    def server(self, service: str, address: str) -> BackendServer | None:
        """Return one backend server as it is known, or None."""
        return self._services.get(service, {}).get(address)

    def servers(self, service: str) -> list[BackendServer]:
        """Return all known backend servers of a service, leaving ones too."""
        return list(self._services.get(service, {}).values())

    def available_servers(self, service: str) -> list[BackendServer]:
        """Return the backend servers of a service that take new calls."""
        return [s for s in self.servers(service) if not self.is_leaving(s)]

    def services(self) -> list[str]:
        """Return the names of the services that have or had servers."""
        return list(self._services)

    def leaving_marks(self) -> list[LeavingMark]:
        """Return what is known to leave, for peers."""
        return list(self._marks.values())

    def missing_services(self) -> list[str]:
        """Return the services whose servers are kept against the list."""
        return sorted(self._missing_since_s)

    def _is_believed(
        self, service: str, shown: dict[str, BackendServer], now_s: float
    ) -> bool:
        known_count = len(self.available_servers(service))
        if len(shown) >= BELIEVED_RATIO * known_count:
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
            # A lagging list must not bring an earlier incarnation back.
            is_older = before is not None and before.incarnation > server.incarnation
            merged[address] = before if is_older else server
        return merged

    def _forget(self, now_s: float) -> None:
        listed = {a for servers in self._services.values() for a in servers}
        for address, mark in list(self._marks.items()):
            is_old = now_s - mark.known_at_s > FORGET_AFTER_S
            if is_old and address not in listed:
                del self._marks[address]


# Written by the backend servers controller once servers are known and in use.
BACKEND_SERVERS_SECTION = Section[ServerDirectory]("backend_servers")
