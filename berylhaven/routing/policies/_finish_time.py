"""The policy that compares estimated finish times of sampled servers."""

from collections.abc import Iterable, Sequence

from berylhaven.load import ServerLoad, expected_finish_s, minimum_finish_s
from berylhaven.routing._decision import RoutingDecision, RoutingRequest
from berylhaven.routing._registry import register_policy

# Instances that compared all servers by the same old reports would all choose the
# same one.
SAMPLED_SERVERS = 8
# Estimates within this ratio are treated as equal; otherwise the small remaining
# weight of an old report would decide.
NEARLY_SAME_RATIO = 0.98


@register_policy("finish_time")
def choose_by_finish_time(
    request: RoutingRequest, servers: Sequence[ServerLoad]
) -> RoutingDecision:
    """Choose the server of the earliest estimated finish from a random sample.

    All servers are compared only if every sampled one is ejected or expected to miss
    the deadline. No server is chosen if none can answer before the deadline.
    """
    count = len(servers)
    if count <= SAMPLED_SERVERS:
        sampled = servers
    else:
        sampled = request.random.sample(servers, SAMPLED_SERVERS)
    best, finish_s = _earliest(request, sampled)
    remaining_s = request.deadline_s - request.now_s
    needs_all_servers = best is None or finish_s > remaining_s
    if needs_all_servers and sampled is not servers:
        best, finish_s = _earliest(request, servers)
    if best is None:
        best, finish_s = _earliest(request, servers, skips_ejected=False)
    if finish_s > remaining_s and not _can_meet_deadline(request, servers, remaining_s):
        return RoutingDecision(None, count, None, finish_s)
    age_s = best.report_age_s(request.now_s)
    return RoutingDecision(best, count, age_s, finish_s)


def _earliest(
    request: RoutingRequest,
    servers: Iterable[ServerLoad],
    skips_ejected: bool = True,
) -> tuple[ServerLoad | None, float]:
    now_s = request.now_s
    best = None
    best_s = 0.0
    for server in servers:
        if skips_ejected and server.has_penalty and _is_skipped(server, now_s):
            continue
        finish_s = expected_finish_s(server, now_s, request.data_centre)
        if best is None or finish_s < best_s * NEARLY_SAME_RATIO:
            best = server
            best_s = finish_s
    return best, best_s


def _is_skipped(server: ServerLoad, now_s: float) -> bool:
    return server.is_ejected(now_s) and server.service.is_ejection_allowed(now_s)


def _can_meet_deadline(
    request: RoutingRequest, servers: Sequence[ServerLoad], remaining_s: float
) -> bool:
    now_s = request.now_s
    return any(minimum_finish_s(server, now_s) <= remaining_s for server in servers)
