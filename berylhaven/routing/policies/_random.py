"""The policy that chooses at random."""

from collections.abc import Sequence

from berylhaven.load import ServerLoad
from berylhaven.routing._decision import RoutingDecision, RoutingRequest
from berylhaven.routing._registry import register_policy


@register_policy("random")
def choose_random(
    request: RoutingRequest, servers: Sequence[ServerLoad]
) -> RoutingDecision:
    """Choose any server with equal probability."""
    server = request.random.choice(servers)
    age_s = server.report_age_s(request.now_s)
    return RoutingDecision(server, len(servers), age_s, None)
