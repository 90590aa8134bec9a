"""The policy that estimates when each of two servers would answer."""

from collections.abc import Sequence

from berylhaven.load import ServerLoad
from berylhaven.routing._decision import RoutingDecision, RoutingRequest
from berylhaven.routing._registry import register_policy

UNKNOWN_SERVICE_TIME_S = 0.005


def estimate_finish_s(server: ServerLoad) -> float:
    """Return the expected time to an answer in seconds."""
    service_time_s = server.service_time_s or UNKNOWN_SERVICE_TIME_S
    ahead = server.own_in_flight + 1
    waves = max(1.0, ahead / server.slot_count)
    return service_time_s * waves * (1 + server.consecutive_failures)


@register_policy("finish_time")
def choose_by_finish_time(
    request: RoutingRequest, servers: Sequence[ServerLoad]
) -> RoutingDecision:
    """Choose the earlier of two random servers by estimated time to finish."""
    first = request.random.choice(servers)
    second = request.random.choice(servers)
    server = min(first, second, key=estimate_finish_s)
    age_s = server.news_age_s(request.now_s)
    return RoutingDecision(server, len(servers), age_s, estimate_finish_s(server))
