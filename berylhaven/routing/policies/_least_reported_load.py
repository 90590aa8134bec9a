"""The policy that compares the last load report of each server."""

from collections.abc import Sequence

from berylhaven.load import ServerLoad
from berylhaven.routing._decision import RoutingDecision, RoutingRequest
from berylhaven.routing._registry import register_policy


def reported_calls_per_slot(server: ServerLoad) -> float:
    """Return the last reported calls for each slot, regardless of the report's age."""
    report = server.report
    if report is None:
        return 0.0
    return (report.running_count + report.queued_count) / server.slot_count


@register_policy("least_reported_load")
def choose_least_reported(
    request: RoutingRequest, servers: Sequence[ServerLoad]
) -> RoutingDecision:
    """Choose the server with the least reported load.

    This is a baseline for comparisons: instances with the same reports herd on one
    server.
    """
    least = min(reported_calls_per_slot(server) for server in servers)
    ties = [s for s in servers if reported_calls_per_slot(s) == least]
    server = request.random.choice(ties)
    age_s = server.report_age_s(request.now_s)
    return RoutingDecision(server, len(servers), age_s, None)
