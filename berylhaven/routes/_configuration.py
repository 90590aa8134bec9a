"""The configuration of routes that operators publish."""

from dataclasses import dataclass

from berylhaven.routes._route import Route


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Size and time limits for the requests of callers."""

    # The maximum size of a request head, in bytes.
    header_limit_bytes: int = 16_384
    # The maximum size of a request body, in bytes.
    body_limit_bytes: int = 67_108_864
    # The timeout of a request head from its first byte on, in seconds.
    header_timeout_s: float = 3.0
    # The idle timeout of a connection, in seconds.
    idle_timeout_s: float = 15.0


@dataclass(slots=True, frozen=True)
class ServiceSpec:
    """The settings of all backend servers of a service."""

    # The name of the service.
    name: str
    # The path of the health check.
    health_path: str
    # The maximum number of connections to one server from all entry instances.
    connection_limit: int
    # How long a server is cold after its start, in seconds.
    warmup_s: float = 0.0
    # The requests a second that a cold server takes from all instances together; 0 if
    # there is no limit.
    warmup_limit_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class RoutingConfiguration:
    """One version of the routes, services and limits."""

    # The version, which increases with each configuration in steps of any size.
    version: int
    # All routes.
    routes: tuple[Route, ...]
    # The services by name.
    services: dict[str, ServiceSpec]
    # The limits for callers.
    caller_limits: CallerLimits
    # The parts of the document that could not be used as published, one sentence each.
    problems: tuple[str, ...] = ()
