"""JSON encoding of fleet updates, for instances that read them from peers."""

import dataclasses
import itertools
from collections.abc import Callable, Iterable
from typing import Any

import orjson

from berylhaven.bounded_json import (
    PARTS_LIMIT,
    count_parts,
    load_by_members,
    load_json,
)
from berylhaven.clock import end_long_turn
from berylhaven.gateway._store_revision import StoreRevision
from berylhaven.gateway.servers._server_record import ServerEntry
from berylhaven.gateway.store._fleet_source import (
    Change,
    DataCentreEvacuated,
    DataCentreReturned,
    EvacuationChange,
    EvacuationsListed,
    FleetUpdate,
    InvalidEntry,
    InvalidEvacuation,
    OutageAge,
    ServerRemoved,
)
from berylhaven.routes import (
    CallerLimits,
    RequestKind,
    Route,
    RoutingConfiguration,
    ServiceSpec,
    WeightedService,
)

CHANGE_TYPES = {
    "server": ServerEntry,
    "removed": ServerRemoved,
    "unusable": InvalidEntry,
    "configuration": RoutingConfiguration,
}
# These changes are in a field of their own, which instances of earlier releases ignore;
# they reject an update with a change of a kind that they do not know, and not only the
# change.
EVACUATION_TYPES = {
    "evacuated": DataCentreEvacuated,
    "returned": DataCentreReturned,
    "unusable": InvalidEvacuation,
    "listed": EvacuationsListed,
}
# A peer that is far behind gets a change of each server from each of the kept updates.
CHANGES_LIMIT = 200_000
# The most sentences about skipped changes; each is longer than a malformed change.
SKIPPED_LIMIT = 1_000
# So many changes or routes are encoded in about 3 ms.
VALUES_PER_STEP = 500
# The fields of a service that instances of the earlier release reject; they are encoded
# beside the services.
WARMUP_FIELDS = ("warmup_s", "warmup_limit_per_s")
# The JSON types of the fields whose types are simple.
ACCEPTED_TYPES = {str: (str,), int: (int,), bool: (bool,), float: (float, int)}
CHANGE_NAMES = {change_type: name for name, change_type in CHANGE_TYPES.items()}
EVACUATION_NAMES = {kind: name for name, kind in EVACUATION_TYPES.items()}


def encode_update(update: FleetUpdate) -> bytes:
    """Encode an update as JSON.

    Parameters
    ----------
    update : FleetUpdate
        The update.

    Returns
    -------
    bytes
        One object.
    """
    evacuations = [c for c in update.changes if isinstance(c, EvacuationChange)]
    others = [c for c in update.changes if not isinstance(c, EvacuationChange)]
    age = update.outage_age
    document = {
        "revision": update.revision.number,
        "era": update.revision.era,
        "changes": _encode_values(
            [CHANGE_NAMES[type(change)], _encodable(change)] for change in others
        ),
        "evacuations": [[EVACUATION_NAMES[type(c)], c] for c in evacuations],
        "is_after_outage": update.is_after_outage,
        "store_answer_age_s": round(update.store_answer_age_s, 3),
        "outage_ages_s": age and [round(age.began_age_s, 3), round(age.ended_age_s, 3)],
    }
    return orjson.dumps(document)


def _encode_values(values: Iterable[Any]) -> orjson.Fragment:
    """Encode a list in steps, between which others may run."""
    texts = []
    values = iter(values)
    while some := list(itertools.islice(values, VALUES_PER_STEP)):
        end_long_turn()
        texts.append(orjson.dumps(some)[1:-1])
    return orjson.Fragment(b"[" + b",".join(texts) + b"]")


def _encodable(change: Change) -> Any:
    if not isinstance(change, RoutingConfiguration):
        return change
    document = {
        field.name: getattr(change, field.name) for field in dataclasses.fields(change)
    }
    specs = {name: _spec_fields(spec) for name, spec in change.services.items()}
    # Instances of the earlier release ignore unknown fields of the configuration, but
    # reject those of a service.
    warmups = {
        name: {field: spec.pop(field) for field in WARMUP_FIELDS}
        for name, spec in specs.items()
    }
    document["warmups"] = {
        name: fields for name, fields in warmups.items() if any(fields.values())
    }
    document["services"] = specs
    document["routes"] = _encode_values(change.routes)
    return document


def _spec_fields(spec: ServiceSpec) -> dict[str, Any]:
    end_long_turn()
    return dataclasses.asdict(spec)


def decode_update(body: bytes, sender: str = "") -> FleetUpdate:
    """Decode an update of a peer.

    Parameters
    ----------
    body : bytes
        One object.
    sender : str
        The peer's address.

    Returns
    -------
    FleetUpdate
        As it was encoded, with its evacuations last and without the changes that cannot
        be decoded.

    Raises
    ------
    ValueError
        If it is malformed beside its changes, or one of them is too large.
    """
    if count_parts(body) > PARTS_LIMIT:
        lists = ("changes", "evacuations")
        document = load_by_members(body, lists, load_json, CHANGES_LIMIT)
    else:
        document = orjson.loads(body)
    try:
        changes = _Changes()
        changes.decode(document["changes"], CHANGE_TYPES, _change)
        # Instances of earlier releases send none.
        has_evacuations = "evacuations" in document
        evacuations = document.get("evacuations", [])
        changes.decode(evacuations, EVACUATION_TYPES, _evacuation)
        number = document["revision"]
        # Instances of earlier releases send none.
        era = document.get("era", 0)
        is_after_outage = bool(document["is_after_outage"])
        store_answer_age_s = document.get("store_answer_age_s", 0.0)
        outage_ages_s = document.get("outage_ages_s")
    except (AttributeError, KeyError, TypeError) as error:
        raise ValueError(
            f"malformed update: missing or invalid field: {error}"
        ) from None
    if type(number) is not int or type(era) is not int:
        raise ValueError(
            f"malformed update: revision {number!r:.200} or era {era!r:.200} is not an "
            "integer"
        )
    if type(store_answer_age_s) not in (float, int):
        raise ValueError(
            f"malformed update: store answer age {store_answer_age_s!r:.200} is not a "
            "number"
        )
    return FleetUpdate(
        tuple(changes.decoded),
        StoreRevision(era, number),
        is_after_outage,
        sender,
        store_answer_age_s,
        has_evacuations,
        tuple(changes.skipped),
        changes.is_complete,
        _outage_age(outage_ages_s),
    )


def _outage_age(ages_s: Any) -> OutageAge | None:
    if ages_s is None:
        return None
    is_pair = type(ages_s) is list and len(ages_s) == 2
    if not is_pair or any(type(age_s) not in (float, int) for age_s in ages_s):
        raise ValueError(
            f"malformed update: outage ages {ages_s!r:.200} are not two numbers"
        )
    return OutageAge(*ages_s)


class _Changes:
    """The changes of an update that can be decoded, and what was skipped."""

    __slots__ = ("decoded", "skipped", "is_complete")

    def __init__(self) -> None:
        self.decoded: list[Change] = []
        self.skipped: list[str] = []
        self.is_complete = True

    def decode(
        self,
        rows: Any,
        types: dict[str, type],
        decode: Callable[[str, Any], Change],
    ) -> None:
        """Decode changes of some kinds; raise TypeError if they are no list."""
        if not isinstance(rows, list):
            raise TypeError(f"changes are of type {type(rows).__name__}")
        for row in rows:
            end_long_turn()
            try:
                name, fields = row
                if isinstance(name, str) and name not in types:
                    # A later release has it; here the store holds nothing of it either.
                    self._skip(f"unknown kind {name!r:.100}")
                    continue
                self.decoded.append(decode(name, fields))
            except (AttributeError, KeyError, TypeError, ValueError) as error:
                self._skip(f"malformed change {row!r:.200}: {error}")
                self.is_complete = False

    def _skip(self, reason: str) -> None:
        if len(self.skipped) < SKIPPED_LIMIT:
            self.skipped.append(reason)


def _change(name: str, fields: dict[str, Any]) -> Change:
    change_type = CHANGE_TYPES[name]
    if change_type is RoutingConfiguration:
        return _configuration(fields)
    return _checked(change_type, fields)


def _evacuation(name: str, fields: dict[str, Any]) -> EvacuationChange:
    change_type = EVACUATION_TYPES[name]
    if change_type is not EvacuationsListed:
        return _checked(change_type, fields)
    listed = EvacuationsListed(**fields)
    data_centres = listed.data_centres
    if type(data_centres) is not list or {type(n) for n in data_centres} - {str}:
        raise TypeError("EvacuationsListed.data_centres is not a list of names")
    return EvacuationsListed(tuple(data_centres))


def _configuration(fields: dict[str, Any]) -> RoutingConfiguration:
    # Instances of the earlier release send none.
    warmups = fields.get("warmups", {})
    services = {
        name: _service(service, warmups.get(name, {}))
        for name, service in fields["services"].items()
    }
    typed = {
        "version": fields["version"],
        "routes": tuple(_route(route) for route in fields["routes"]),
        "services": services,
        "caller_limits": _checked(CallerLimits, fields["caller_limits"]),
        # Instances of earlier releases send none.
        "problems": tuple(fields.get("problems", ())),
    }
    return _checked(RoutingConfiguration, typed)


def _service(fields: dict[str, Any], warmup: dict[str, Any]) -> ServiceSpec:
    end_long_turn()
    known = {name: warmup[name] for name in WARMUP_FIELDS if name in warmup}
    return _checked(ServiceSpec, {**fields, **known})


def _route(fields: dict[str, Any]) -> Route:
    parts = tuple(map(_part, fields["parts"]))
    kind = RequestKind(fields["kind"])
    return _checked(Route, {**fields, "kind": kind, "parts": parts})


def _part(fields: dict[str, Any]) -> WeightedService:
    end_long_turn()
    return _checked(WeightedService, fields)


def _checked(value_type: type, fields: dict[str, Any]) -> Any:
    """Return a value of a type; raise TypeError if a field is of another type."""
    value = value_type(**fields)
    for field in dataclasses.fields(value_type):
        accepted = ACCEPTED_TYPES.get(field.type)
        found = getattr(value, field.name)
        if accepted is not None and type(found) not in accepted:
            raise TypeError(
                f"{value_type.__name__}.{field.name} is of type {type(found).__name__}"
            )
    return value
