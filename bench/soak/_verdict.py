"""The evaluation of a soak: compares the results of calls with the recorded runs."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, fields

import orjson

from berylhaven.client import CallResult
from berylhaven.results import Outcome


@dataclass(slots=True, frozen=True)
class EndedCall:
    """One call of the soak that has ended."""

    # The result that the client returned.
    result: CallResult
    # Whether the call may run more than once.
    is_idempotent: bool
    # The size of the request body in bytes.
    body_bytes: int


@dataclass(slots=True)
class Verdict:
    """Counts of violated guarantees; a good soak has none."""

    # Calls that may run at most once and ran more often.
    doubles: int = 0
    # Calls that were reported as run and did not run.
    lost: int = 0
    # Answers or uploads that were reported as complete and were truncated.
    cut: int = 0
    # Answers that belong to another call.
    foreign: int = 0
    # Calls that were reported as not run and did run.
    false_not_run: int = 0

    @property
    def is_good(self) -> bool:
        """Whether no guarantee was violated."""
        return not any(getattr(self, field.name) for field in fields(self))


def evaluate_calls(calls: Iterable[EndedCall], runs: Mapping[str, int]) -> Verdict:
    """Compare the reported results of calls with the runs at backend servers.

    Parameters
    ----------
    calls : iterable of EndedCall
        All calls of the soak.
    runs : mapping of str to int
        How often each call id was run by all backend servers together.

    Returns
    -------
    Verdict
        The counts.
    """
    verdict = Verdict()
    at_most_once_ids = set()
    for call in calls:
        result = call.result
        run_count = runs.get(result.call_id, 0)
        if not call.is_idempotent:
            at_most_once_ids.add(result.call_id)
        if result.outcome is Outcome.RUN and run_count == 0:
            verdict.lost += 1
        if result.outcome is Outcome.NOT_RUN and run_count > 0:
            verdict.false_not_run += 1
        if result.is_answered:
            _evaluate_answer(call, verdict)
    verdict.doubles = sum(runs.get(call_id, 0) > 1 for call_id in at_most_once_ids)
    return verdict


def _evaluate_answer(call: EndedCall, verdict: Verdict) -> None:
    try:
        document = orjson.loads(call.result.body)
    except orjson.JSONDecodeError:
        verdict.cut += 1
        return
    if document["call_id"] != call.result.call_id:
        verdict.foreign += 1
    if document["body_bytes"] != call.body_bytes:
        verdict.cut += 1
