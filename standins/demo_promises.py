"""Counting broken promises against what the backend servers say they ran."""

import collections
from collections.abc import Iterable, Mapping

import orjson

from berylhaven.results import Outcome
from standins.demo_callers import CallRecord
from standins.fleet import ProcessFleet

RUNS_PATH = "/runs"
RUNS_TIMEOUT_S = 10.0


def runs_by_call_id(fleet: ProcessFleet) -> collections.Counter[str]:
    """Return how often the backend servers ran each call id."""
    runs: collections.Counter[str] = collections.Counter()
    for row in fleet.document["backend_servers"]:
        url = f"http://{row['address']}{RUNS_PATH}"
        answer = fleet.http.request("GET", url, timeout=RUNS_TIMEOUT_S)
        runs.update(orjson.loads(answer.data))
    return runs


def broken_promises(
    records: Iterable[CallRecord], runs: Mapping[str, int]
) -> dict[str, int]:
    """Count broken promises by name.

    Parameters
    ----------
    records : iterable of CallRecord
        The calls that ended.
    runs : mapping of str to int
        How often each call id was run.

    Returns
    -------
    dict
        Calls without any answer, answers that were another call's or cut,
        non-idempotent calls that ran more than once, and calls that were said not
        to have run but did.
    """
    counts = {"lost": 0, "foreign or cut": 0, "run twice": 0, "false not-run": 0}
    for record in records:
        run_count = runs.get(record.call_id, 0)
        counts["lost"] += record.result is None
        counts["foreign or cut"] += record.is_foreign
        counts["run twice"] += not record.is_idempotent and run_count > 1
        counts["false not-run"] += record.outcome is Outcome.NOT_RUN and run_count > 0
    return counts
