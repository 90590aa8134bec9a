"""The configuration by which requests are answered."""

from berylhaven.routes import (
    CallerLimits,
    RouteTable,
    RoutingConfiguration,
    ServiceSpec,
)

DEFAULT_HEALTH_PATH = "/health"
DEFAULT_CONNECTION_LIMIT = 100


class ActiveRoutes:
    """The newest configuration, which never goes back to an older version."""

    __slots__ = ("_configuration", "table", "caller_limits")

    def __init__(self) -> None:
        self._configuration: RoutingConfiguration | None = None
        # Finds the route of a request.
        self.table = RouteTable(())
        # What callers may send.
        self.caller_limits = CallerLimits()

    @property
    def is_loaded(self) -> bool:
        """Whether a configuration has been taken."""
        return self._configuration is not None

    @property
    def version(self) -> int | None:
        """The version in force, or None."""
        return self._configuration.version if self._configuration else None

    def activate(self, configuration: RoutingConfiguration) -> bool:
        """Put a configuration in force if it is newer.

        Parameters
        ----------
        configuration : RoutingConfiguration
            As published.

        Returns
        -------
        bool
            Whether it is in force now and was not before.
        """
        if self.version is not None and configuration.version <= self.version:
            return False
        self._configuration = configuration
        self.table = RouteTable(configuration.routes)
        self.caller_limits = configuration.caller_limits
        return True

    def service(self, name: str) -> ServiceSpec:
        """Return what holds for a service's servers.

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
        """The configuration in force, or None."""
        return self._configuration
