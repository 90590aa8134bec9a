"""Results of call ids: 22x numbers, each with its status and outcome."""

from berylhaven.results._call_results import CallRefused
from berylhaven.results._outcome import Outcome
from berylhaven.results._registry import register_result


@register_result(
    220,
    "call-id-expired",
    "Look up whether the call ran; what is repeated needs the same id in time.",
    status=409,
    outcome=Outcome.UNKNOWN,
)
class CallIdExpired(CallRefused):
    """The call id is older than its lifetime, and what it did is forgotten."""


@register_result(
    221,
    "call-id-not-issued",
    "Form the call id from the call_id_prefix of a locate answer.",
    status=400,
    outcome=Outcome.NOT_RUN,
)
class CallIdNotIssued(CallRefused):
    """The call id bears a time of issue that has not come yet."""


@register_result(
    222,
    "call-id-reused",
    "Give each call an id of its own; repeat a call unchanged.",
    status=409,
    outcome=Outcome.UNKNOWN,
)
class CallIdReused(CallRefused):
    """Another call has this call id."""


@register_result(
    223,
    "answer-gone",
    "Read the state that the call left; it ran and is not run again.",
    status=409,
    outcome=Outcome.RUN,
)
class AnswerNotStored(CallRefused):
    """The call ran earlier, and its answer is not kept."""


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
    "Repeat the call with the same call id, at its home if possible.",
    status=503,
    outcome=Outcome.UNKNOWN,
)
class HomeInstanceUnreachable(CallRefused):
    """The only entry instance that may run the call did not answer."""


@register_result(
    226,
    "home-unknown",
    "Repeat with the same call id a little later, or look up whether the call ran.",
    status=503,
    outcome=Outcome.UNKNOWN,
)
class HomeInstanceUnknown(CallRefused):
    """No entry instance is known that issued the call id."""


@register_result(
    227,
    "call-memory-full",
    "Ask again with a new call id after the time in Retry-After.",
    status=503,
    outcome=Outcome.NOT_RUN,
)
class CallRegistryFull(CallRefused):
    """The entry instance remembers as many call ids as it may."""
