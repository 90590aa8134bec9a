"""At most once over a fleet: repeats, pauses, deaths, replacements, partitions."""

import unittest
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from berylhaven.calls import CallId, CallRegistry, Opening
from berylhaven.calls.tests._limits import calls_settings
from berylhaven.results import (
    BackendServerShed,
    CallRefused,
    Outcome,
    UpstreamBroken,
)

ADDRESSES = 3
INDEX = st.integers(0, 1_000)


class _Run:
    """One run of an entry instance, alive or not."""

    def __init__(self, number, now_s):
        self.nonce = f"{number:08x}"
        self.started_at_s = now_s
        self.registry = CallRegistry(
            calls_settings(remembered_calls_limit=6), self.nonce
        )

    def uptime_s(self, now_s):
        return now_s - self.started_at_s


class Fleet(RuleBasedStateMachine):
    """Requests reach any address in any order, at any time, any number of times."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.run_count = 0
        self.runs = [self._new_run() for _ in range(ADDRESSES)]
        self.is_cut = False
        self.call_ids = []
        self.waiting = []
        self.in_flight = []
        # Starts that were not proved to have come to nothing.
        self.may_have_run = Counter()
        # When a caller was last told that the call was not run.
        self.told_not_run_at_s = {}

    def _new_run(self):
        self.run_count += 1
        return _Run(self.run_count, self.now_s)

    @rule(address=st.integers(0, ADDRESSES - 1), stale_s=st.integers(0, 70))
    def issue(self, address, stale_s):
        run = self.runs[address]
        issued_at_s = max(0, int(run.uptime_s(self.now_s)) - stale_s)
        own_part = f"caller_{len(self.call_ids)}"
        self.call_ids.append(CallId(run.nonce, issued_at_s, own_part))

    @precondition(lambda self: self.call_ids)
    @rule(index=INDEX, address=st.integers(0, ADDRESSES - 1))
    def receive(self, index, address):
        """A request reaches an instance, which may be stopped before it acts."""
        call_id = self.call_ids[index % len(self.call_ids)]
        self.waiting.append((call_id, address, self.runs[address], self.now_s))

    @precondition(lambda self: self.waiting)
    @rule(index=INDEX)
    def act(self, index):
        call_id, address, run, received_at_s = self.waiting.pop(
            index % len(self.waiting)
        )
        if self.runs[address] is not run:
            return
        if call_id.home_nonce != run.nonce:
            run = next((r for r in self.runs if r.nonce == call_id.home_nonce), None)
            if run is None or self.is_cut:
                return
        self._open(run, call_id, received_at_s)

    def _open(self, run, call_id, received_at_s):
        received = received_at_s - run.started_at_s
        uptime_s = run.uptime_s(self.now_s)
        try:
            opening, record = run.registry.open(call_id, b"same", uptime_s, received)
        except CallRefused as refusal:
            self._told(call_id, refusal.outcome)
            return
        if opening is Opening.ENDED and record.refusal is not None:
            self._told(call_id, record.refusal.outcome)
        if opening is not Opening.START:
            return
        assert received_at_s >= self.told_not_run_at_s.get(call_id, 0.0)
        self.may_have_run[call_id] += 1
        self.in_flight.append((run, call_id, record))

    def _told(self, call_id, outcome):
        if outcome is Outcome.NOT_RUN:
            assert not self.may_have_run[call_id], "told not-run, but it may have run"
            self.told_not_run_at_s[call_id] = self.now_s

    @precondition(lambda self: self.in_flight)
    @rule(index=INDEX, end=st.sampled_from(["answered", "not-run", "unknown"]))
    def end(self, index, end):
        run, call_id, record = self.in_flight.pop(index % len(self.in_flight))
        if end == "answered":
            run.registry.answered(record, None)
            return
        refusal = UpstreamBroken("") if end == "unknown" else BackendServerShed("")
        run.registry.refused(record, refusal, run.uptime_s(self.now_s))
        if end == "not-run":
            self.may_have_run[call_id] -= 1
            self._told(call_id, Outcome.NOT_RUN)

    @rule(duration_s=st.sampled_from([0.2, 1.0, 10.0, 61.0]))
    def pass_time(self, duration_s):
        self.now_s += duration_s

    @rule(address=st.integers(0, ADDRESSES - 1))
    def replace(self, address):
        """A run dies with its memory; a new one takes its address."""
        self.runs[address] = self._new_run()

    @rule(is_cut=st.booleans())
    def partition(self, is_cut):
        self.is_cut = is_cut

    @invariant()
    def no_call_runs_twice(self):
        doubled = [c for c, count in self.may_have_run.items() if count > 1]
        assert not doubled, doubled


class AtMostOnceTest(unittest.TestCase):
    """The state machine above holds its invariant."""

    def test_fleet(self):
        Fleet.TestCase.settings = settings(
            max_examples=150,
            stateful_step_count=40,
            derandomize=True,
            deadline=None,
        )
        result = Fleet.TestCase("runTest").run()
        for _, text in result.failures + result.errors:
            self.fail(text)
