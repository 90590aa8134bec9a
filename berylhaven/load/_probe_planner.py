"""Which backend servers to probe next, within the measuring budget."""

import math
from dataclasses import dataclass
from random import Random

from berylhaven.catalogue import Catalogue, ServiceEntry
from berylhaven.load._load_table import LoadTable
from berylhaven.load._probe_budget import (
    MILLISECONDS_PER_SECOND,
    ProbeBudget,
    budget_share_ms_per_s,
)
from berylhaven.load._server_load import ServerLoad

# While answers and peers bring news this often, a probe would tell little.
FRESH_NEWS_S = 1.0
# A service that gets no calls needs no news, but for now and then.
IDLE_NEWS_S = 10.0
PROBES_AT_ONCE = 4
# A probe is given up after this many times its expected cost.
GIVE_UP_RATIO = 4.0
GIVE_UP_MINIMUM_MS = 20.0
# Doubt about a server makes its news worth more.
DOUBT_WEIGHT = 4.0


@dataclass(slots=True)
class Probe:
    """One probe that was paid for."""

    # The service's name.
    service: str
    # The server to probe.
    server: ServerLoad
    # What it is expected to cost, in milliseconds of a slot.
    cost_ms: float
    # It is given up after this time, and was paid in full, in milliseconds.
    timeout_ms: float

    def charged_ms(self, duration_s: float) -> float:
        """Return the cost of a probe that lasted so long, in milliseconds."""
        lasted_ms = duration_s * MILLISECONDS_PER_SECOND
        return min(max(self.cost_ms, lasted_ms), self.timeout_ms)


class ProbePlanner:
    """Pays probes out of a ledger for each backend server.

    Parameters
    ----------
    now_s : float
        The time on the hub's clock at which the instance started.
    random : Random
        Keeps instances that start together from probing together.
    """

    __slots__ = (
        "_random",
        "_ledgers",
        "_outstanding",
        "_started_at_s",
        "_calls",
        "_idle",
    )

    def __init__(self, now_s: float, random: Random) -> None:
        self._random = random
        self._started_at_s = now_s
        self._ledgers: dict[str, ProbeBudget] = {}
        self._outstanding: set[str] = set()
        self._calls: dict[str, int] = {}
        self._idle: set[str] = set()

    @property
    def spent_ms(self) -> float:
        """All that was spent since the start, in milliseconds of a slot."""
        return sum(ledger.spent_ms for ledger in self._ledgers.values())

    def plan(self, catalogue: Catalogue, table: LoadTable, now_s: float) -> list[Probe]:
        """Choose and pay the most useful probes that are due now.

        Parameters
        ----------
        catalogue : Catalogue
            The catalogue in force.
        table : LoadTable
            The load records.
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        list of Probe
            Each to be ended by `probe_ended`.
        """
        due: list[tuple[float, Probe]] = []
        seen: set[str] = set()
        for name in table.services():
            service = catalogue.services.get(name)
            servers = table.candidates(name)
            seen.update(server.address for server in servers)
            if service is not None and servers:
                self._note_calls(name, servers[0].service.call_count)
                due += self._due(service, catalogue, servers, now_s)
        self._forget(seen)
        due.sort(key=lambda entry: entry[0], reverse=True)
        room = max(0, PROBES_AT_ONCE - len(self._outstanding))
        probes = [probe for _, probe in due[:room]]
        for probe in probes:
            self._ledgers[probe.server.address].spend(probe.timeout_ms)
            self._outstanding.add(probe.server.address)
        return probes

    def probe_ended(self, probe: Probe, duration_s: float) -> None:
        """Give back what a probe did not take, and allow the next.

        Parameters
        ----------
        probe : Probe
            The probe, answered or given up.
        duration_s : float
            How long it lasted; a slow server's slot was held for so long.
        """
        address = probe.server.address
        self._outstanding.discard(address)
        ledger = self._ledgers.get(address)
        if ledger is not None:
            ledger.refund(probe.timeout_ms - probe.charged_ms(duration_s))

    def _note_calls(self, name: str, call_count: int) -> None:
        if call_count == self._calls.get(name):
            self._idle.add(name)
        else:
            self._idle.discard(name)
        self._calls[name] = call_count

    def _due(
        self,
        service: ServiceEntry,
        catalogue: Catalogue,
        servers: tuple[ServerLoad, ...],
        now_s: float,
    ) -> list[tuple[float, Probe]]:
        due = []
        needed_after_s = IDLE_NEWS_S if service.name in self._idle else FRESH_NEWS_S
        for server in servers:
            age_s = min(now_s - server.report_received_at_s, now_s - self._started_at_s)
            # Most servers are not due, and a ledger earns for all time passed when
            # it is next looked at.
            if age_s <= needed_after_s or server.is_leaving:
                continue
            if server.address in self._outstanding:
                continue
            cost_ms = service.probe_cost_ms * server.slow_ratio
            timeout_ms = max(GIVE_UP_MINIMUM_MS, GIVE_UP_RATIO * cost_ms)
            ledger = self._ledger(server, timeout_ms, now_s)
            share_ms_per_s = budget_share_ms_per_s(
                service.measuring_budget_ratio,
                server.slot_count,
                catalogue.fleet.max_entry_instances,
            )
            ledger.refill(now_s, share_ms_per_s, timeout_ms)
            if ledger.can_spend(timeout_ms):
                usefulness = age_s / needed_after_s
                if (
                    server.consecutive_failures
                    or server.report_received_at_s == -math.inf
                ):
                    usefulness *= DOUBT_WEIGHT
                probe = Probe(service.name, server, cost_ms, timeout_ms)
                due.append((usefulness, probe))
        return due

    def _ledger(
        self, server: ServerLoad, timeout_ms: float, now_s: float
    ) -> ProbeBudget:
        ledger = self._ledgers.get(server.address)
        if ledger is None:
            # Instances that start together must not come to their first probe
            # together.
            debt_ms = self._random.random() * timeout_ms
            ledger = self._ledgers[server.address] = ProbeBudget(now_s, debt_ms)
        return ledger

    def _forget(self, seen: set[str]) -> None:
        # A server that comes back begins with an empty ledger.
        for address in self._ledgers.keys() - seen - self._outstanding:
            del self._ledgers[address]
