"""Results of call ids: 22x numbers, each with its status and outcome."""

from berylhaven.results._call_results import CallRefused
from berylhaven.results._outcome import Outcome
from berylhaven.results._registry import register_result


@register_result(
    220,
    "call-id-expired",
    "Find out whether the call ran; repeat calls within the lifetime of their id.",
    status=409,
    outcome=Outcome.UNKNOWN,
)
class CallIdExpired(CallRefused):
    """The call id has expired, and the record of its call was removed."""


@register_result(
    221,
    "call-id-not-issued",
    "Form the call id from the call_id_prefix of a locate answer.",
    status=400,
    outcome=Outcome.NOT_RUN,
)
class CallIdNotIssued(CallRefused):
    """The issue time of the call id is in the future."""


@register_result(
    222,
    "call-id-reused",
    "Use a different call id for each call; repeat a call unchanged.",
    status=409,
    outcome=Outcome.UNKNOWN,
)
class CallIdReused(CallRefused):
    """The call id was already used for a different call."""


@register_result(
    223,
    "answer-gone",
    "Query the state that the call changed; it ran and is not run again.",
    status=409,
    outcome=Outcome.RUN,
)
class AnswerNotStored(CallRefused):
    """The call ran earlier, and its answer is not stored."""


@register_result(
    224,
    "still-running",
    "Repeat the call with the same call id.",
    status=504,
    outcome=Outcome.UNKNOWN,
)
class StillRunning(CallRefused):
    """The repeat's deadline passed while the call was still in flight."""


@register_result(
    225,
    "home-unreachable",
    "Repeat the call with the same call id, if possible at its home instance.",
    status=503,
    outcome=Outcome.UNKNOWN,
)
class HomeInstanceUnreachable(CallRefused):
    """The home instance, which alone may run the call, did not answer."""


@register_result(
    226,
    "home-unknown",
    "Repeat the call later with the same call id, or find out whether it ran.",
    status=503,
    outcome=Outcome.UNKNOWN,
)
class HomeInstanceUnknown(CallRefused):
    """The entry instance that issued the call id is not a known member."""


@register_result(
    227,
    "call-memory-full",
    "Retry with a new call id after the time in Retry-After.",
    status=503,
    outcome=Outcome.NOT_RUN,
)
class CallRegistryFull(CallRefused):
    """The entry instance has registered the maximum number of call ids."""
