"""Events of the fleet: 3xx numbers for its own state, 4xx for the platform."""

from berylhaven.results._registry import ResultCode, register_result


class FleetEvent:
    """Base of the events that are logged with a result code, but never answered."""

    code: ResultCode


@register_result(
    320,
    "address-contested",
    "Give each process its own peers_port; end the process that should not run.",
)
class AddressContested(FleetEvent):
    """Another process uses this entry instance's address for peers."""


@register_result(
    321,
    "revision-conflict",
    "Compare the catalogues of the instances named; publish a new revision.",
)
class RevisionConflict(FleetEvent):
    """Two entry instances have different catalogues with the same revision."""


@register_result(
    322,
    "catalogue-revision-refused",
    "Run catalogue check on the text, correct it and publish a new revision.",
)
class CatalogueRevisionRejected(FleetEvent):
    """A new catalogue revision is invalid; the active one stays in use."""


@register_result(
    420,
    "configuration-service-unavailable",
    "No action is needed; the active catalogue stays in use until the service is back.",
)
class ConfigurationServiceUnavailable(FleetEvent):
    """The configuration service does not answer."""


@register_result(
    421,
    "instance-list-unavailable",
    "No action is needed; the last known backend servers stay in use.",
)
class InstanceListUnavailable(FleetEvent):
    """The instance list does not answer."""


@register_result(
    422,
    "instance-list-suspicious",
    "Check the instance list; the last known backend servers stay in use.",
)
class InstanceListSuspicious(FleetEvent):
    """The instance list lacks most of the backend servers that it listed before."""
