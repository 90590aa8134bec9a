"""The catalogue's entries as typed values."""

import enum
import fnmatch
import hashlib
from dataclasses import dataclass, field

from berylhaven.results import CheckProblem


class CallClass(enum.Enum):
    """How calls of a service rank when not all can be served."""

    TRANSACTION = "transaction"
    INTERACTIVE = "interactive"
    BULK = "bulk"


@dataclass(slots=True, frozen=True)
class MethodPath:
    """A pattern of calls."""

    # The HTTP method in capitals, or * for any.
    method: str
    # The path's pattern, in which * stands for any text.
    path_pattern: str

    def __str__(self) -> str:
        """Return the pattern as the catalogue writes it."""
        return f"{self.method} {self.path_pattern}"

    def matches(self, method: str, path: str) -> bool:
        """Tell whether a call falls under the pattern."""
        if self.method not in ("*", method):
            return False
        return fnmatch.fnmatchcase(path, self.path_pattern)


@dataclass(slots=True, frozen=True)
class ServiceEntry:
    """One service of the catalogue."""

    # The service's name.
    name: str
    # The firm that owns the service.
    owner: str
    # The class of all calls of the service.
    call_class: CallClass
    # The most calls in flight over the whole fleet.
    concurrency_limit: int
    # The most open connections to one backend server over the whole fleet.
    connection_limit_per_backend_server: int
    # The most calls a second over the whole fleet.
    rate_limit_per_s: float
    # Probes' processor time as a share of a backend server's slot time.
    measuring_budget_ratio: float
    # What one probe costs a backend server, in milliseconds of a slot.
    probe_cost_ms: float
    # The longest time for a call, and the time if the caller names none.
    deadline_ms: int
    # The largest request body.
    body_limit_bytes: int
    # Which calls may safely run more than once.
    idempotent: tuple[MethodPath, ...]
    # Retries as a share of calls.
    retry_budget_ratio: float
    # Hedged calls as a share of calls; 0 hedges nothing.
    hedge_budget_ratio: float
    # The registry name of the routing policy.
    routing_policy: str

    def is_idempotent(self, method: str, path: str) -> bool:
        """Tell whether a call may safely run more than once."""
        return any(pattern.matches(method, path) for pattern in self.idempotent)


@dataclass(slots=True, frozen=True)
class FirmEntry:
    """One firm of the catalogue."""

    # The firm's name.
    name: str
    # The part of each entry instance that the firm can have at once.
    guaranteed_share_ratio: float


@dataclass(slots=True, frozen=True)
class FleetEntry:
    """What holds for all entry instances together."""

    # The largest number of entry instances that run at one time.
    max_entry_instances: int


@dataclass(slots=True, frozen=True)
class Catalogue:
    """A checked catalogue."""

    # What holds for all entry instances.
    fleet: FleetEntry
    # The firms by name.
    firms: dict[str, FirmEntry]
    # The services by name.
    services: dict[str, ServiceEntry]
    # The text from which it was read.
    text: str = field(repr=False, default="")

    @property
    def digest(self) -> str:
        """A hexadecimal digest of the text."""
        return hashlib.blake2b(self.text.encode(), digest_size=8).hexdigest()


@dataclass(slots=True, frozen=True)
class ActiveCatalogue:
    """The catalogue by which the instance works."""

    # The platform's version of the value.
    revision: int
    # The digest of the text, by which peers compare.
    digest: str
    # The checked catalogue.
    catalogue: Catalogue


@dataclass(slots=True, frozen=True)
class RejectedCatalogue:
    """A revision that was read and refused; the one in force stays."""

    # The platform's version of the refused value.
    revision: int
    # Every fault that the check found.
    problems: tuple[CheckProblem, ...]
