"""One route and the services behind it."""

import enum
from dataclasses import dataclass


class RequestKind(enum.Enum):
    """What may be repeated of a route's requests."""

    # May run more than once.
    IDEMPOTENT = "idempotent"
    # May run once at most.
    ONCE_ONLY = "once-only"
    # May run once at most, and has a large body.
    UPLOAD = "upload"


@dataclass(slots=True, frozen=True)
class WeightedService:
    """A service's part of a route's requests."""

    # The service's name.
    service: str
    # Its share, relative to the other parts of the route.
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Where requests of one host and path prefix go."""

    # The route's name.
    name: str
    # The host that requests name, in lower case.
    host: str
    # The prefix of the path; it begins and ends with a slash.
    prefix: str
    # What may be repeated.
    kind: RequestKind
    # The services that share the requests; at least one.
    parts: tuple[WeightedService, ...]
    # The longest time that a caller is kept waiting, in seconds.
    timeout_s: float
    # The most backend servers that one request may be sent to.
    attempt_limit: int
    # An answer within this time is worth most, in seconds.
    latency_objective_s: float
    # The rank under overload; 0 goes first.
    priority: int

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT
