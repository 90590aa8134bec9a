"""Results of calls that this instance does not take in for its own sake."""

from berylhaven.results._call_results import CallRefused
from berylhaven.results._outcome import Outcome
from berylhaven.results._registry import register_result


@register_result(
    213,
    "instance-overloaded",
    "Use another entry instance, or ask again after the time in Retry-After.",
    status=503,
    outcome=Outcome.NOT_RUN,
)
class InstanceOverloaded(CallRefused):
    """The entry instance's event loop is late, and it sheds calls."""


@register_result(
    214,
    "share-exceeded",
    "Use another entry instance, or ask again after the time in Retry-After.",
    status=503,
    outcome=Outcome.NOT_RUN,
)
class ShareExceeded(CallRefused):
    """The firm has its guaranteed share, and the rest of the instance is taken."""
