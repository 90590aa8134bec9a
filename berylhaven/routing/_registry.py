"""The registry of routing policies."""

import importlib
import pkgutil
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from berylhaven.routing._decision import RoutingDecision, RoutingRequest

if TYPE_CHECKING:
    from berylhaven.load import ServerLoad

Policy = Callable[[RoutingRequest, "Sequence[ServerLoad]"], RoutingDecision]

_POLICIES: dict[str, Policy] = {}


def register_policy(name: str) -> Callable[[Policy], Policy]:
    """Register a routing policy under the name that the catalogue uses.

    Parameters
    ----------
    name : str
        The policy's name.

    Returns
    -------
    callable
        The decorator for a pure function of the request and at least one candidate.
    """

    def decorate(policy: Policy) -> Policy:
        _POLICIES[name] = policy
        return policy

    return decorate


def routing_policies() -> dict[str, Policy]:
    """Return the registered policies by name."""
    if not _POLICIES:
        _import_policies()
    return _POLICIES


def choose(
    policy_name: str, request: RoutingRequest, servers: "Sequence[ServerLoad]"
) -> RoutingDecision:
    """Choose a backend server with a registered policy.

    Parameters
    ----------
    policy_name : str
        The policy's registry name.
    request : RoutingRequest
        The parameters of the decision.
    servers : sequence of ServerLoad
        All backend servers of the service that accept new calls.

    Returns
    -------
    RoutingDecision
        Without a server if there is no candidate or none can answer in time.
    """
    candidates = servers
    if request.excluded:
        candidates = [s for s in servers if s.address not in request.excluded]
    if not candidates:
        return RoutingDecision(None, 0, None, None)
    policy = routing_policies()[policy_name]
    decision = policy(request, candidates)
    if decision.server is None or not decision.server.is_leaving:
        return decision
    # Leaving servers are rare: they are filtered out only if one was chosen.
    staying = [s for s in candidates if not s.is_leaving]
    if not staying:
        return RoutingDecision(None, 0, None, None)
    return policy(request, staying)


def _import_policies() -> None:
    from berylhaven.routing import policies

    for module in pkgutil.iter_modules(policies.__path__):
        if not module.ispkg:
            importlib.import_module(f"{policies.__name__}.{module.name}")
