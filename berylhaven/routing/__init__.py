"""Registry of routing policies: pure functions that choose a backend server."""

from berylhaven.routing._decision import RoutingDecision, RoutingRequest
from berylhaven.routing._registry import (
    choose,
    register_policy,
    routing_policies,
)

__all__ = [
    "RoutingDecision",
    "RoutingRequest",
    "choose",
    "register_policy",
    "routing_policies",
]
