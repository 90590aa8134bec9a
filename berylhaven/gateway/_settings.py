"""The settings of a gateway instance, read from INI."""

from dataclasses import dataclass

from berylhaven.gateway._shared_retry_budget import RetryAllowance
from berylhaven.ini import Field, read_sections


@dataclass(slots=True, frozen=True)
class GatewayInstanceSettings:
    """Who this instance is and where it listens."""

    # Its name.
    name: str
    # The data centre in which it stands.
    data_centre: str
    # HOST:PORT for callers.
    callers_address: str
    # HOST:PORT for checks of readiness.
    readiness_address: str
    # HOST:PORT for the other instances.
    peers_address: str
    # HOST:PORT where callers ask which instances to use.
    locate_address: str
    # HOST:PORT of the metrics; empty if they are not served.
    metrics_address: str
    # Peers' addresses to ask first.
    seed_peers: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class StoreSettings:
    """Where routes and servers are published."""

    # HOST:PORT of the platform's store.
    address: str
    # How long to wait for an answer, in seconds.
    timeout_s: float


@dataclass(slots=True, frozen=True)
class DrainSettings:
    """How the instance leaves."""

    # From the signal to the end by force, in seconds.
    grace_s: float


@dataclass(slots=True, frozen=True)
class RetrySettings:
    """The retries of all instances together."""

    # Retries for each request.
    budget_ratio: float
    # Retries of a window besides.
    budget_extra_count: float
    # The window's length in seconds.
    budget_window_s: float

    @property
    def allowance(self) -> RetryAllowance:
        """The same as the budget takes it."""
        return RetryAllowance(
            self.budget_ratio, self.budget_extra_count, self.budget_window_s
        )


@dataclass(slots=True, frozen=True)
class LocateSettings:
    """What callers are told."""

    # How long they may keep an answer, in seconds.
    time_to_live_s: float


@dataclass(slots=True, frozen=True)
class GatewaySettings:
    """All settings of one gateway instance."""

    # Who it is.
    instance: GatewayInstanceSettings
    # Where routes and servers are published.
    store: StoreSettings
    # How it leaves.
    drain: DrainSettings
    # The retries.
    retries: RetrySettings
    # What callers are told.
    locate: LocateSettings


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
}
OPTIONAL_SECTIONS = ("drain", "retries", "locate")


class InvalidGatewaySettings(ExceptionGroup):
    """Every fault of a gateway's settings file."""


def read_gateway_settings(text: str) -> GatewaySettings:
    """Check settings given as text.

    Parameters
    ----------
    text : str
        The INI text.

    Returns
    -------
    GatewaySettings
        The checked settings.

    Raises
    ------
    InvalidGatewaySettings
        With every fault found.
    """
    fields = {name: section_fields for name, (_, section_fields) in SECTIONS.items()}
    read = read_sections(text, fields, OPTIONAL_SECTIONS)
    if read.problems:
        raise InvalidGatewaySettings("settings refused", read.problems)
    return GatewaySettings(
        **{name: kind(**read.values[name]) for name, (kind, _) in SECTIONS.items()}
    )
