"""The faults of a soak, each a function that brings one about and ends it."""

import random
import signal
from collections.abc import Callable
from dataclasses import dataclass, field

import eventlet

from standins.gateway_fleet import (
    GRACE_S,
    ORDERS,
    READS,
    GatewayFleet,
    GatewayProcess,
    wait_until,
)

FAULT_LENGTH_S = (0.2, 2.5)
# A gateway that was told to stop must end within its grace.
STOP_MARGIN_S = 1.0
DELAYS_S = (0.005, 0.2)
HELD_WAYS = ("onward", "back", "both")
REFUSALS = (429, 503)


@dataclass(slots=True)
class SoakContext:
    """What faults act upon."""

    # The running fleet.
    fleet: GatewayFleet
    # Decides which faults come when.
    source: random.Random
    # Gateways that a fault has stopped, paused or killed.
    disturbed: set[int] = field(default_factory=set)
    # Names of broken promises that faults themselves have seen.
    broken: list[str] = field(default_factory=list)
    # Whether no further fault may begin.
    is_ending: bool = False
    # The newest version of the configuration that was written.
    version: int = 1
    # How often connections were reset or silenced, by proxy.
    counts: dict[tuple[str, str], int] = field(default_factory=dict)

    def length_s(self) -> float:
        """Return how long a fault lasts, in seconds."""
        return self.source.uniform(*FAULT_LENGTH_S)

    def server(self) -> str:
        """Return HOST:PORT of a random server."""
        service = self.source.choice((READS, ORDERS))
        return self.source.choice(self.fleet.servers[service])

    def next_count(self, proxy: str, name: str) -> int:
        """Return the next value of a proxy's count."""
        key = (proxy, name)
        self.counts[key] = self.counts.get(key, 0) + 1
        return self.counts[key]


Fault = Callable[[SoakContext], None]
FAULTS: dict[str, Fault] = {}


def register_fault(name: str) -> Callable[[Fault], Fault]:
    """Return a decorator that puts a fault into the registry."""

    def decorate(fault: Fault) -> Fault:
        """Register the fault."""
        FAULTS[name] = fault
        return fault

    return decorate


def _on_gateway(act: Callable[[SoakContext, GatewayProcess], None]) -> Fault:
    """Return a fault that acts on a random gateway that no other acts on."""

    def fault(context: SoakContext) -> None:
        """Act on one gateway."""
        free = set(range(len(context.fleet.gateways))) - context.disturbed
        if not free:
            return
        index = context.source.choice(sorted(free))
        context.disturbed.add(index)
        try:
            act(context, context.fleet.gateways[index])
        finally:
            context.disturbed.discard(index)

    return fault


@register_fault("gateway killed")
@_on_gateway
def kill_gateway(context: SoakContext, gateway: GatewayProcess) -> None:
    """Kill a gateway and start it again."""
    gateway.process.kill()
    eventlet.sleep(context.length_s())
    context.fleet.start_gateway(gateway)
    context.fleet.wait_until_ready(gateway)


@register_fault("gateway restarted")
@_on_gateway
def restart_gateway(context: SoakContext, gateway: GatewayProcess) -> None:
    """Tell a gateway to stop, and start it again when it has ended."""
    gateway.process.send_signal(signal.SIGTERM)
    try:
        wait_until(lambda: gateway.process.poll() is not None, GRACE_S + STOP_MARGIN_S)
    except TimeoutError:
        context.broken.append("a gateway outlived its grace")
        gateway.process.kill()
    context.fleet.start_gateway(gateway)
    context.fleet.wait_until_ready(gateway)


@register_fault("gateway paused")
@_on_gateway
def pause_gateway(context: SoakContext, gateway: GatewayProcess) -> None:
    """Stop a gateway's process for a while."""
    gateway.process.send_signal(signal.SIGSTOP)
    eventlet.sleep(context.length_s())
    gateway.process.send_signal(signal.SIGCONT)


@register_fault("settings changed")
@_on_gateway
def change_settings(context: SoakContext, gateway: GatewayProcess) -> None:
    """Change a settings file, with or without a signal."""
    text = gateway.settings_path.read_text()
    ttl_s = context.source.choice((1.0, 2.0, 5.0))
    kept = text.partition("[locate]")[0]
    gateway.settings_path.write_text(f"{kept}[locate]\ntime_to_live_s = {ttl_s}\n")
    if context.source.random() < 0.5:
        gateway.process.send_signal(signal.SIGHUP)
    eventlet.sleep(context.length_s())


@register_fault("server loses answers")
def lose_answers(context: SoakContext) -> None:
    """Let a server cut off answers of requests that it ran."""
    _server_fault(context, lose_share=context.source.uniform(0.1, 0.6))


@register_fault("server fails requests")
def fail_requests(context: SoakContext) -> None:
    """Let a server answer 500 to a part of the requests."""
    _server_fault(context, fail_share=context.source.uniform(0.1, 0.8))


def _server_fault(context: SoakContext, **faults: float) -> None:
    server = context.server()
    context.fleet.set_faults(server, **faults)
    eventlet.sleep(context.length_s())
    context.fleet.set_faults(server, **dict.fromkeys(faults, 0.0))


@register_fault("store refuses")
def refuse_reads(context: SoakContext) -> None:
    """Let the store refuse all calls."""
    status = context.source.choice(REFUSALS)
    context.fleet.set_faults(context.fleet.store, refuse_status=status)
    eventlet.sleep(context.length_s())
    context.fleet.set_faults(context.fleet.store, refuse_status=0)


@register_fault("store slow")
def slow_store(context: SoakContext) -> None:
    """Let the store answer late."""
    context.fleet.set_faults(context.fleet.store, delay_s=0.3)
    eventlet.sleep(context.length_s())
    context.fleet.set_faults(context.fleet.store, delay_s=0.0)


@register_fault("history forgotten")
def forget_history(context: SoakContext) -> None:
    """Let the store drop its history."""
    context.fleet.compact_store_history()


@register_fault("configuration changed")
def change_configuration(context: SoakContext) -> None:
    """Write newer configurations in quick succession."""
    for _ in range(context.source.randint(1, 4)):
        context.version += 1
        context.fleet.publish(context.version, context.source.uniform(1.0, 2.0))
        eventlet.sleep(0.2)


@register_fault("connections delayed")
def delay_connections(context: SoakContext) -> None:
    """Hold up each piece that goes through a proxy."""
    proxy = context.source.choice(context.fleet.proxies)
    delay_s = context.source.uniform(*DELAYS_S)
    context.fleet.set_faults(proxy, delay_s=delay_s)
    eventlet.sleep(context.length_s())
    context.fleet.set_faults(proxy, delay_s=0.0)


@register_fault("connections cut")
def cut_connections(context: SoakContext) -> None:
    """Hold up what goes one way or both ways through a proxy."""
    proxy = context.source.choice(context.fleet.proxies)
    context.fleet.set_faults(proxy, held_way=context.source.choice(HELD_WAYS))
    eventlet.sleep(context.length_s())
    context.fleet.set_faults(proxy, held_way="")


@register_fault("connections reset")
def reset_connections(context: SoakContext) -> None:
    """Reset what is open through a proxy."""
    proxy = context.source.choice(context.fleet.proxies)
    count = context.next_count(proxy, "reset_count")
    context.fleet.set_faults(proxy, reset_count=count)


@register_fault("connections silenced")
def silence_connections(context: SoakContext) -> None:
    """Make what is open through a proxy silent for good."""
    proxy = context.source.choice(context.fleet.proxies)
    count = context.next_count(proxy, "silence_count")
    context.fleet.set_faults(proxy, silence_count=count)
