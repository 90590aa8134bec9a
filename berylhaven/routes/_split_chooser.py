"""Sharing a route's requests among services by weight."""

from random import Random

from berylhaven.routes._route import Route, WeightedService

# Steps by the golden ratio spread the points evenly over the unit interval, however
# many there are.
GOLDEN_RATIO = 0.6180339887498949


class SplitChooser:
    """Chooses a service for each request, close to the weights at any time.

    Each request takes the next point of an evenly spread sequence. The first point is
    random, so that many instances with few requests each do not all begin alike.

    Parameters
    ----------
    random : random.Random
        The source of the first points.
    """

    __slots__ = ("_random", "_points")

    def __init__(self, random: Random) -> None:
        self._random = random
        # By the parts of a split, so that a change of weights starts anew.
        self._points: dict[tuple[WeightedService, ...], float] = {}

    def choose(self, route: Route) -> str:
        """Return the name of the service that the next request goes to.

        Parameters
        ----------
        route : Route
            The request's route.

        Returns
        -------
        str
            One of the route's services.
        """
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        point = self._points.get(parts)
        if point is None:
            point = self._random.random()
        self._points[parts] = (point + GOLDEN_RATIO) % 1.0
        left = point * sum(part.weight for part in parts)
        for part in parts:
            left -= part.weight
            if left < 0:
                return part.service
        return parts[-1].service

    def retain(self, routes: tuple[Route, ...]) -> None:
        """Forget the points of splits that are no longer in force.

        Parameters
        ----------
        routes : tuple of Route
            All routes in force.
        """
        in_force = {route.parts for route in routes}
        for parts in [p for p in self._points if p not in in_force]:
            del self._points[parts]
