"""The state that the faults of a soak share."""

import random
import time
from dataclasses import dataclass, field
from pathlib import Path

from standins.gateway_fleet import ORDERS, READS, GatewayFleet, GatewayProcess

FAULT_DURATION_RANGE_S = (0.2, 2.5)


@dataclass(slots=True)
class SoakContext:
    """The state that the faults of a soak share."""

    # The running fleet.
    fleet: GatewayFleet
    # The seeded source of the faults' targets and parameters.
    source: random.Random
    # Indexes of gateways that a fault is acting on, so that no other fault does.
    disturbed_gateways: set[int] = field(default_factory=set)
    # When the last fault that acted on a gateway ended, by index.
    calm_since_s: dict[int, float] = field(default_factory=dict)
    # Descriptions of broken guarantees that the faults detected.
    broken: list[str] = field(default_factory=list)
    # Whether a gateway is cut off from the servers.
    is_cutting: bool = False
    # Whether no further fault may be injected.
    is_ending: bool = False
    # The latest version of the configuration that was written.
    version: int = 1
    # How often connections were reset or made unresponsive, by proxy and counter.
    counts: dict[tuple[str, str], int] = field(default_factory=dict)
    # The roots of the trees from which gateways are started again, in any order.
    trees: tuple[Path, ...] = ()

    def random_duration_s(self) -> float:
        """Return a random duration of a fault in seconds."""
        return self.source.uniform(*FAULT_DURATION_RANGE_S)

    def start_again(self, gateway: GatewayProcess) -> None:
        """Start a gateway whose process has ended, and wait until it is ready."""
        if self.trees:
            gateway.tree = self.source.choice(self.trees)
        self.fleet.start_gateway(gateway)
        self.fleet.wait_until_ready(gateway)

    def random_server(self) -> str:
        """Return HOST:PORT of a random server."""
        service = self.source.choice((READS, ORDERS))
        return self.source.choice(self.fleet.servers[service])

    def is_calm(self, index: int, duration_s: float) -> bool:
        """Return whether no fault has acted on a gateway for a time."""
        if index in self.disturbed_gateways:
            return False
        return time.monotonic() - self.calm_since_s.get(index, 0.0) >= duration_s

    def next_count(self, proxy: str, name: str) -> int:
        """Increment a counter of a proxy and return its new value."""
        key = (proxy, name)
        self.counts[key] = self.counts.get(key, 0) + 1
        return self.counts[key]
