"""The policy that uses the servers in turn."""

from collections.abc import Sequence

from berylhaven.load import ServerLoad
from berylhaven.routing._decision import RoutingDecision, RoutingRequest
from berylhaven.routing._registry import register_policy


@register_policy("round_robin")
def choose_in_turn(
    request: RoutingRequest, servers: Sequence[ServerLoad]
) -> RoutingDecision:
    """Choose the next server in turn, by the count of calls sent."""
    server = servers[servers[0].service.call_count % len(servers)]
    age_s = server.report_age_s(request.now_s)
    return RoutingDecision(server, len(servers), age_s, None)
