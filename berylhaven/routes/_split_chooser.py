"""Distributes a route's requests among services by weight."""

from random import Random

from berylhaven.routes._route import Route, WeightedService

# Steps of the golden ratio modulo 1 distribute any number of points evenly over the
# unit interval.
GOLDEN_RATIO = 0.6180339887498949


class SplitChooser:
    """Chooses a service for each request, following the weights closely at any time.

    Each request uses the next point of a low-discrepancy sequence. The first point is
    random, so that many instances with few requests each do not choose the same
    services.

    Parameters
    ----------
    random : random.Random
        The random number generator for the first points.
    """

    __slots__ = ("_random", "_points")

    def __init__(self, random: Random) -> None:
        self._random = random
        # The next point by the parts of a split, so that a change of weights starts a
        # new sequence.
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
            The name of one of the route's services.
        """
        parts = route.parts
        if len(parts) == 1:
            return parts[0].service
        point = self._points.get(parts)
        if point is None:
            point = self._random.random()
        self._points[parts] = (point + GOLDEN_RATIO) % 1.0
        remaining_weight = point * sum(part.weight for part in parts)
        for part in parts:
            remaining_weight -= part.weight
            if remaining_weight < 0:
                return part.service
        return parts[-1].service

    def retain(self, routes: tuple[Route, ...]) -> None:
        """Remove the points of splits that are no longer active.

        Parameters
        ----------
        routes : tuple of Route
            All active routes.
        """
        active = {route.parts for route in routes}
        for parts in [p for p in self._points if p not in active]:
            del self._points[parts]
