"""Typed entries of the catalogue."""

import enum
import fnmatch
import hashlib
from dataclasses import dataclass, field

from berylhaven.results import CheckProblem


class CallClass(enum.Enum):
    """Priority of a service's calls under overload, from highest to lowest."""

    TRANSACTION = "transaction"
    INTERACTIVE = "interactive"
    BULK = "bulk"


@dataclass(slots=True, frozen=True)
class MethodPath:
    """A pattern that matches calls by method and path."""

    # The HTTP method in capitals, or * for any method.
    method: str
    # The pattern of the path; * matches any text.
    path_pattern: str

    def __str__(self) -> str:
        """Return the pattern in the catalogue's notation."""
        return f"{self.method} {self.path_pattern}"

    def matches(self, method: str, path: str) -> bool:
        """Return whether a call matches the pattern."""
        if self.method not in ("*", method):
            return False
        return fnmatch.fnmatchcase(path, self.path_pattern)


@dataclass(slots=True, frozen=True)
class ServiceEntry:
    """One service of the catalogue."""

    # The name of the service.
    name: str
    # The firm that owns the service.
    owner: str
    # The class of all calls of the service.
    call_class: CallClass
    # The maximum number of calls in flight in the whole fleet.
    concurrency_limit: int
    # The maximum number of open connections from the whole fleet to one backend server.
    connection_limit_per_backend_server: int
    # The maximum number of calls per second in the whole fleet.
    rate_limit_per_s: float
    # The maximum processor time of probes, as a fraction of a backend server's slot
    # time.
    measuring_budget_ratio: float
    # The cost of one probe to a backend server, in milliseconds of slot time.
    probe_cost_ms: float
    # The maximum duration of a call in milliseconds, and the default if the caller
    # gives no timeout.
    deadline_ms: int
    # The maximum size of a request body in bytes.
    body_limit_bytes: int
    # Patterns of the calls that can safely run more than once.
    idempotent: tuple[MethodPath, ...]
    # The maximum number of retries, as a fraction of the calls.
    retry_budget_ratio: float
    # The maximum number of hedged calls, as a fraction of the calls; 0 disables
    # hedging.
    hedge_budget_ratio: float
    # The registry name of the routing policy.
    routing_policy: str

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a call can safely run more than once."""
        return any(pattern.matches(method, path) for pattern in self.idempotent)


@dataclass(slots=True, frozen=True)
class FirmEntry:
    """One firm of the catalogue."""

    # The name of the firm.
    name: str
    # The fraction of each entry instance's concurrency limit that is guaranteed to the
    # firm.
    guaranteed_share_ratio: float


@dataclass(slots=True, frozen=True)
class FleetEntry:
    """Properties of the fleet of entry instances."""

    # The maximum number of entry instances that run at the same time.
    max_entry_instances: int


@dataclass(slots=True, frozen=True)
class Catalogue:
    """A validated catalogue."""

    # Properties of the fleet of entry instances.
    fleet: FleetEntry
    # The firms by name.
    firms: dict[str, FirmEntry]
    # The services by name.
    services: dict[str, ServiceEntry]
    # The text from which the catalogue was parsed.
    text: str = field(repr=False, default="")

    @property
    def digest(self) -> str:
        """The hexadecimal digest of the text."""
        return hashlib.blake2b(self.text.encode(), digest_size=8).hexdigest()


@dataclass(slots=True, frozen=True)
class ActiveCatalogue:
    """The catalogue that the instance applies."""

    # The version that the configuration service gave the value.
    revision: int
    # The digest of the text, which peers compare with their own.
    digest: str
    # The validated catalogue.
    catalogue: Catalogue


@dataclass(slots=True, frozen=True)
class RejectedCatalogue:
    """An invalid revision; the active catalogue stays in use."""

    # The version that the configuration service gave the value.
    revision: int
    # Every problem found by validation.
    problems: tuple[CheckProblem, ...]
