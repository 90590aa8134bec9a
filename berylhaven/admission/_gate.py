"""Admission of calls, applied to each call before it is routed."""

from random import Random

from berylhaven.admission._concurrency_limit import ConcurrencyLimit, ConcurrencySlot
from berylhaven.admission._firm_shares import FirmShares
from berylhaven.admission._overload import OverloadEstimator
from berylhaven.admission._service_limits import ServiceLimits
from berylhaven.catalogue import Catalogue, ServiceEntry
from berylhaven.results import InstanceOverloaded, OverLimit, ShareExceeded
from berylhaven.settings import ProxySettings

# The Retry-After of refused calls. More quota is requested from a peer at once, so a
# retry after this time may be admitted.
RETRY_AFTER_S = 1.0


class AdmissionTicket:
    """The admission of one call; holds its slots until it is released.

    Parameters
    ----------
    shares : FirmShares
        The counts by firm that include the call.
    firm : str
        The firm that owns the call's service.
    limit : ConcurrencyLimit
        The concurrency limit of the call's service.
    slot : ConcurrencySlot
        The call's slot of that limit.
    """

    __slots__ = ("_shares", "_firm", "_limit", "_slot")

    def __init__(
        self,
        shares: FirmShares,
        firm: str,
        limit: ConcurrencyLimit,
        slot: ConcurrencySlot,
    ) -> None:
        self._shares: FirmShares | None = shares
        self._firm = firm
        self._limit = limit
        self._slot = slot

    def release(self) -> None:
        """Release the slots; does nothing if they have been released before."""
        if self._shares is not None:
            self._shares.release(self._firm)
            self._limit.release(self._slot)
            self._shares = None


class AdmissionGate:
    """Admits calls within firms' shares, services' limits and the instance's capacity.

    Parameters
    ----------
    settings : ProxySettings
        Settings with the concurrency limit of this instance.
    random : Random
        Source of random numbers for shedding calls while the event loop is late.
    started_at_s : float
        When this run started, on the hub's clock.
    """

    __slots__ = (
        "_settings",
        "_random",
        "_started_at_s",
        "_limits",
        "_catalogue",
        "overload",
        "shares",
    )

    def __init__(
        self, settings: ProxySettings, random: Random, started_at_s: float
    ) -> None:
        self._settings = settings
        self._random = random
        self._started_at_s = started_at_s
        self._limits: dict[str, ServiceLimits] = {}
        self._catalogue: Catalogue | None = None
        # Estimates the overload of the event loop.
        self.overload = OverloadEstimator()
        # Counts of calls in flight by firm.
        self.shares = FirmShares(settings.concurrency_limit)

    def admit(
        self,
        catalogue: Catalogue,
        service: ServiceEntry,
        now_s: float,
        deadline_s: float,
    ) -> AdmissionTicket:
        """Admit a call or raise the reason for its refusal.

        Parameters
        ----------
        catalogue : Catalogue
            The active catalogue.
        service : ServiceEntry
            The call's service.
        now_s : float
            The time on the hub's clock.
        deadline_s : float
            The call's deadline, on the hub's clock.

        Returns
        -------
        AdmissionTicket
            The caller must release it when the call has ended.

        Raises
        ------
        InstanceOverloaded
            If the call is shed because the event loop is late.
        ShareExceeded
            If the firm's share is used up and the instance has no free capacity for
            the call's class.
        OverLimit
            If the service's concurrency limit or rate limit is reached.
        """
        limits = self.limits_of(catalogue, service, now_s)
        self._check_instance(catalogue, service)
        slot = limits.concurrency.try_acquire(now_s, deadline_s)
        if slot is None:
            limits.refused_count += 1
            message = f'service "{service.name}" has reached its concurrency limit'
            raise OverLimit(message, RETRY_AFTER_S)
        if not limits.rate.try_acquire(now_s):
            limits.concurrency.release(slot)
            limits.refused_count += 1
            message = f'service "{service.name}" has reached its rate limit'
            raise OverLimit(message, RETRY_AFTER_S)
        self.shares.acquire(service.owner)
        return AdmissionTicket(self.shares, service.owner, limits.concurrency, slot)

    def limits_of(
        self, catalogue: Catalogue, service: ServiceEntry, now_s: float
    ) -> ServiceLimits:
        """Return a service's limits, updated to the active catalogue."""
        self.apply(catalogue, now_s)
        return self._limits[service.name]

    def apply(self, catalogue: Catalogue, now_s: float) -> None:
        """Update the limits to a catalogue, unless it is already applied."""
        if catalogue is self._catalogue:
            return
        kept = {}
        for name, service in catalogue.services.items():
            limits = self._limits.get(name)
            if limits is None:
                limits = ServiceLimits(service, catalogue.fleet, self._started_at_s)
            else:
                limits.apply(service, catalogue.fleet, now_s)
            kept[name] = limits
        self._limits = kept
        self._catalogue = catalogue

    def limits(self) -> dict[str, ServiceLimits]:
        """Return the limits by service name."""
        return self._limits

    @property
    def in_flight_count(self) -> int:
        """The number of calls in flight, all services together."""
        return self.shares.in_flight_count

    @property
    def load_ratio(self) -> float:
        """The greater of used concurrency and event loop pressure, as a ratio."""
        filled = self.in_flight_count / self._settings.concurrency_limit
        return max(filled, self.overload.pressure)

    def _check_instance(self, catalogue: Catalogue, service: ServiceEntry) -> None:
        share_ratio = catalogue.firms[service.owner].guaranteed_share_ratio
        self.overload.record_call(service.owner)
        shed_probability = self.overload.shed_probability(
            service.owner, share_ratio, service.call_class
        )
        if shed_probability and self._random.random() < shed_probability:
            message = "the instance is overloaded: its event loop is late"
            raise InstanceOverloaded(message, RETRY_AFTER_S)
        if not self.shares.may_admit(service.owner, share_ratio, service.call_class):
            message = f'firm "{service.owner}" has reached its share of this instance'
            raise ShareExceeded(message, RETRY_AFTER_S)
