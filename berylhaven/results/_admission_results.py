"""Results of calls that this instance refuses to protect itself."""

from berylhaven.results._call_results import CallRefused
from berylhaven.results._outcome import Outcome
from berylhaven.results._registry import register_result


@register_result(
    213,
    "instance-overloaded",
    "Use another entry instance, or retry after the time in Retry-After.",
    status=503,
    outcome=Outcome.NOT_RUN,
)
class InstanceOverloaded(CallRefused):
    """The entry instance sheds calls because its event loop is late."""


@register_result(
    214,
    "share-exceeded",
    "Use another entry instance, or retry after the time in Retry-After.",
    status=503,
    outcome=Outcome.NOT_RUN,
)
class ShareExceeded(CallRefused):
    """The firm uses its guaranteed share, and the instance has no other capacity."""
