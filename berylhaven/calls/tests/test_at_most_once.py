"""At-most-once execution under repeats, pauses, crashes, restarts and partitions."""

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.calls import CallId, CallRegistry, OpenDecision
from berylhaven.calls.tests._limits import LIFETIME_S, calls_settings
from berylhaven.results import (
    BackendServerShed,
    CallRefused,
    Outcome,
    UpstreamBroken,
)

ADDRESSES = 3
# Events, which occur in any order; the number of entries sets their frequency.
KINDS = (
    "issue",
    *("call",) * 5,
    *("receive",) * 2,
    *("wake",) * 2,
    *("answered", "not_run", "not_run", "unknown"),
    *("second", "second", "ten_seconds", "minute"),
    "replace",
    *("cut", "heal", "heal"),
)
STEPS = st.lists(
    st.tuples(st.sampled_from(KINDS), st.integers(0, ADDRESSES - 1), st.integers(0, 9)),
    min_size=60,
    max_size=60,
)


class _Run:
    """One run of an entry instance, alive or not."""

    def __init__(self, number, now_s):
        self.nonce = f"{number:08x}"
        self.started_at_s = now_s
        self.registry = CallRegistry(
            calls_settings(remembered_calls_limit=4), LIFETIME_S, self.nonce
        )

    def uptime_s(self, now_s):
        return now_s - self.started_at_s


class _Fleet:
    """A fleet whose addresses receive requests in any order and any number of times."""

    def __init__(self):
        self.now_s = 0.0
        self.home_addresses = {}
        self.runs = [self._new_run(address) for address in range(ADDRESSES)]
        self.is_cut = False
        self.call_ids = []
        self.waiting = []
        self.in_flight = []
        # Starts of calls that may have run.
        self.may_have_run = Counter()
        # When a caller was last informed that its call was not run.
        self.told_not_run_at_s = {}
        self.issue(0, 0)

    def _new_run(self, address):
        run = _Run(len(self.home_addresses), self.now_s)
        self.home_addresses[run.nonce] = address
        return run

    def issue(self, address, stale_s):
        """A caller creates an id from a locate answer that may be stale."""
        run = self.runs[address]
        issued_at_s = max(0, int(run.uptime_s(self.now_s)) - stale_s)
        own_part = f"caller_{len(self.call_ids)}"
        self.call_ids.append(CallId(run.nonce, issued_at_s, own_part))

    def receive(self, address, index):
        """An instance receives a request and is paused before it processes it."""
        run = self.runs[address]
        self.waiting.append((self._recent_id(index), address, run, self.now_s))

    def wake(self, address, index):
        """A paused instance processes a request, if its run has not ended."""
        if self.waiting:
            self._act(*self.waiting.pop(index % len(self.waiting)))

    def call(self, address, index):
        """An instance receives a request and processes it at once."""
        self._act(self._recent_id(index), address, self.runs[address], self.now_s)

    def _recent_id(self, index):
        back = 1 + index // 4
        return self.call_ids[-min(back, len(self.call_ids))]

    def _act(self, call_id, address, run, received_at_s):
        if self.runs[address] is not run:
            return
        if call_id.home_instance_nonce != run.nonce:
            if self.is_cut:
                return
            # The sender's view may be stale: by now, another run may use the address.
            run = self.runs[self.home_addresses[call_id.home_instance_nonce]]
        self._open(run, call_id, received_at_s)

    def _open(self, run, call_id, received_at_s):
        received = received_at_s - run.started_at_s
        uptime_s = run.uptime_s(self.now_s)
        try:
            opening, record = run.registry.open(call_id, b"same", uptime_s, received)
        except CallRefused as refusal:
            self._told(call_id, refusal.outcome)
            return
        if opening is OpenDecision.ENDED and record.refusal is not None:
            self._told(call_id, record.refusal.outcome)
        if opening is not OpenDecision.START:
            return
        assert received_at_s >= self.told_not_run_at_s.get(call_id, 0.0)
        self.may_have_run[call_id] += 1
        assert self.may_have_run[call_id] == 1, "started twice"
        self.in_flight.append((run, call_id, record))

    def _told(self, call_id, outcome):
        if outcome is Outcome.NOT_RUN:
            assert not self.may_have_run[call_id], (
                "reported as not-run, but it may have run"
            )
            self.told_not_run_at_s[call_id] = self.now_s

    def answered(self, address, index):
        """A backend server answers a call."""
        if self.in_flight:
            run, _, record = self.in_flight.pop(index % len(self.in_flight))
            run.registry.record_answer(record, None)

    def unknown(self, address, index):
        """A connection breaks with a call on it."""
        self._refuse(index, UpstreamBroken("the connection broke"))

    def not_run(self, address, index):
        """A backend server answers that it did not start a call."""
        call_id = self._refuse(index, BackendServerShed("full"))
        if call_id is not None:
            self.may_have_run[call_id] -= 1
            self._told(call_id, Outcome.NOT_RUN)

    def _refuse(self, index, refusal):
        if not self.in_flight:
            return None
        run, call_id, record = self.in_flight.pop(index % len(self.in_flight))
        run.registry.record_refusal(record, refusal, run.uptime_s(self.now_s))
        return call_id

    def second(self, address, index):
        """A second passes."""
        self.now_s += 1.0

    def ten_seconds(self, address, index):
        """Ten seconds pass."""
        self.now_s += 10.0

    def minute(self, address, index):
        """More than the lifetime of an id passes."""
        self.now_s += 61.0

    def replace(self, address, index):
        """A run ends and loses its memory; a new run uses its address."""
        self.runs[address] = self._new_run(address)

    def cut(self, address, index):
        """A network partition separates the instances."""
        self.is_cut = True

    def heal(self, address, index):
        """The network partition ends."""
        self.is_cut = False


class AtMostOnceTest(unittest.TestCase):
    """No order of events starts a call twice, or runs one reported as `not-run`."""

    @settings(max_examples=250, derandomize=True, deadline=None)
    @given(STEPS)
    def test_any_order_of_events(self, steps):
        fleet = _Fleet()
        for kind, address, index in steps:
            getattr(fleet, kind)(address, index)
