"""A registry of scenarios: faults of servers and partitions during a run."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from bench.routing._virtual_time import call_later

if TYPE_CHECKING:
    from bench.routing._fleet import Fleet

Scenario = Callable[["Fleet"], None]

STRAGGLER_SLOWNESS = 10.0
# The instance list is updated this long after a server started to drain.
LIST_DELAY_S = 2.0
DRAIN_INTERVAL_S = 2.5
BURST_INTERVAL_MINIMUM_S = 0.010
BURST_MINIMUM_S = 0.005
BURST_SPAN_S = 0.020
# Bursts occupy about this ratio of all slot time.
BURST_SHARE_RATIO = 0.08

SCENARIOS: dict[str, Scenario] = {}


def register_scenario(name: str) -> Callable[[Scenario], Scenario]:
    """Register a scenario.

    Parameters
    ----------
    name : str
        The scenario's name in the report.

    Returns
    -------
    callable
        The decorator of a function that receives the fleet at the start of the run.
    """

    def decorate(scenario: Scenario) -> Scenario:
        SCENARIOS[name] = scenario
        return scenario

    return decorate


@register_scenario("no fault")
def no_fault(fleet: "Fleet") -> None:
    """Inject no fault."""


@register_scenario("straggler")
def straggler(fleet: "Fleet") -> None:
    """Slow down one server of each service without announcing it."""
    for service in fleet.services:
        service.servers[0].slowness = STRAGGLER_SLOWNESS


@register_scenario("fail fast")
def fail_fast(fleet: "Fleet") -> None:
    """Make one server of each service fail each call immediately."""
    for service in fleet.services:
        service.servers[0].fails_fast = True


@register_scenario("drain")
def drain(fleet: "Fleet") -> None:
    """Drain the servers of each service one after the other and bring them back."""
    for service in fleet.services:
        _drain_server(fleet, service, 0)


@register_scenario("bursts")
def bursts(fleet: "Fleet") -> None:
    """Occupy slots with other work for some milliseconds."""
    for service in fleet.services:
        for server in service.servers:
            _burst(fleet, server)


@register_scenario("half partitioned")
def half_partitioned(fleet: "Fleet") -> None:
    """Partition the instances into two halves that exchange no updates."""
    half = len(fleet.instances) // 2
    for index, instance in enumerate(fleet.instances):
        instance.partition = index // half


def _drain_server(fleet: "Fleet", service: object, index: int) -> None:
    server = service.servers[index]
    server.is_leaving = True
    call_later(LIST_DELAY_S, fleet.update_server_lists, service)
    call_later(DRAIN_INTERVAL_S, _return_server, fleet, service, index)


def _return_server(fleet: "Fleet", service: object, index: int) -> None:
    service.servers[index].is_leaving = False
    service.incarnations[index] += 1
    fleet.update_server_lists(service)
    _drain_server(fleet, service, (index + 1) % len(service.servers))


def _burst(fleet: "Fleet", server: object) -> None:
    duration_s = BURST_MINIMUM_S + BURST_SPAN_S * fleet.fault_random.random()
    mean_s = BURST_MINIMUM_S + BURST_SPAN_S / 2
    slots = 1 + int(fleet.fault_random.random() * server.slot_count)
    for _ in range(slots):
        server.occupy(duration_s)
    busy_s = mean_s * (1 + server.slot_count) / 2
    interval_s = max(
        BURST_INTERVAL_MINIMUM_S, busy_s / (BURST_SHARE_RATIO * server.slot_count)
    )
    call_later(fleet.fault_random.expovariate(1 / interval_s), _burst, fleet, server)
