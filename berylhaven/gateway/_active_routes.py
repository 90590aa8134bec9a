"""The active routing configuration."""

from berylhaven.routes import (
    CallerLimits,
    Route,
    RouteTable,
    RoutingConfiguration,
    ServiceSpec,
)

DEFAULT_HEALTH_PATH = "/health"
DEFAULT_CONNECTION_LIMIT = 100


class ActiveRoutes:
    """The newest configuration; older versions never replace it."""

    __slots__ = ("_configuration", "_highest_priorities", "table", "caller_limits")

    def __init__(self) -> None:
        self._configuration: RoutingConfiguration | None = None
        # By service, the lowest priority number of the routes that send requests to it.
        self._highest_priorities: dict[str, int] = {}
        # Finds the route of a request.
        self.table = RouteTable(())
        # The limits for callers' requests.
        self.caller_limits = CallerLimits()

    @property
    def is_loaded(self) -> bool:
        """Whether a configuration is active."""
        return self._configuration is not None

    @property
    def version(self) -> int | None:
        """The active version, or None."""
        return self._configuration.version if self._configuration else None

    def activate(self, configuration: RoutingConfiguration) -> bool:
        """Activate a configuration if it is newer than the active one.

        Parameters
        ----------
        configuration : RoutingConfiguration
            As published.

        Returns
        -------
        bool
            Whether it was activated.
        """
        if self.version is not None and configuration.version <= self.version:
            return False
        self._configuration = configuration
        self.table = RouteTable(configuration.routes)
        self.caller_limits = configuration.caller_limits
        self._highest_priorities = {}
        for route in configuration.routes:
            for part in route.parts:
                highest = self._highest_priorities.get(part.service, route.priority)
                self._highest_priorities[part.service] = min(highest, route.priority)
        return True

    def has_more_urgent(self, route: Route, service: str) -> bool:
        """Return whether a more urgent route sends requests to a service.

        Parameters
        ----------
        route : Route
            The route that is compared with the others.
        service : str
            The name of the service.

        Returns
        -------
        bool
            Whether a route with a lower priority number has the service among its
            parts.
        """
        highest = self._highest_priorities.get(service, route.priority)
        return highest < route.priority

    def service(self, name: str) -> ServiceSpec:
        """Return the settings that apply to a service's backend servers.

        Parameters
        ----------
        name : str
            The service's name.

        Returns
        -------
        ServiceSpec
            With defaults if the configuration does not list the service.
        """
        spec = self._configuration.services.get(name) if self._configuration else None
        return spec or ServiceSpec(name, DEFAULT_HEALTH_PATH, DEFAULT_CONNECTION_LIMIT)

    @property
    def configuration(self) -> RoutingConfiguration | None:
        """The active configuration, or None."""
        return self._configuration
