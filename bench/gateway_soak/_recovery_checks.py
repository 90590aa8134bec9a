"""What must hold again soon after the last fault."""

import time

import eventlet
import urllib3

from bench.gateway_soak._faults import SoakContext
from standins.gateway_callers import GatewayCallers
from standins.gateway_fleet import ORDERS, ROUTES_HOST, GatewayProcess

# From the store's answer until a change binds every gateway (the platform's bounds).
CONFIGURATION_BOUND_S = 2.0
LEAVING_BOUND_S = 2.0
# After this time without disturbance the bounds hold again.
CALM_AFTER_S = 3.0
CALM_LENGTH_S = 2.0
# The share of requests that must be served once all is calm.
LEAST_SERVED_RATIO = 0.95
OK = 200


def check_recovery(context: SoakContext, callers: GatewayCallers) -> list[str]:
    """Return the names of the promises that do not hold after the last fault.

    Parameters
    ----------
    context : SoakContext
        No fault is under way in it.
    callers : GatewayCallers
        Still sending.

    Returns
    -------
    list of str
        Empty if all hold.
    """
    eventlet.sleep(CALM_AFTER_S)
    broken = _check_service(callers)
    broken += _check_configuration(context)
    broken += _check_leaving(context)
    return broken


def _check_service(callers: GatewayCallers) -> list[str]:
    before = set(callers.answers)
    eventlet.sleep(CALM_LENGTH_S)
    statuses = [
        status
        for request_id, (_, status) in list(callers.answers.items())
        if request_id not in before
    ]
    served = statuses.count(OK)
    if served < LEAST_SERVED_RATIO * max(1, len(statuses)):
        return [f"served {served} of {len(statuses)} after the faults"]
    return []


def _check_configuration(context: SoakContext) -> list[str]:
    """Add a route, and find it at every gateway within the bound."""
    context.version += 1
    prefix = f"/added-{context.version}/"
    context.fleet.publish(context.version, added_prefix=prefix)
    eventlet.sleep(CONFIGURATION_BOUND_S)
    return [
        f"{gateway.address()} lacks configuration {context.version}"
        for gateway in context.fleet.gateways
        if _status(gateway, prefix, f"look-{context.version}-{gateway.ports[0]}") != OK
    ]


def _status(gateway: GatewayProcess, path: str, request_id: str) -> int | None:
    headers = {"Host": ROUTES_HOST, "X-Request-Id": request_id}
    headers["X-Deadline-Ms"] = "1000"
    url = f"http://{gateway.address()}{path}"
    try:
        return urllib3.request("GET", url, headers=headers, timeout=2.0).status
    except urllib3.exceptions.HTTPError:
        return None


def _check_leaving(context: SoakContext) -> list[str]:
    """Let a server leave, and see that it gets nothing after the bound."""
    address = context.fleet.servers[ORDERS][0]
    context.fleet.let_leave(ORDERS, address)
    left_at_s = time.monotonic()
    eventlet.sleep(LEAVING_BOUND_S + CALM_LENGTH_S)
    late_s = context.fleet.server_facts(address)["last_run_at_s"] - left_at_s
    if late_s > LEAVING_BOUND_S:
        return [f"a server that left got a request {late_s:.1f} s later"]
    return []
