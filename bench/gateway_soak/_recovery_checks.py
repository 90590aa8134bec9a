"""Checks that a fleet has recovered after the last fault."""

import time

import eventlet
import urllib3

from bench.gateway_soak._soak_context import SoakContext
from standins.gateway_callers import GatewayCallers
from standins.gateway_fleet import ORDERS, ROUTES_HOST, GatewayProcess

# The platform's bounds on the time from the store's answer to a write until every
# gateway applies the change.
CONFIGURATION_BOUND_S = 2.0
DRAIN_BOUND_S = 2.0
# The bounds hold again after this time without faults.
RECOVERY_TIME_S = 3.0
OBSERVATION_S = 2.0
# The platform's bounds on sends of a request under which three servers have ended.
ENDS_ALLOWED = 3
EVIDENCE_BOUND_S = 3.0
LATE_SENDS_ALLOWED = 3
# The share of requests that must be served after the recovery.
MINIMUM_SERVED_RATIO = 0.95
HTTP_STATUS_OK = 200


def check_recovery(context: SoakContext, callers: GatewayCallers) -> list[str]:
    """Return descriptions of the guarantees that do not hold after the last fault.

    Parameters
    ----------
    context : SoakContext
        The soak's context, without a fault in progress.
    callers : GatewayCallers
        The callers, which are still sending requests.

    Returns
    -------
    list of str
        Empty if all hold.
    """
    eventlet.sleep(RECOVERY_TIME_S)
    broken = _check_service(callers)
    broken += _check_crashing_requests(context)
    broken += check_configuration(context)
    broken += _check_draining(context)
    return broken


def _check_service(callers: GatewayCallers) -> list[str]:
    before = set(callers.answers)
    eventlet.sleep(OBSERVATION_S)
    statuses = [
        status
        for request_id, (_, status) in list(callers.answers.items())
        if request_id not in before
    ]
    served = statuses.count(HTTP_STATUS_OK)
    if served < MINIMUM_SERVED_RATIO * max(1, len(statuses)):
        return [f"served {served} of {len(statuses)} after the faults"]
    return []


def _check_crashing_requests(context: SoakContext) -> list[str]:
    """Check that requests that end servers are no longer sent after the third end."""
    broken = []
    for path, starts_s in context.fleet.crashing_runs().items():
        if len(starts_s) < ENDS_ALLOWED:
            continue
        bound_s = starts_s[ENDS_ALLOWED - 1] + EVIDENCE_BOUND_S
        late_count = sum(start_s > bound_s for start_s in starts_s)
        if late_count > LATE_SENDS_ALLOWED:
            broken.append(f"{path} was sent {late_count} times after three servers")
    return broken


def check_configuration(context: SoakContext) -> list[str]:
    """Add a route and check that every gateway serves it within the bound.

    Parameters
    ----------
    context : SoakContext
        The context of the run.

    Returns
    -------
    list of str
        A line for each gateway that does not serve it.
    """
    context.version += 1
    prefix = f"/added-{context.version}/"
    context.fleet.publish(context.version, context.fleet.timeout_s, prefix)
    eventlet.sleep(CONFIGURATION_BOUND_S)
    return [
        f"{gateway.address()} lacks configuration {context.version}"
        for gateway in context.fleet.gateways
        if _status(gateway, prefix, f"look-{context.version}-{gateway.ports[0]}")
        != HTTP_STATUS_OK
    ]


def _status(gateway: GatewayProcess, path: str, request_id: str) -> int | None:
    headers = {"Host": ROUTES_HOST, "X-Request-Id": request_id}
    headers["X-Deadline-Ms"] = "1000"
    url = f"http://{gateway.address()}{path}"
    try:
        return urllib3.request("GET", url, headers=headers, timeout=2.0).status
    except urllib3.exceptions.HTTPError:
        return None


def _check_draining(context: SoakContext) -> list[str]:
    """Drain a server and check that it receives no request after the bound."""
    address = context.fleet.servers[ORDERS][0]
    context.fleet.mark_draining(ORDERS, address)
    left_at_s = time.monotonic()
    eventlet.sleep(DRAIN_BOUND_S + OBSERVATION_S)
    late_s = context.fleet.server_info(address)["last_run_at_s"] - left_at_s
    if late_s > DRAIN_BOUND_S:
        return [f"a draining server received a request {late_s:.1f} s later"]
    return []
