"""Counts broken promises by comparing results with the backend servers' runs."""

import collections
from collections.abc import Iterable, Mapping

import orjson

from berylhaven.results import Outcome
from standins.demo_callers import CallRecord
from standins.fleet import ProcessFleet

RUNS_PATH = "/runs"
RUNS_TIMEOUT_S = 10.0


def runs_by_call_id(fleet: ProcessFleet) -> collections.Counter[str]:
    """Fetch the number of runs by call id from all backend servers."""
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
        The number of runs by call id.

    Returns
    -------
    dict
        The numbers of calls without any answer, of answers that belong to another
        call or are truncated, of non-idempotent calls that ran more than once, and of
        calls that ran although they were reported as not run.
    """
    counts = {"lost": 0, "foreign or cut": 0, "run twice": 0, "false not-run": 0}
    for record in records:
        run_count = runs.get(record.call_id, 0)
        counts["lost"] += record.result is None
        counts["foreign or cut"] += record.is_foreign
        counts["run twice"] += not record.is_idempotent and run_count > 1
        counts["false not-run"] += record.outcome is Outcome.NOT_RUN and run_count > 0
    return counts
