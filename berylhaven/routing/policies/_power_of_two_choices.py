"""The policy that compares two random servers by their number of calls."""

from collections.abc import Sequence

from berylhaven.load import ServerLoad
from berylhaven.routing._decision import RoutingDecision, RoutingRequest
from berylhaven.routing._registry import register_policy


def estimated_calls_per_slot(server: ServerLoad) -> float:
    """Return own and last reported calls for each slot, regardless of age."""
    return (server.own_in_flight + server.others_in_flight) / server.slot_count


@register_policy("power_of_two_choices")
def choose_of_two(
    request: RoutingRequest, servers: Sequence[ServerLoad]
) -> RoutingDecision:
    """Choose the less loaded of two random servers."""
    first = request.random.choice(servers)
    second = request.random.choice(servers)
    server = min(first, second, key=estimated_calls_per_slot)
    age_s = server.report_age_s(request.now_s)
    return RoutingDecision(server, len(servers), age_s, None)
