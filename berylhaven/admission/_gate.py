"""The gate that each call passes before it is routed."""

from berylhaven.catalogue import Catalogue, ServiceEntry
from berylhaven.results import OverLimit
from berylhaven.settings import ProxySettings

RETRY_AFTER_S = 1.0


class AdmissionTicket:
    """The right to have one call in flight, until it is released.

    Parameters
    ----------
    gate : AdmissionGate
        The gate that gave it.
    service_name : str
        The service of the call.
    """

    __slots__ = ("_gate", "_service_name")

    def __init__(self, gate: "AdmissionGate", service_name: str) -> None:
        self._gate: AdmissionGate | None = gate
        self._service_name = service_name

    def release(self) -> None:
        """Give the right back; further calls do nothing."""
        if self._gate is not None:
            self._gate._release(self._service_name)
            self._gate = None


class AdmissionGate:
    """Counts calls in flight against the limits of this entry instance.

    Parameters
    ----------
    settings : ProxySettings
        With the instance's own bound.
    """

    __slots__ = ("_settings", "_in_flight")

    def __init__(self, settings: ProxySettings) -> None:
        self._settings = settings
        self._in_flight: dict[str, int] = {}

    def admit(
        self, catalogue: Catalogue, service: ServiceEntry, now_s: float
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

        Returns
        -------
        AdmissionTicket
            To be released when the call has ended.

        Raises
        ------
        OverLimit
            If a limit is used up.
        """
        share = max(1, service.concurrency_limit // catalogue.fleet.max_entry_instances)
        own = self._in_flight.get(service.name, 0)
        if own >= share or self.in_flight_count >= self._settings.concurrency_limit:
            message = f"service {service.name} has {own} calls in flight"
            raise OverLimit(message, retry_after_s=RETRY_AFTER_S)
        self._in_flight[service.name] = own + 1
        return AdmissionTicket(self, service.name)

    @property
    def in_flight_count(self) -> int:
        """Calls in flight, all services together."""
        return sum(self._in_flight.values())

    @property
    def load_ratio(self) -> float:
        """Calls in flight as a share of the instance's bound."""
        return self.in_flight_count / self._settings.concurrency_limit

    def _release(self, service_name: str) -> None:
        self._in_flight[service_name] -= 1
