"""The faults of a soak: functions that inject a fault and remove it again."""

import collections
import contextlib
import secrets
import signal
import time
from collections.abc import Callable

import eventlet
import urllib3

from bench.gateway_soak._soak_context import SoakContext
from standins.gateway_fleet import (
    GRACE_S,
    ORDERS,
    READS,
    ROUTES_HOST,
    SERVERS_PER_SERVICE,
    GatewayProcess,
    wait_until,
)

# A gateway must exit within its grace period and this margin after SIGTERM.
STOP_MARGIN_S = 1.0
DELAY_RANGE_S = (0.005, 0.2)
HELD_DIRECTIONS = ("onward", "back", "both")
REFUSAL_STATUSES = (429, 503)
# The bounds for a gateway that is cut off from all servers: after this time it
# serves at least this share of what the others serve, but for a few requests.
CUT_DETECTION_S = 3.0
SERVED_RATIO = 2 / 3
UNSERVED_ALLOWED = 10
COMPARED_READ_COUNT = 30
HTTP_STATUS_OK = 200


Fault = Callable[[SoakContext], None]
FAULTS: dict[str, Fault] = {}


def register_fault(name: str) -> Callable[[Fault], Fault]:
    """Return a decorator that registers a fault under a name."""

    def decorate(fault: Fault) -> Fault:
        """Register the fault."""
        FAULTS[name] = fault
        return fault

    return decorate


def _gateway_fault(act: Callable[[SoakContext, GatewayProcess], None]) -> Fault:
    """Return a fault that acts on a random gateway without another active fault."""

    def fault(context: SoakContext) -> None:
        """Act on one gateway, if one is free."""
        free = set(range(len(context.fleet.gateways))) - context.disturbed_gateways
        if not free:
            return
        index = context.source.choice(sorted(free))
        context.disturbed_gateways.add(index)
        try:
            act(context, context.fleet.gateways[index])
        finally:
            context.disturbed_gateways.discard(index)
            context.calm_since_s[index] = time.monotonic()

    return fault


@register_fault("gateway killed")
@_gateway_fault
def kill_gateway(context: SoakContext, gateway: GatewayProcess) -> None:
    """Kill a gateway and restart it after a pause."""
    gateway.process.kill()
    eventlet.sleep(context.random_duration_s())
    context.start_again(gateway)


@register_fault("gateway restarted")
@_gateway_fault
def restart_gateway(context: SoakContext, gateway: GatewayProcess) -> None:
    """Send SIGTERM to a gateway and restart it when it has exited."""
    gateway.process.send_signal(signal.SIGTERM)
    try:
        wait_until(lambda: gateway.process.poll() is not None, GRACE_S + STOP_MARGIN_S)
    except TimeoutError:
        context.broken.append("a gateway did not exit within its grace period")
        gateway.process.kill()
    context.start_again(gateway)


@register_fault("gateway paused")
@_gateway_fault
def pause_gateway(context: SoakContext, gateway: GatewayProcess) -> None:
    """Suspend a gateway's process by SIGSTOP and resume it."""
    gateway.process.send_signal(signal.SIGSTOP)
    eventlet.sleep(context.random_duration_s())
    gateway.process.send_signal(signal.SIGCONT)


@register_fault("settings changed")
@_gateway_fault
def change_settings(context: SoakContext, gateway: GatewayProcess) -> None:
    """Change a settings file, with or without sending SIGHUP."""
    text = gateway.settings_path.read_text()
    ttl_s = context.source.choice((1.0, 2.0, 5.0))
    kept = text.partition("[locate]")[0]
    gateway.settings_path.write_text(f"{kept}[locate]\ntime_to_live_s = {ttl_s}\n")
    if context.source.random() < 0.5:
        gateway.process.send_signal(signal.SIGHUP)
    eventlet.sleep(context.random_duration_s())


@register_fault("server loses answers")
def lose_answers(context: SoakContext) -> None:
    """Make a server drop the answers of some requests that it ran."""
    _server_fault(context, lose_share=context.source.uniform(0.1, 0.6))


@register_fault("server fails requests")
def fail_requests(context: SoakContext) -> None:
    """Make a server answer 500 to some of the requests."""
    _server_fault(context, fail_share=context.source.uniform(0.1, 0.8))


def _server_fault(context: SoakContext, **faults: float) -> None:
    server = context.random_server()
    context.fleet.set_faults(server, **faults)
    eventlet.sleep(context.random_duration_s())
    context.fleet.set_faults(server, **dict.fromkeys(faults, 0.0))


@register_fault("store refuses")
def refuse_reads(context: SoakContext) -> None:
    """Make the store refuse all calls."""
    status = context.source.choice(REFUSAL_STATUSES)
    context.fleet.set_faults(context.fleet.store, refuse_status=status)
    eventlet.sleep(context.random_duration_s())
    context.fleet.set_faults(context.fleet.store, refuse_status=0)


@register_fault("store slow")
def slow_store(context: SoakContext) -> None:
    """Make the store delay its answers."""
    context.fleet.set_faults(context.fleet.store, delay_s=0.3)
    eventlet.sleep(context.random_duration_s())
    context.fleet.set_faults(context.fleet.store, delay_s=0.0)


@register_fault("history forgotten")
def forget_history(context: SoakContext) -> None:
    """Make the store drop its history."""
    context.fleet.compact_store_history()


@register_fault("store restored")
def restore_store(context: SoakContext) -> None:
    """Return the store to a copy of itself, and write again what was written since."""
    context.fleet.copy_store()
    for _ in range(context.source.randint(0, 3)):
        context.version += 1
        context.fleet.publish(context.version, 2.0)
        eventlet.sleep(context.source.uniform(0.0, 0.5))
    context.fleet.restore_store(context.source.uniform(0.0, 1.0))


@register_fault("server wants a pause")
def refuse_for_a_time(context: SoakContext) -> None:
    """Make a server refuse requests and state for how long it wants none."""
    server = context.random_server()
    context.fleet.set_faults(server, pause_s=round(context.random_duration_s(), 3))
    eventlet.sleep(context.random_duration_s())
    context.fleet.set_faults(server, pause_s=0.0)


@register_fault("gateway cut from servers")
@_gateway_fault
def cut_gateway_from_servers(context: SoakContext, gateway: GatewayProcess) -> None:
    """Cut a gateway off from all servers; its callers must be served all the same."""
    # A second cut would replace this one at the proxies.
    if context.is_cutting:
        return
    context.is_cutting = True
    try:
        hangs = context.source.random() < 0.5
        context.fleet.cut_from_servers([gateway], hangs)
        eventlet.sleep(CUT_DETECTION_S)
        others = [
            other
            for index, other in enumerate(context.fleet.gateways)
            if context.is_calm(index, CUT_DETECTION_S)
        ]
        if others:
            _compare_service(context, gateway, context.source.choice(others))
    finally:
        context.fleet.cut_from_servers([])
        context.is_cutting = False


def _compare_service(
    context: SoakContext, gateway: GatewayProcess, other: GatewayProcess
) -> None:
    served = collections.Counter()
    for _ in range(COMPARED_READ_COUNT):
        # By turns, since another fault may end the servers meanwhile.
        for one in (gateway, other):
            served[one.address()] += _read_status(one, "/read/x") == HTTP_STATUS_OK
    count, other_count = served[gateway.address()], served[other.address()]
    if (
        count < SERVED_RATIO * other_count
        and COMPARED_READ_COUNT - count > UNSERVED_ALLOWED
    ):
        context.broken.append(
            f"a gateway cut from servers served {count} reads, another one "
            f"{other_count}, of {COMPARED_READ_COUNT}"
        )


def _read_status(gateway: GatewayProcess, path: str) -> int | None:
    headers = {"Host": ROUTES_HOST, "X-Request-Id": secrets.token_hex(8)}
    headers["X-Deadline-Ms"] = "1000"
    url = f"http://{gateway.address()}{path}"
    # The gateway may be stopped or paused by another fault.
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        return urllib3.request(
            "GET", url, headers=headers, timeout=1.0, retries=False
        ).status
    return None


@register_fault("servers ended")
def end_servers(context: SoakContext) -> None:
    """End several servers at once, with the requests that they run."""
    count = context.source.randint(1, SERVERS_PER_SERVICE)
    service = context.source.choice((READS, ORDERS))
    for address in context.source.sample(context.fleet.servers[service], count):
        context.fleet.end_server(address)


@register_fault("request that ends its servers")
def send_crashing_request(context: SoakContext) -> None:
    """Send a request that ends each server that runs it, again and again."""
    kind = context.source.choice(("read", "order"))
    path = f"/{kind}/crash-{secrets.token_hex(4)}"
    for _ in range(context.source.randint(6, 30)):
        gateway = context.source.choice(context.fleet.gateways)
        headers = {"Host": ROUTES_HOST, "X-Request-Id": secrets.token_hex(8)}
        headers["X-Deadline-Ms"] = "1000"
        # The gateway may be stopped or paused by another fault.
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            urllib3.request(
                "GET" if kind == "read" else "POST",
                f"http://{gateway.address()}{path}",
                headers=headers,
                timeout=1.0,
                retries=False,
            )
        eventlet.sleep(context.source.uniform(0.05, 0.4))


@register_fault("configuration changed")
def change_configuration(context: SoakContext) -> None:
    """Write several new configurations in quick succession."""
    for _ in range(context.source.randint(1, 4)):
        context.version += 1
        context.fleet.publish(context.version, context.source.uniform(1.0, 2.0))
        eventlet.sleep(0.2)


@register_fault("connections delayed")
def delay_connections(context: SoakContext) -> None:
    """Delay all data that passes through a proxy."""
    proxy = context.source.choice(context.fleet.proxies)
    delay_s = context.source.uniform(*DELAY_RANGE_S)
    context.fleet.set_faults(proxy, delay_s=delay_s)
    eventlet.sleep(context.random_duration_s())
    context.fleet.set_faults(proxy, delay_s=0.0)


@register_fault("connections cut")
def cut_connections(context: SoakContext) -> None:
    """Block the data through a proxy in one direction or in both."""
    proxy = context.source.choice(context.fleet.proxies)
    context.fleet.set_faults(proxy, held_way=context.source.choice(HELD_DIRECTIONS))
    eventlet.sleep(context.random_duration_s())
    context.fleet.set_faults(proxy, held_way="")


@register_fault("connections reset")
def reset_connections(context: SoakContext) -> None:
    """Reset the open connections through a proxy."""
    proxy = context.source.choice(context.fleet.proxies)
    count = context.next_count(proxy, "reset_count")
    context.fleet.set_faults(proxy, reset_count=count)


@register_fault("connections silenced")
def silence_connections(context: SoakContext) -> None:
    """Make the open connections through a proxy unresponsive permanently."""
    proxy = context.source.choice(context.fleet.proxies)
    count = context.next_count(proxy, "silence_count")
    context.fleet.set_faults(proxy, silence_count=count)
