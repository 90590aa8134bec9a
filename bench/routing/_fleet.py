"""Twenty simulated instances of one firm, each with its own load table."""

import types
from random import Random

import orjson

from bench.routing._fake_server import FakeServer
from bench.routing._fake_service import FakeService, data_centre_of
from bench.routing._firms import (
    ENTRY_INSTANCES,
    MEASURING_BUDGET_RATIO,
    Firm,
)
from bench.routing._measure import RunFigures
from bench.routing._simulated_call import SimulatedCall
from bench.routing._virtual_time import call_later
from berylhaven.catalogue import Catalogue, parse_catalogue
from berylhaven.clock import monotonic_s
from berylhaven.load import LoadTable, LoadTopic, Probe, ProbePlanner, ServerLoad
from berylhaven.routing import RoutingRequest, choose

EXCHANGE_INTERVAL_S = 0.5
PEERS_PER_ROUND = 2
PEER_DELAY_S = 0.001
UPDATE_LIMIT_BYTES = 1_000
PROBE_INTERVAL_S = 0.25
# The fixed part of the mean time that a call occupies a slot; the remainder is
# exponentially distributed.
FIXED_WORK_RATIO = 0.4


class SimulatedInstance:
    """An entry instance whose routing, load exchange and probe planning are real code.

    Parameters
    ----------
    index : int
        The instance's index in the fleet.
    catalogue : Catalogue
        The active catalogue.
    """

    __slots__ = ("index", "data_centre", "partition", "table", "topic", "planner")

    def __init__(self, index: int, catalogue: Catalogue) -> None:
        self.index = index
        self.data_centre = data_centre_of(index)
        # Instances in different partitions do not exchange updates.
        self.partition = 0
        self.table = LoadTable()
        self.topic = LoadTopic(types.SimpleNamespace(load_table=self.table))
        self.planner = ProbePlanner(monotonic_s(), Random(index))


class Fleet:
    """Simulates the calls, load updates and probes of one run.

    Parameters
    ----------
    firm : Firm
        The firm whose services are called.
    policy : str
        The routing policy's registry name.
    load_ratio : float
        The rate of calls as a ratio of the servers' capacity.
    figures : RunFigures
        Records the results of calls.
    seed : int
        The seed of all random numbers.
    """

    __slots__ = (
        "firm",
        "random",
        "fault_random",
        "services",
        "instances",
        "figures",
        "_arrivals",
        "_policy",
        "_catalogue",
    )

    def __init__(
        self, firm: Firm, policy: str, load_ratio: float, figures: RunFigures, seed: int
    ) -> None:
        self.firm = firm
        # A separate generator, so that the calls are the same for all policies.
        self._arrivals = Random(seed)
        self.random = Random(seed + 1)
        # Separate for the same reason: the faults are the same for all policies.
        self.fault_random = Random(seed + 2)
        self.figures = figures
        self._policy = policy
        self.services = [
            self._service(f"s{index}", count, load_ratio)
            for index, count in enumerate(firm.server_counts)
        ]
        self._catalogue = parse_catalogue(_catalogue_text(firm, self.services))
        self.instances = [
            SimulatedInstance(index, self._catalogue)
            for index in range(ENTRY_INSTANCES)
        ]
        for service in self.services:
            self.update_server_lists(service)

    def start(self) -> None:
        """Start the timers of calls, load updates and probes."""
        for service in self.services:
            self._generate_call(service)
        for instance in self.instances:
            call_later(
                self.random.random() * EXCHANGE_INTERVAL_S,
                self._exchange_updates,
                instance,
            )
            call_later(self.random.random() * PROBE_INTERVAL_S, self._probe, instance)

    def update_server_lists(self, service: FakeService) -> None:
        """Apply the instance list's rows of a service at all instances."""
        for instance in self.instances:
            rows = service.rows()
            instance.table.update_servers(service.name, rows, monotonic_s())

    def _service(self, name: str, count: int, load_ratio: float) -> FakeService:
        firm = self.firm
        servers = [FakeServer(firm.slot_count) for _ in range(count)]
        service = FakeService(name, servers)
        service.rate_per_s = load_ratio * firm.capacity_per_s(count)
        return service

    def _generate_call(self, service: FakeService) -> None:
        arrivals = self._arrivals
        delay_s = arrivals.expovariate(service.rate_per_s)
        call_later(delay_s, self._generate_call, service)
        instance = self.instances[int(arrivals.random() * ENTRY_INSTANCES)]
        drawn = FIXED_WORK_RATIO + arrivals.expovariate(1 / (1 - FIXED_WORK_RATIO))
        work_s = self.firm.service_time_s * drawn
        now_s = monotonic_s()
        request = RoutingRequest(
            now_s, now_s + self.firm.deadline_s, instance.data_centre, self.random
        )
        candidates = instance.table.candidates(service.name)
        decision = choose(self._policy, request, candidates)
        if decision.server is None:
            self.figures.record_refused(now_s)
            return
        SimulatedCall(self, instance, service, decision.server, work_s).send()

    def one_way_s(self, instance: SimulatedInstance, record: ServerLoad) -> float:
        """Return the one-way latency between an instance and a server in seconds."""
        if record.data_centre == instance.data_centre:
            return self.firm.within_data_centre_s
        return self.firm.between_data_centres_s

    def _exchange_updates(self, instance: SimulatedInstance) -> None:
        call_later(EXCHANGE_INTERVAL_S, self._exchange_updates, instance)
        peers = [p for p in self.instances if p.partition == instance.partition]
        for peer in self.random.sample(peers, PEERS_PER_ROUND):
            if peer is not instance:
                self._send_update(instance, peer)
                self._send_update(peer, instance)

    def _send_update(self, sender: SimulatedInstance, to: SimulatedInstance) -> None:
        now_s = monotonic_s()
        payload = sender.topic.outgoing(str(to.index), now_s, UPDATE_LIMIT_BYTES)
        if payload is not None:
            self.figures.record_load_update(len(orjson.dumps(payload)))
            call_later(PEER_DELAY_S, _receive_update, to, payload, str(sender.index))

    def _probe(self, instance: SimulatedInstance) -> None:
        call_later(PROBE_INTERVAL_S, self._probe, instance)
        now_s = monotonic_s()
        for probe in instance.planner.plan(self._catalogue, instance.table, now_s):
            self._send_probe(instance, probe)

    def _send_probe(self, instance: SimulatedInstance, probe: Probe) -> None:
        service = next(s for s in self.services if s.name == probe.service)
        server = service.server(probe.server.address)
        started_at_s = monotonic_s()

        def record_end(end: str) -> None:
            """Record the end of the probe, and its load report if it is in time."""
            duration_s = monotonic_s() - started_at_s
            instance.planner.probe_ended(probe, duration_s)
            if duration_s * 1000 <= probe.timeout_ms:
                probe.server.record_report(server.report())

        server.probe(self.firm.probe_cost_s, record_end)


def _receive_update(instance: SimulatedInstance, payload: object, sender: str) -> None:
    instance.topic.incoming(payload, sender, monotonic_s())


def _catalogue_text(firm: Firm, services: list[FakeService]) -> bytes:
    parts = [f"[fleet]\nmax_entry_instances = {ENTRY_INSTANCES}\n"]
    parts.append(f"[firm {firm.name}]\nguaranteed_share_ratio = 0.5\n")
    for service in services:
        parts.append(
            f"[service {service.name}]\nowner = {firm.name}\nclass = interactive\n"
            "concurrency_limit = 1000\nrate_limit_per_s = 100000\n"
            f"deadline_ms = {int(firm.deadline_s * 1000)}\n"
            f"measuring_budget_ratio = {MEASURING_BUDGET_RATIO}\n"
            f"probe_cost_ms = {firm.probe_cost_s * 1000}\n"
        )
    return "\n".join(parts).encode()
