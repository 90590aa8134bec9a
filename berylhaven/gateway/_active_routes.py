"""The active routing configuration."""

from berylhaven.routes import (
    CallerLimits,
    RouteTable,
    RoutingConfiguration,
    ServiceSpec,
)

DEFAULT_HEALTH_PATH = "/health"
DEFAULT_CONNECTION_LIMIT = 100


class ActiveRoutes:
    """The newest configuration; older versions never replace it."""

    __slots__ = ("_configuration", "table", "caller_limits")

    def __init__(self) -> None:
        self._configuration: RoutingConfiguration | None = None
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
        return True

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
