"""A route and the services that it distributes requests to."""

import enum
from dataclasses import dataclass


class RequestKind(enum.Enum):
    """How often a request of a route may run."""

    # May run more than once.
    IDEMPOTENT = "idempotent"
    # May run at most once.
    ONCE_ONLY = "once-only"
    # May run at most once, and has a large body.
    UPLOAD = "upload"
    # May run more than once, and has a large answer.
    DOWNLOAD = "download"


IDEMPOTENT_KINDS = frozenset({RequestKind.IDEMPOTENT, RequestKind.DOWNLOAD})


@dataclass(slots=True, frozen=True)
class WeightedService:
    """A service and its share of a route's requests."""

    # The name of the service.
    service: str
    # The weight of the service, relative to the other parts of the route.
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """The routing rule for the requests of one host and path prefix."""

    # The name of the route.
    name: str
    # The host of the requests, in lower case.
    host: str
    # The path prefix, which begins and ends with a slash.
    prefix: str
    # How often a request may run.
    kind: RequestKind
    # The services that share the requests; empty only if the route is unusable.
    parts: tuple[WeightedService, ...]
    # The timeout of a request, in seconds.
    timeout_s: float
    # The maximum number of attempts of one request.
    attempt_limit: int
    # The latency objective, in seconds; an answer within it has the highest utility.
    latency_objective_s: float
    # The priority under overload; 0 is the highest.
    priority: int
    # Why requests of the route must be refused; empty if the route is usable.
    unusable_reason: str = ""

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind in IDEMPOTENT_KINDS


def unusable_route(name: str, host: str, prefix: str, reason: str) -> Route:
    """Return a route whose requests are refused.

    It keeps its place in the route table, so that its requests are not routed by a
    shorter prefix.

    Parameters
    ----------
    name : str
        The name of the route.
    host : str
        The host of the requests, in lower case.
    prefix : str
        The path prefix.
    reason : str
        Why its requests are refused.

    Returns
    -------
    Route
        A route without services.
    """
    return Route(
        name=name,
        host=host,
        prefix=prefix,
        kind=RequestKind.ONCE_ONLY,
        parts=(),
        timeout_s=0.0,
        attempt_limit=1,
        latency_objective_s=0.0,
        priority=0,
        unusable_reason=reason,
    )
