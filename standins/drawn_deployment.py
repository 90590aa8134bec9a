"""Draws of services, hosts and routes within what the platform's pages allow."""

import random
from dataclasses import dataclass

import orjson

HOST_COUNT_RANGE = (1, 3)
SERVICE_COUNT_RANGE = (1, 5)
SERVER_COUNT_RANGE = (1, 4)
SLOT_COUNT_RANGE = (1, 10)
ROUTE_COUNT_RANGE = (2, 6)
WEIGHTS = (1, 5, 10, 90, 0.5)
DATA_CENTRES = ("east-1", "east-2", "west-1")
# Whether a request of each kind may run more than once. The last kind is on no page.
KINDS = {
    "safe": True,
    "unsafe": False,
    "upload": False,
    "download": True,
    "novel-kind": False,
}
PREFIX_PARTS = ("a", "read", "v2", "x-7", "long-name-of-a-part", "%7Eb")


@dataclass(slots=True, frozen=True)
class DrawnRoute:
    """One route of a drawn configuration."""

    # The host of its requests.
    host: str
    # Its path prefix.
    prefix: str
    # Its kind, as on the wire.
    kind: str
    # The weight of each of its services.
    weights: dict[str, float]
    # Its rank, 0 is the highest.
    priority: int

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run more than once."""
        return KINDS[self.kind]


@dataclass(slots=True, frozen=True)
class DrawnDeployment:
    """The services and routes of one deployment."""

    # The slots and the data centre of each server, by service.
    servers: dict[str, list[tuple[int, str]]]
    # All routes.
    routes: tuple[DrawnRoute, ...]

    def health_path(self, service: str) -> str:
        """Return the path of the health checks of a service's servers."""
        return f"/{service}/health"

    def configuration(self, version: int) -> bytes:
        """Return the configuration as the operator writes it."""
        hosts = {route.host for route in self.routes}
        limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864}
        limits |= {"HeaderTimeoutS": 3, "IdleTimeoutS": 15}
        document = {
            "Version": f"{version:08x}",
            "Limits": limits,
            "Listeners": [
                {
                    "Host": host,
                    "Rules": [_rule(r) for r in self.routes if r.host == host],
                }
                for host in sorted(hosts)
            ],
            "Clusters": [
                {"Name": name, "HealthPath": self.health_path(name), "MaxConns": 300}
                for name in self.servers
            ],
            "NovelField": {"any": [1, None]},
        }
        return orjson.dumps(document)


def draw_deployment(seed: int) -> DrawnDeployment:
    """Return the deployment of a seed.

    Parameters
    ----------
    seed : int
        The seed of all draws.

    Returns
    -------
    DrawnDeployment
        The same for the same seed.
    """
    draw = random.Random(seed)
    servers = {
        f"service{number}{draw.choice('abc')}": [
            (draw.randint(*SLOT_COUNT_RANGE), draw.choice(DATA_CENTRES))
            for _ in range(draw.randint(*SERVER_COUNT_RANGE))
        ]
        for number in range(draw.randint(*SERVICE_COUNT_RANGE))
    }
    routes: dict[tuple[str, str], DrawnRoute] = {}
    for number in range(draw.randint(*HOST_COUNT_RANGE)):
        host = f"h{number}.example"
        for _ in range(draw.randint(*ROUTE_COUNT_RANGE)):
            route = _draw_route(draw, host, list(servers))
            routes[route.host, route.prefix] = route
    return DrawnDeployment(servers, tuple(routes.values()))


def _draw_route(draw: random.Random, host: str, services: list[str]) -> DrawnRoute:
    parts = draw.choices(PREFIX_PARTS, k=draw.randint(0, 3))
    chosen = draw.sample(services, draw.randint(1, min(3, len(services))))
    return DrawnRoute(
        host=host,
        prefix="/" + "".join(f"{part}/" for part in parts),
        kind=draw.choice(list(KINDS)),
        weights={name: draw.choice(WEIGHTS) for name in chosen},
        priority=draw.randint(0, 5),
    )


def _rule(route: DrawnRoute) -> dict:
    action = {"TimeoutS": 2, "MaxAttempts": 3}
    if len(route.weights) == 1:
        action["Service"] = next(iter(route.weights))
    else:
        action["Split"] = [
            {"Service": name, "Weight": weight}
            for name, weight in route.weights.items()
        ]
    return {
        "Name": f"r-{route.host}{route.prefix}",
        "Kind": route.kind,
        "TargetLatencyS": 0.5,
        "Priority": route.priority,
        "Matcher": {"PathPrefix": route.prefix},
        "Action": action,
    }
