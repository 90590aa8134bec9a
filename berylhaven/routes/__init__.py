"""Routes: which service a request goes to, and how it may be retried."""

from berylhaven.routes._configuration import (
    CallerLimits,
    RoutingConfiguration,
    ServiceSpec,
)
from berylhaven.routes._route import (
    RequestKind,
    Route,
    WeightedService,
    unusable_route,
)
from berylhaven.routes._route_table import RouteTable
from berylhaven.routes._split_chooser import SplitChooser

__all__ = [
    "CallerLimits",
    "RequestKind",
    "Route",
    "RouteTable",
    "RoutingConfiguration",
    "ServiceSpec",
    "SplitChooser",
    "WeightedService",
    "unusable_route",
]
