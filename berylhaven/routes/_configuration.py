"""A whole configuration of routes, as the operators published it."""

from dataclasses import dataclass

from berylhaven.routes._route import Route


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """What callers may send, and how long they may take."""

    # The longest head in bytes.
    header_limit_bytes: int = 16_384
    # The longest body in bytes.
    body_limit_bytes: int = 67_108_864
    # How long a head may take from its first byte, in seconds.
    header_timeout_s: float = 3.0
    # How long a connection may be idle, in seconds.
    idle_timeout_s: float = 15.0


@dataclass(slots=True, frozen=True)
class ServiceSpec:
    """What holds for all backend servers of a service."""

    # The service's name.
    name: str
    # The path that answers health checks.
    health_path: str
    # The most connections that one server takes, from all entry instances together.
    connection_limit: int


@dataclass(slots=True, frozen=True)
class RoutingConfiguration:
    """Routes, services and limits of one version."""

    # Rises with each configuration, in uneven steps.
    version: int
    # All routes.
    routes: tuple[Route, ...]
    # The services by name.
    services: dict[str, ServiceSpec]
    # The callers' limits.
    caller_limits: CallerLimits
