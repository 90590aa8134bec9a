"""The gate that each call passes before it is routed."""

from random import Random

from berylhaven.admission._concurrency_limit import ConcurrencyLimit, ConcurrencySlot
from berylhaven.admission._firm_shares import FirmShares
from berylhaven.admission._overload import OverloadEstimator
from berylhaven.admission._service_limits import ServiceLimits
from berylhaven.catalogue import Catalogue, ServiceEntry
from berylhaven.results import InstanceOverloaded, OverLimit, ShareExceeded
from berylhaven.settings import ProxySettings

# A lease is asked for at once, so that a repeat after this time may find room.
RETRY_AFTER_S = 1.0


class AdmissionTicket:
    """The right to have one call in flight, until it is released.

    Parameters
    ----------
    shares : FirmShares
        Where the call counts for its firm.
    firm : str
        The firm that owns the call's service.
    limit : ConcurrencyLimit
        Where the call counts for its service.
    slot : ConcurrencySlot
        The call's place in that limit.
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
        """Give the right back; further calls do nothing."""
        if self._shares is not None:
            self._shares.release(self._firm)
            self._limit.release(self._slot)
            self._shares = None


class AdmissionGate:
    """Admits calls within the shares, limits and strength of this instance.

    Parameters
    ----------
    settings : ProxySettings
        With the instance's own bound.
    random : Random
        Decides which calls are shed while the event loop is late.
    started_at_s : float
        When this run began, on the hub's clock.
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
        # The pressure on the event loop.
        self.overload = OverloadEstimator()
        # Calls in flight by firm.
        self.shares = FirmShares(settings.concurrency_limit)

    def admit(
        self,
        catalogue: Catalogue,
        service: ServiceEntry,
        now_s: float,
        deadline_s: float,
    ) -> AdmissionTicket:
        """Take a call in.

        Parameters
        ----------
        catalogue : Catalogue
            The catalogue in force.
        service : ServiceEntry
            The call's service.
        now_s : float
            The time on the hub's clock.
        deadline_s : float
            When the call ends at the latest, on the hub's clock.

        Returns
        -------
        AdmissionTicket
            To be released when the call has ended.

        Raises
        ------
        InstanceOverloaded
            If the event loop is too late to take in more.
        ShareExceeded
            If the firm's share is used and the rest of the instance too.
        OverLimit
            If a limit of the service is used up.
        """
        limits = self.limits_of(catalogue, service, now_s)
        self._check_instance(catalogue, service)
        slot = limits.concurrency.try_acquire(now_s, deadline_s)
        if slot is None:
            limits.refused_count += 1
            message = f"service {service.name} has its calls in flight"
            raise OverLimit(message, RETRY_AFTER_S)
        if not limits.rate.try_acquire(now_s):
            limits.concurrency.release(slot)
            limits.refused_count += 1
            message = f"service {service.name} has its calls a second"
            raise OverLimit(message, RETRY_AFTER_S)
        self.shares.acquire(service.owner)
        return AdmissionTicket(self.shares, service.owner, limits.concurrency, slot)

    def limits_of(
        self, catalogue: Catalogue, service: ServiceEntry, now_s: float
    ) -> ServiceLimits:
        """Return a service's limits, brought up to the catalogue in force."""
        self.apply(catalogue, now_s)
        return self._limits[service.name]

    def apply(self, catalogue: Catalogue, now_s: float) -> None:
        """Bring the limits up to a catalogue, unless they are so already."""
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
        """Return the limits by service."""
        return self._limits

    @property
    def in_flight_count(self) -> int:
        """Calls in flight, all services together."""
        return self.shares.in_flight_count

    @property
    def load_ratio(self) -> float:
        """How full the instance is: calls in flight or the loop's pressure."""
        filled = self.in_flight_count / self._settings.concurrency_limit
        return max(filled, self.overload.pressure)

    def _check_instance(self, catalogue: Catalogue, service: ServiceEntry) -> None:
        share_ratio = catalogue.firms[service.owner].guaranteed_share_ratio
        self.overload.record_call(service.owner)
        shed_probability = self.overload.shed_probability(
            service.owner, share_ratio, service.call_class
        )
        if shed_probability and self._random.random() < shed_probability:
            message = "the event loop is late"
            raise InstanceOverloaded(message, RETRY_AFTER_S)
        if not self.shares.may_admit(service.owner, share_ratio, service.call_class):
            message = f"the instance is full for firm {service.owner}"
            raise ShareExceeded(message, RETRY_AFTER_S)
