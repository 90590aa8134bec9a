"""What happens to the backend servers during a run, in a registry."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from bench.routing._virtual_time import call_later

if TYPE_CHECKING:
    from bench.routing._fleet import Fleet

Scenario = Callable[["Fleet"], None]

STRAGGLER_SLOWNESS = 10.0
# The list tells of a leaving server so much later than the server itself.
LIST_LAG_S = 2.0
DRAIN_EVERY_S = 2.5
BURST_EVERY_S = 0.010
BURST_MINIMUM_S = 0.005
BURST_SPAN_S = 0.020
# Bursts take about this share of all slots.
BURST_SHARE_RATIO = 0.08

SCENARIOS: dict[str, Scenario] = {}


def register_scenario(name: str) -> Callable[[Scenario], Scenario]:
    """Register what happens in a run.

    Parameters
    ----------
    name : str
        The scenario's name in the report.

    Returns
    -------
    callable
        The decorator of a function of the fleet, called at the run's start.
    """

    def decorate(scenario: Scenario) -> Scenario:
        SCENARIOS[name] = scenario
        return scenario

    return decorate


@register_scenario("no fault")
def no_fault(fleet: "Fleet") -> None:
    """Leave all servers as they are."""


@register_scenario("straggler")
def straggler(fleet: "Fleet") -> None:
    """Slow one server of each service down without a word."""
    for service in fleet.services:
        service.servers[0].slowness = STRAGGLER_SLOWNESS


@register_scenario("fail fast")
def fail_fast(fleet: "Fleet") -> None:
    """Let one server of each service fail each call at once."""
    for service in fleet.services:
        service.servers[0].fails_fast = True


@register_scenario("drain")
def drain(fleet: "Fleet") -> None:
    """Let one server after the other leave and come back."""
    for service in fleet.services:
        _leave(fleet, service, 0)


@register_scenario("bursts")
def bursts(fleet: "Fleet") -> None:
    """Let neighbours take slots for milliseconds."""
    for service in fleet.services:
        for server in service.servers:
            _burst(fleet, server)


@register_scenario("half partitioned")
def half_partitioned(fleet: "Fleet") -> None:
    """Let one half of the instances hear nothing of the other."""
    half = len(fleet.instances) // 2
    for index, instance in enumerate(fleet.instances):
        instance.side = index // half


def _leave(fleet: "Fleet", service: object, index: int) -> None:
    server = service.servers[index]
    server.is_leaving = True
    call_later(LIST_LAG_S, fleet.list_servers, service)
    call_later(DRAIN_EVERY_S, _return, fleet, service, index)


def _return(fleet: "Fleet", service: object, index: int) -> None:
    service.servers[index].is_leaving = False
    service.incarnations[index] += 1
    fleet.list_servers(service)
    _leave(fleet, service, (index + 1) % len(service.servers))


def _burst(fleet: "Fleet", server: object) -> None:
    duration_s = BURST_MINIMUM_S + BURST_SPAN_S * fleet.fault_random.random()
    mean_s = BURST_MINIMUM_S + BURST_SPAN_S / 2
    slots = 1 + int(fleet.fault_random.random() * server.slot_count)
    for _ in range(slots):
        server.occupy(duration_s)
    busy_s = mean_s * (1 + server.slot_count) / 2
    every_s = max(BURST_EVERY_S, busy_s / (BURST_SHARE_RATIO * server.slot_count))
    call_later(fleet.fault_random.expovariate(1 / every_s), _burst, fleet, server)
