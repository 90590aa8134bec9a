"""The settings of a gateway instance, read from INI."""

from dataclasses import dataclass

from berylhaven.gateway.callers._held_bytes import HELD_LIMIT_BYTES
from berylhaven.gateway.requests._shared_retry_budget import RetryAllowance
from berylhaven.ini import Field, parse_sections


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
}
OPTIONAL_SECTIONS = ("drain", "retries", "locate", "memory")


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
    return GatewaySettings(
        **{name: kind(**read.values[name]) for name, (kind, _) in SECTIONS.items()}
    )
