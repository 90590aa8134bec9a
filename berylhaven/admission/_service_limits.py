"""The limits of one service at this instance."""

from berylhaven.admission._concurrency_limit import ConcurrencyLimit
from berylhaven.admission._demand import Demand
from berylhaven.admission._escrow import Escrow
from berylhaven.admission._rate_limit import RateLimit
from berylhaven.catalogue import FleetEntry, ServiceEntry


class ServiceLimits:
    """A service's concurrency and rate, as this instance may use them.

    Parameters
    ----------
    service : ServiceEntry
        With the fleet's limits.
    fleet : FleetEntry
        With the largest number of entry instances.
    started_at_s : float
        When this run began, on the hub's clock.
    """

    __slots__ = (
        "concurrency",
        "rate",
        "concurrency_demand",
        "rate_demand_per_s",
        "refused_count",
    )

    def __init__(
        self,
        service: ServiceEntry,
        fleet: FleetEntry,
        started_at_s: float,
    ) -> None:
        # Calls in flight.
        self.concurrency = ConcurrencyLimit(
            Escrow(_part(service.concurrency_limit, fleet), started_at_s)
        )
        # Calls a second; the bucket has been filling since the run began.
        self.rate = RateLimit(
            Escrow(_part(service.rate_limit_per_s, fleet), started_at_s), started_at_s
        )
        # Calls that were wanted in flight at once.
        self.concurrency_demand = Demand()
        # Calls a second that were wanted.
        self.rate_demand_per_s = Demand()
        # Calls refused for one of the two since the start.
        self.refused_count = 0

    def apply(self, service: ServiceEntry, fleet: FleetEntry, now_s: float) -> None:
        """Take over the limits of a new catalogue."""
        self.rate.refill(now_s)
        self.concurrency.escrow.set_quota(_part(service.concurrency_limit, fleet))
        self.rate.escrow.set_quota(_part(service.rate_limit_per_s, fleet))

    @property
    def is_idle(self) -> bool:
        """Whether nothing was wanted lately and nothing is borrowed."""
        return (
            self.concurrency_demand.amount == 0
            and self.rate_demand_per_s.amount == 0
            and not self.concurrency.escrow.has_borrowed
            and not self.rate.escrow.has_borrowed
        )

    def observe_demand(self, now_s: float) -> None:
        """Take in what was wanted since the last observation."""
        self.concurrency_demand.observe(self.concurrency.collect_demand())
        self.rate_demand_per_s.observe(self.rate.collect_demand(now_s))


def connection_quota(service: ServiceEntry, fleet: FleetEntry) -> int:
    """Return how many connections to one backend server this instance may have.

    Parameters
    ----------
    service : ServiceEntry
        With the fleet's limit for one backend server.
    fleet : FleetEntry
        With the largest number of entry instances.

    Returns
    -------
    int
        Parts of all instances together are within the fleet's limit.
    """
    return service.connection_limit_per_backend_server // fleet.max_entry_instances


def _part(limit: float, fleet: FleetEntry) -> float:
    return limit / fleet.max_entry_instances
