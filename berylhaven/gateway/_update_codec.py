"""Fleet news as JSON, for instances that read it from one another."""

from typing import Any

import orjson

from berylhaven.gateway._fleet_source import (
    Change,
    FleetUpdate,
    InvalidEntry,
    ServerRemoved,
)
from berylhaven.gateway._server_record import ServerEntry
from berylhaven.routes import (
    CallerLimits,
    RequestKind,
    Route,
    RoutingConfiguration,
    ServiceSpec,
    WeightedService,
)

KINDS = {
    "server": ServerEntry,
    "removed": ServerRemoved,
    "unusable": InvalidEntry,
    "configuration": RoutingConfiguration,
}
NAMES = {kind: name for name, kind in KINDS.items()}


def encode_update(news: FleetUpdate) -> bytes:
    """Return news as JSON.

    Parameters
    ----------
    news : FleetUpdate
        What is told.

    Returns
    -------
    bytes
        One object.
    """
    changes = [[NAMES[type(change)], change] for change in news.changes]
    document = {
        "revision": news.revision,
        "changes": changes,
        "is_after_outage": news.is_after_outage,
    }
    return orjson.dumps(document)


def decode_update(body: bytes) -> FleetUpdate:
    """Return the news of a peer.

    Parameters
    ----------
    body : bytes
        One object.

    Returns
    -------
    FleetUpdate
        As it was encoded.

    Raises
    ------
    ValueError
        If it is malformed.
    """
    document = orjson.loads(body)
    try:
        changes = [_change(name, fields) for name, fields in document["changes"]]
        revision = document["revision"]
        is_after_outage = bool(document["is_after_outage"])
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed news: {error}") from None
    if type(revision) is not int:
        raise ValueError("malformed news: the revision is no whole number")
    return FleetUpdate(tuple(changes), revision, is_after_outage)


def _change(name: str, fields: dict[str, Any]) -> Change:
    kind = KINDS[name]
    if kind is RoutingConfiguration:
        return _configuration(fields)
    return kind(**fields)


def _configuration(fields: dict[str, Any]) -> RoutingConfiguration:
    services = {
        name: ServiceSpec(**service) for name, service in fields["services"].items()
    }
    return RoutingConfiguration(
        version=fields["version"],
        routes=tuple(_route(route) for route in fields["routes"]),
        services=services,
        caller_limits=CallerLimits(**fields["caller_limits"]),
    )


def _route(fields: dict[str, Any]) -> Route:
    parts = tuple(WeightedService(**part) for part in fields["parts"])
    kind = RequestKind(fields["kind"])
    return Route(**{**fields, "kind": kind, "parts": parts})
