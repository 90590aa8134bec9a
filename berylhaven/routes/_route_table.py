"""Finds the route of a request."""

from collections.abc import Iterable

from berylhaven.routes._route import Route


class RouteTable:
    """Routes by host; the longest matching prefix wins.

    Parameters
    ----------
    routes : iterable of Route
        All routes of the configuration.
    """

    __slots__ = ("_by_host",)

    def __init__(self, routes: Iterable[Route]) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None.

        Parameters
        ----------
        host : str
            The host of the request, in any case, with or without a port.
        path : str
            The path without the query.

        Returns
        -------
        Route or None
            The route, or None if the host has no route for the path.
        """
        routes = self._by_host.get(host.partition(":")[0].lower())
        if routes is None:
            return None
        # Route prefixes end with a slash, so only such prefixes of the path can match.
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None
