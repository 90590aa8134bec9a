"""Selection of the backend servers to probe next, within the probe budget."""

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

# A report of this age or less, from an answer or a peer, needs no probe.
FRESH_REPORT_S = 1.0
# The same for a service without calls, whose reports are rarely needed.
IDLE_FRESH_REPORT_S = 10.0
CONCURRENT_PROBES_LIMIT = 4
# A probe times out after this many times its expected cost.
TIMEOUT_COST_RATIO = 4.0
MIN_TIMEOUT_MS = 20.0
# Priority factor for a server whose last call failed or that has no report yet.
UNCERTAINTY_WEIGHT = 4.0


@dataclass(slots=True)
class Probe:
    """One probe whose maximum cost was spent from the budget."""

    # The service's name.
    service: str
    # The server to probe.
    server: ServerLoad
    # Expected cost, in milliseconds of slot time.
    cost_ms: float
    # Time limit in milliseconds, and the maximum cost that was spent in advance.
    timeout_ms: float

    def charged_ms(self, duration_s: float) -> float:
        """Return the cost in milliseconds of a probe of the given duration."""
        duration_ms = duration_s * MILLISECONDS_PER_SECOND
        return min(max(self.cost_ms, duration_ms), self.timeout_ms)


class ProbePlanner:
    """Plans probes within a budget for each backend server.

    Parameters
    ----------
    now_s : float
        The time on the hub's clock at which the instance started.
    random : Random
        Varies the initial debt, so that instances that start together do not probe
        together.
    """

    __slots__ = (
        "_random",
        "_budgets",
        "_outstanding",
        "_started_at_s",
        "_call_counts",
        "_idle_services",
    )

    def __init__(self, now_s: float, random: Random) -> None:
        self._random = random
        self._started_at_s = now_s
        self._budgets: dict[str, ProbeBudget] = {}
        self._outstanding: set[str] = set()
        self._call_counts: dict[str, int] = {}
        self._idle_services: set[str] = set()

    @property
    def spent_ms(self) -> float:
        """Milliseconds of slot time spent since the start."""
        return sum(budget.spent_ms for budget in self._budgets.values())

    def plan(self, catalogue: Catalogue, table: LoadTable, now_s: float) -> list[Probe]:
        """Choose the due probes of the highest priority, and spend their costs.

        Parameters
        ----------
        catalogue : Catalogue
            The active catalogue.
        table : LoadTable
            The load records.
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        list of Probe
            The probes to run; `probe_ended` must be called for each.
        """
        due: list[tuple[float, Probe]] = []
        seen: set[str] = set()
        for name in table.services():
            service = catalogue.services.get(name)
            servers = table.candidates(name)
            seen.update(server.address for server in servers)
            if service is not None and servers:
                self._update_idle_services(name, servers[0].service.call_count)
                due += self._due_probes(service, catalogue, servers, now_s)
        self._remove_budgets(seen)
        due.sort(key=lambda entry: entry[0], reverse=True)
        free_count = max(0, CONCURRENT_PROBES_LIMIT - len(self._outstanding))
        probes = [probe for _, probe in due[:free_count]]
        for probe in probes:
            self._budgets[probe.server.address].spend(probe.timeout_ms)
            self._outstanding.add(probe.server.address)
        return probes

    def probe_ended(self, probe: Probe, duration_s: float) -> None:
        """Refund the unused cost of a probe, and allow the next at its server.

        Parameters
        ----------
        probe : Probe
            The probe, answered, failed or timed out.
        duration_s : float
            The probe's duration in seconds, for which the server's slot was held.
        """
        address = probe.server.address
        self._outstanding.discard(address)
        budget = self._budgets.get(address)
        if budget is not None:
            budget.refund(probe.timeout_ms - probe.charged_ms(duration_s))

    def _update_idle_services(self, name: str, call_count: int) -> None:
        if call_count == self._call_counts.get(name):
            self._idle_services.add(name)
        else:
            self._idle_services.discard(name)
        self._call_counts[name] = call_count

    def _due_probes(
        self,
        service: ServiceEntry,
        catalogue: Catalogue,
        servers: tuple[ServerLoad, ...],
        now_s: float,
    ) -> list[tuple[float, Probe]]:
        due = []
        needed_after_s = (
            IDLE_FRESH_REPORT_S
            if service.name in self._idle_services
            else FRESH_REPORT_S
        )
        for server in servers:
            age_s = min(now_s - server.report_received_at_s, now_s - self._started_at_s)
            # Most servers are not due. Their budgets are not refilled here, since the
            # next refill covers all the time passed.
            if age_s <= needed_after_s or server.is_leaving:
                continue
            if server.address in self._outstanding:
                continue
            cost_ms = service.probe_cost_ms * server.slow_ratio
            timeout_ms = max(MIN_TIMEOUT_MS, TIMEOUT_COST_RATIO * cost_ms)
            budget = self._budget(server, timeout_ms, now_s)
            share_ms_per_s = budget_share_ms_per_s(
                service.measuring_budget_ratio,
                server.slot_count,
                catalogue.fleet.max_entry_instances,
            )
            budget.refill(now_s, share_ms_per_s, timeout_ms)
            if budget.can_spend(timeout_ms):
                priority = age_s / needed_after_s
                if (
                    server.consecutive_failures
                    or server.report_received_at_s == -math.inf
                ):
                    priority *= UNCERTAINTY_WEIGHT
                probe = Probe(service.name, server, cost_ms, timeout_ms)
                due.append((priority, probe))
        return due

    def _budget(
        self, server: ServerLoad, timeout_ms: float, now_s: float
    ) -> ProbeBudget:
        budget = self._budgets.get(server.address)
        if budget is None:
            # Instances that start together must not send their first probes at the
            # same time.
            debt_ms = self._random.random() * timeout_ms
            budget = self._budgets[server.address] = ProbeBudget(now_s, debt_ms)
        return budget

    def _remove_budgets(self, seen: set[str]) -> None:
        # A server that is added again starts with an empty budget.
        for address in self._budgets.keys() - seen - self._outstanding:
            del self._budgets[address]
