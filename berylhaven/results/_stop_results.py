"""Results of calls that this instance does not finish because it stops."""

from berylhaven.results._call_results import CallRefused
from berylhaven.results._outcome import Outcome
from berylhaven.results._registry import register_result


@register_result(
    215,
    "instance-leaving",
    "Use another entry instance; this one stops.",
    status=503,
    outcome=Outcome.NOT_RUN,
)
class InstanceLeaving(CallRefused):
    """The entry instance stops before the call would have been answered."""


@register_result(
    238,
    "cut-by-stop",
    "Repeat an idempotent call at another instance; find out whether another one ran.",
    status=502,
    outcome=Outcome.UNKNOWN,
)
class CutByStop(CallRefused):
    """The entry instance stopped while a backend server was running the call."""
