"""The limits of one service at this instance."""

from berylhaven.admission._concurrency_limit import ConcurrencyLimit
from berylhaven.admission._demand import Demand
from berylhaven.admission._escrow import Escrow
from berylhaven.admission._rate_limit import RateLimit
from berylhaven.catalogue import FleetEntry, ServiceEntry


class ServiceLimits:
    """The concurrency limit and the rate limit of one service at this instance.

    Parameters
    ----------
    service : ServiceEntry
        The service with its fleet-wide limits.
    fleet : FleetEntry
        The fleet with the maximum number of entry instances.
    started_at_s : float
        When this run started, on the hub's clock.
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
        # The limit on calls in flight.
        self.concurrency = ConcurrencyLimit(
            Escrow(_quota(service.concurrency_limit, fleet), started_at_s)
        )
        # The limit on calls per second; the bucket is filled from the start of the run.
        self.rate = RateLimit(
            Escrow(_quota(service.rate_limit_per_s, fleet), started_at_s), started_at_s
        )
        # The recent demand for calls in flight.
        self.concurrency_demand = Demand()
        # The recent demand for calls per second.
        self.rate_demand_per_s = Demand()
        # The number of calls refused by one of the two limits since the start.
        self.refused_count = 0

    def apply(self, service: ServiceEntry, fleet: FleetEntry, now_s: float) -> None:
        """Apply the limits of a new catalogue."""
        self.rate.refill(now_s)
        self.concurrency.escrow.set_quota(_quota(service.concurrency_limit, fleet))
        self.rate.escrow.set_quota(_quota(service.rate_limit_per_s, fleet))

    @property
    def is_idle(self) -> bool:
        """Whether there is no recent demand and no borrowed lease."""
        return (
            self.concurrency_demand.amount == 0
            and self.rate_demand_per_s.amount == 0
            and not self.concurrency.escrow.has_borrowed
            and not self.rate.escrow.has_borrowed
        )

    def observe_demand(self, now_s: float) -> None:
        """Record the demand since the last observation."""
        self.concurrency_demand.observe(self.concurrency.collect_demand())
        self.rate_demand_per_s.observe(self.rate.collect_demand(now_s))


def connection_quota(service: ServiceEntry, fleet: FleetEntry) -> int:
    """Return the maximum number of this instance's connections to one backend server.

    Parameters
    ----------
    service : ServiceEntry
        The service with the fleet-wide limit per backend server.
    fleet : FleetEntry
        The fleet with the maximum number of entry instances.

    Returns
    -------
    int
        The quota, rounded down so that the sum over all instances is within the limit.
    """
    return service.connection_limit_per_backend_server // fleet.max_entry_instances


def _quota(limit: float, fleet: FleetEntry) -> float:
    return limit / fleet.max_entry_instances
