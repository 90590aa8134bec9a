"""The settings of a gateway instance, read from INI."""

from dataclasses import dataclass

from berylhaven.gateway.callers._held_bytes import HELD_LIMIT_BYTES
from berylhaven.gateway.requests._shared_retry_budget import RetryAllowance
from berylhaven.hedging import HedgeLimit
from berylhaven.ini import Field, parse_sections
from berylhaven.overload import WarmupTolerance


@dataclass(slots=True, frozen=True)
class GatewayInstanceSettings:
    """The identity and the addresses of the instance."""

    # The name of the instance.
    name: str
    # The data centre of the instance.
    data_centre: str
    # HOST:PORT on which callers are served.
    callers_address: str
    # HOST:PORT on which readiness checks are answered.
    readiness_address: str
    # HOST:PORT on which the other instances are answered.
    peers_address: str
    # HOST:PORT on which callers query which instances to use.
    locate_address: str
    # HOST:PORT on which the metrics are served; empty if they are not.
    metrics_address: str
    # peers_address of the instances that gossip contacts first.
    seed_peers: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class StoreSettings:
    """The store from which routes and backend servers are read."""

    # HOST:PORT of the platform's store.
    address: str
    # The longest wait for an answer, in seconds.
    timeout_s: float


@dataclass(slots=True, frozen=True)
class DrainSettings:
    """The drain of the instance."""

    # The time from the signal until the process is killed, in seconds.
    grace_s: float


@dataclass(slots=True, frozen=True)
class RetrySettings:
    """The retry budget of all instances together."""

    # Retries allowed per request.
    budget_ratio: float
    # Additional retries allowed in each window.
    budget_extra_count: float
    # The window's length in seconds.
    budget_window_s: float

    @property
    def allowance(self) -> RetryAllowance:
        """The settings as an allowance of the retry budget."""
        return RetryAllowance(
            self.budget_ratio, self.budget_extra_count, self.budget_window_s
        )


@dataclass(slots=True, frozen=True)
class LocateSettings:
    """The locate answers."""

    # How long callers may keep an answer, in seconds.
    time_to_live_s: float


@dataclass(slots=True, frozen=True)
class HedgingSettings:
    """The limit of hedges of all instances together."""

    # Hedges allowed per request of a service; 0 for none.
    extra_request_ratio: float
    # The share of a service's slots in use beyond which no hedge is sent.
    busy_slot_ratio: float

    @property
    def limit(self) -> HedgeLimit:
        """The settings as a limit of hedges."""
        return HedgeLimit(self.extra_request_ratio, self.busy_slot_ratio)


@dataclass(slots=True, frozen=True)
class WarmupSettings:
    """What a cold server bears in one second, beside the rate of its service."""

    # The requests in any one second, relative to the rate of the service.
    excess_ratio: float
    # The requests in any one second in addition to that.
    slack_count: float

    @property
    def tolerance(self) -> WarmupTolerance:
        """The settings as the tolerance of a cold server."""
        return WarmupTolerance(self.excess_ratio, self.slack_count)


@dataclass(slots=True, frozen=True)
class MemorySettings:
    """The memory for what callers and servers have not read yet."""

    # The bytes held at one time: request heads and bodies, and answers.
    held_limit_bytes: int


@dataclass(slots=True, frozen=True)
class GatewaySettings:
    """All settings of one gateway instance."""

    # The identity and the addresses.
    instance: GatewayInstanceSettings
    # The store of routes and backend servers.
    store: StoreSettings
    # The drain.
    drain: DrainSettings
    # The retry budget.
    retries: RetrySettings
    # The locate answers.
    locate: LocateSettings
    # The memory for bodies and answers.
    memory: MemorySettings
    # The limit of cold servers.
    warmup: WarmupSettings
    # The limit of hedges; None without the section: hedges are then sent within the
    # retry budget only.
    hedging: HedgingSettings | None = None

    @property
    def hedge_limit(self) -> HedgeLimit | None:
        """The limit of hedges; None without the section."""
        return self.hedging.limit if self.hedging else None


HEDGING = "hedging"
SECTIONS = {
    "instance": (
        GatewayInstanceSettings,
        (
            Field("name", "name"),
            Field("data_centre", "name"),
            Field("callers_address", "address"),
            Field("readiness_address", "address"),
            Field("peers_address", "address"),
            Field("locate_address", "address"),
            Field("metrics_address", "address", default=""),
            Field("seed_peers", "addresses", default=()),
        ),
    ),
    "store": (
        StoreSettings,
        (
            Field("address", "address"),
            Field("timeout_s", "number", default=1.0, minimum=0.05, maximum=30),
        ),
    ),
    "drain": (
        DrainSettings,
        (Field("grace_s", "number", default=6.0, minimum=0.5, maximum=3_600),),
    ),
    "retries": (
        RetrySettings,
        (
            Field("budget_ratio", "number", default=0.1, minimum=0, maximum=1),
            Field(
                "budget_extra_count", "number", default=10, minimum=0, maximum=100_000
            ),
            Field("budget_window_s", "number", default=10, minimum=1, maximum=600),
        ),
    ),
    "locate": (
        LocateSettings,
        (Field("time_to_live_s", "number", default=5.0, minimum=0.5, maximum=300),),
    ),
    "memory": (
        MemorySettings,
        (
            Field(
                "held_limit_bytes",
                "integer",
                default=HELD_LIMIT_BYTES,
                minimum=1_000_000,
                maximum=1_000_000_000_000,
            ),
        ),
    ),
    "warmup": (
        WarmupSettings,
        (
            # With less, a single instance could not use the rate.
            Field("excess_ratio", "number", default=1.5, minimum=1, maximum=100),
            Field("slack_count", "number", default=8, minimum=1, maximum=10_000),
        ),
    ),
    HEDGING: (
        HedgingSettings,
        (
            Field("extra_request_ratio", "number", default=0.05, minimum=0, maximum=1),
            Field("busy_slot_ratio", "number", default=0.7, minimum=0, maximum=1),
        ),
    ),
}
OPTIONAL_SECTIONS = ("drain", "retries", "locate", "memory", "warmup", HEDGING)


class InvalidGatewaySettings(ExceptionGroup):
    """All problems of a gateway's settings file."""


def parse_gateway_settings(text: str) -> GatewaySettings:
    """Parse and validate settings.

    Parameters
    ----------
    text : str
        The INI text.

    Returns
    -------
    GatewaySettings
        The validated settings.

    Raises
    ------
    InvalidGatewaySettings
        With all problems found.
    """
    fields = {name: section_fields for name, (_, section_fields) in SECTIONS.items()}
    read = parse_sections(text, fields, OPTIONAL_SECTIONS)
    if read.problems:
        raise InvalidGatewaySettings("settings refused", read.problems)
    parts = {name: kind(**read.values[name]) for name, (kind, _) in SECTIONS.items()}
    if HEDGING not in read.sections:
        parts[HEDGING] = None
    return GatewaySettings(**parts)
