"""What the counts of a soak prove, worked out after it from calls and runs."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, fields

import orjson

from berylhaven.client import CallResult
from berylhaven.results import Outcome


@dataclass(slots=True, frozen=True)
class EndedCall:
    """One call of the soak."""

    # What the client told its caller.
    result: CallResult
    # Whether the call may run more than once.
    is_idempotent: bool
    # How many bytes the caller sent.
    body_bytes: int


@dataclass(slots=True)
class Verdict:
    """Counts of broken promises; a good soak has none."""

    # Calls that may run once and ran more often.
    doubles: int = 0
    # Calls that were told to have run and did not.
    lost: int = 0
    # Answers or uploads that were passed off as whole and were not.
    cut: int = 0
    # Answers to another call.
    foreign: int = 0
    # Calls that were told not to have run and did.
    false_not_run: int = 0

    @property
    def is_good(self) -> bool:
        """Whether no promise was broken."""
        return not any(getattr(self, field.name) for field in fields(self))


def evaluate_calls(calls: Iterable[EndedCall], runs: Mapping[str, int]) -> Verdict:
    """Compare what callers were told with what backend servers ran.

    Parameters
    ----------
    calls : iterable of EndedCall
        All calls of the soak.
    runs : mapping of str to int
        How often each call id was run, all backend servers together.

    Returns
    -------
    Verdict
        The counts.
    """
    verdict = Verdict()
    once_only_ids = set()
    for call in calls:
        result = call.result
        run_count = runs.get(result.call_id, 0)
        if not call.is_idempotent:
            once_only_ids.add(result.call_id)
        if result.outcome is Outcome.RUN and run_count == 0:
            verdict.lost += 1
        if result.outcome is Outcome.NOT_RUN and run_count > 0:
            verdict.false_not_run += 1
        if result.is_answered:
            _judge_answer(call, verdict)
    verdict.doubles = sum(runs.get(call_id, 0) > 1 for call_id in once_only_ids)
    return verdict


def _judge_answer(call: EndedCall, verdict: Verdict) -> None:
    try:
        document = orjson.loads(call.result.body)
    except orjson.JSONDecodeError:
        verdict.cut += 1
        return
    if document["call_id"] != call.result.call_id:
        verdict.foreign += 1
    if document["body_bytes"] != call.body_bytes:
        verdict.cut += 1
