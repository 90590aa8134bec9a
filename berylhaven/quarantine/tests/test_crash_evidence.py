"""Tests of the decision which requests are held."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from berylhaven.quarantine import (
    Answered,
    CrashEvidence,
    Strike,
    request_fingerprint,
)
from berylhaven.quarantine._crash_evidence import (
    FINGERPRINTS_LIMIT,
    RETENTION_S,
    STRIKES_LIMIT,
    TRIAL_DELAYS_S,
)

# The number of servers that may end before a request is recognised.
ENDS_ALLOWED = 3
FINGERPRINTS = ("crash", "read", "order")
OBSERVATIONS = st.one_of(
    st.builds(
        Strike,
        st.sampled_from(FINGERPRINTS),
        st.sampled_from(["s1", "s2", "s3", "s4", "s5"]),
        st.sampled_from(["id1", "id2"]),
        st.sampled_from([0, 30, 100, 1_000]),
    ),
    st.builds(Answered, st.sampled_from(FINGERPRINTS)),
)
TIMED = st.lists(st.tuples(OBSERVATIONS, st.integers(0, 60)), max_size=20)


def strikes(evidence, fingerprint, runs, at_s=0.0, interval_s=0.1):
    """Let servers end under a request, one after the other."""
    for number, run in enumerate(runs):
        ended_at_s = at_s + number * interval_s
        strike = Strike(fingerprint, run, f"id-{run}", round(ended_at_s * 1000))
        evidence.merge(strike, ended_at_s)


def merged(observations):
    """Return evidence with the observations."""
    evidence = CrashEvidence()
    for observation, occurred_at_s in observations:
        evidence.merge(observation, float(occurred_at_s))
    return evidence


class HoldTest(unittest.TestCase):
    def test_a_request_is_held_once_three_servers_ended_under_it(self):
        evidence = CrashEvidence()
        strikes(evidence, "crash", ["s1", "s2"])
        self.assertIsNone(evidence.hold("crash", 1.0))
        strikes(evidence, "crash", ["s3"], 0.2)
        self.assertEqual(evidence.hold("crash", 1.0).run_count, ENDS_ALLOWED)

    def test_one_end_of_a_server_counts_once_however_often_it_is_told(self):
        evidence = CrashEvidence()
        for number in range(10):
            evidence.merge(Strike("crash", "s1", f"id{number}", number), float(number))
        self.assertIsNone(evidence.hold("crash", 10.0))

    def test_a_trial_is_due_after_a_time_that_rises_with_each_end(self):
        evidence = CrashEvidence()
        strikes(evidence, "crash", ["s1", "s2"])
        now_s = 0.0
        for number, delay_s in enumerate((*TRIAL_DELAYS_S, TRIAL_DELAYS_S[-1])):
            strikes(evidence, "crash", [f"t{number}"], now_s + 1.0)
            now_s += 1.0
            self.assertGreater(
                evidence.hold("crash", now_s + delay_s - 1).remaining_s, 0
            )
            now_s += delay_s
            self.assertLessEqual(evidence.hold("crash", now_s).remaining_s, 0)

    def test_a_complete_answer_ends_the_hold(self):
        evidence = CrashEvidence()
        strikes(evidence, "read", ["s1", "s2", "s3"])
        self.assertEqual(evidence.record_answer("read", 5.0), [Answered("read")])
        self.assertIsNone(evidence.hold("read", 5.0))

    def test_an_answer_of_long_ago_does_not_excuse_a_request(self):
        evidence = CrashEvidence()
        evidence.record_answer("crash", 0.0)
        strikes(evidence, "crash", ["s1", "s2", "s3"], 60.0)
        self.assertIsNotNone(evidence.hold("crash", 60.0))

    def test_a_request_id_that_was_at_an_ended_server_is_known(self):
        evidence = CrashEvidence()
        strikes(evidence, "order", ["s1"])
        self.assertTrue(evidence.has_run("order", "id-s1"))
        self.assertFalse(evidence.has_run("order", "id-s2"))


class InnocentRequestTest(unittest.TestCase):
    def test_a_popular_request_is_not_held_when_many_servers_end_at_once(self):
        evidence = CrashEvidence()
        evidence.record_answer("read", 1.0)
        strikes(evidence, "read", [f"s{n}" for n in range(20)], 2.0)
        self.assertIsNone(evidence.hold("read", 2.0))

    def test_a_request_is_not_held_when_many_servers_end_at_the_same_moment(self):
        evidence = CrashEvidence()
        strikes(evidence, "read", [f"s{n}" for n in range(20)], interval_s=0.001)
        self.assertIsNone(evidence.hold("read", 1.0))

    def test_requests_in_flight_when_many_servers_end_at_once_are_not_held(self):
        evidence = CrashEvidence()
        for number in range(200):
            # Each request and its second attempt meet one of the servers that end.
            strikes(evidence, f"read-{number}", [f"s{number % 10}", f"t{number % 7}"])
        held = [n for n in range(200) if evidence.hold(f"read-{n}", 0.1)]
        self.assertEqual(held, [])

    def test_a_request_that_meets_ends_caused_by_another_one_is_not_held(self):
        evidence = CrashEvidence()
        strikes(evidence, "crash", ["s1", "s2", "s3", "s4"])
        strikes(evidence, "read", ["s1", "s2", "s4"])
        self.assertIsNotNone(evidence.hold("crash", 1.0))
        self.assertIsNone(evidence.hold("read", 1.0))

    def test_requests_that_meet_the_same_ends_excuse_each_other(self):
        evidence = CrashEvidence()
        for fingerprint in ("order", "upload"):
            strikes(evidence, fingerprint, ["s1", "s2", "s3", "s4"])
        self.assertIsNone(evidence.hold("order", 1.0))
        self.assertIsNone(evidence.hold("upload", 1.0))

    def test_an_end_with_another_cause_adds_to_none_that_a_crash_explains(self):
        evidence = CrashEvidence()
        strikes(evidence, "crash", ["s1", "s2", "s3"])
        strikes(evidence, "read", ["s1", "s2"])
        strikes(evidence, "read", ["s9"])
        strikes(evidence, "crash", ["s4"])
        self.assertIsNone(evidence.hold("read", 1.0))


class MergeTest(unittest.TestCase):
    @given(TIMED, st.randoms(use_true_random=False))
    def test_any_order_and_repetition_gives_the_same_decisions(self, observations, rng):
        other = [*observations, *rng.sample(observations, len(observations) // 2)]
        rng.shuffle(other)
        first, second = merged(observations), merged(other)
        self.assertEqual(first.digest, second.digest)
        for fingerprint in FINGERPRINTS:
            self.assertEqual(first.hold(fingerprint, 60), second.hold(fingerprint, 60))

    @given(TIMED, TIMED)
    def test_exchanged_evidence_is_the_same(self, ours, theirs):
        first, second = merged(ours), merged(theirs)
        for observation, occurred_at_s in list(first.observations()):
            second.merge(observation, occurred_at_s)
        for observation, occurred_at_s in list(second.observations()):
            first.merge(observation, occurred_at_s)
        self.assertEqual(first.digest, second.digest)

    def test_a_flood_of_requests_keeps_the_strongest_evidence_in_bounded_memory(self):
        evidence = CrashEvidence()
        strikes(evidence, "crash", ["s1", "s2", "s3"])
        for number in range(3 * FINGERPRINTS_LIMIT):
            strikes(evidence, f"flood-{number}", ["s9"], 1.0)
        self.assertIsNotNone(evidence.hold("crash", 1.0))
        kept = {o.fingerprint for o, _ in evidence.observations()}
        self.assertLessEqual(len(kept), FINGERPRINTS_LIMIT)

    def test_the_strikes_of_one_request_are_bounded(self):
        evidence = CrashEvidence()
        strikes(evidence, "crash", [f"s{n}" for n in range(100)])
        self.assertEqual(len(list(evidence.observations())), STRIKES_LIMIT)

    def test_observations_are_dropped_after_the_retention_time(self):
        evidence = CrashEvidence()
        strikes(evidence, "crash", ["s1"])
        evidence.drop_expired(RETENTION_S)
        self.assertEqual(list(evidence.observations()), [])
        self.assertEqual(evidence.digest, 0)


class FingerprintTest(unittest.TestCase):
    def test_every_part_but_the_request_id_counts(self):
        parts = ["shop.example", "POST", "/order/1?a=b", "", b"body", 4]
        fingerprints = {request_fingerprint(*parts)}
        for index, other in enumerate(("h", "PUT", "/order/1", "Basic x", b"", None)):
            changed = [*parts[:index], other, *parts[index + 1 :]]
            fingerprints.add(request_fingerprint(*changed))
        self.assertEqual(len(fingerprints), 7)

    def test_the_boundary_between_two_parts_counts(self):
        first = request_fingerprint("h", "GET", "/ab", "c", b"", 0)
        second = request_fingerprint("h", "GET", "/a", "bc", b"", 0)
        self.assertNotEqual(first, second)


class CrashingRequestMachine(RuleBasedStateMachine):
    """Instances that see servers end, tell one another, and lose what they knew."""

    INSTANCE_COUNT = 3

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.instances = [CrashEvidence() for _ in range(self.INSTANCE_COUNT)]
        self.run_number = 0
        # What each instance may know of the crashing request at most.
        self.known_runs = [set() for _ in self.instances]
        self.source = random.Random(1)

    @rule(index=st.integers(0, 2), bystander=st.booleans())
    def send_crashing_request(self, index, bystander):
        evidence = self.instances[index]
        if evidence.hold("crash", self.now_s):
            return
        self.run_number += 1
        self.now_s += 0.1
        run = f"s{self.run_number}"
        ended_at_ms = round(self.now_s * 1000)
        evidence.merge(Strike("crash", run, run, ended_at_ms), self.now_s)
        self.known_runs[index].add(run)
        if bystander:
            # Each bystander is a request of its own, as most are.
            strike = Strike(f"read-{run}", run, run, ended_at_ms)
            self.instances[self.source.randrange(3)].merge(strike, self.now_s)

    @rule(index=st.integers(0, 2))
    def answer_popular_request(self, index):
        self.instances[index].record_answer("popular", self.now_s)

    @rule(index=st.integers(0, 2))
    def end_server_under_popular_request(self, index):
        self.instances[index].record_answer("popular", self.now_s)
        self.run_number += 1
        strike = Strike("popular", f"s{self.run_number}", "", 0)
        self.instances[index].merge(strike, self.now_s)

    @rule(sender=st.integers(0, 2), receiver=st.integers(0, 2))
    def exchange(self, sender, receiver):
        for observation, at_s in list(self.instances[sender].observations()):
            self.instances[receiver].merge(observation, at_s)
        self.known_runs[receiver] |= self.known_runs[sender]

    @rule(index=st.integers(0, 2))
    def restart(self, index):
        self.instances[index] = CrashEvidence()
        self.known_runs[index] = set()

    @rule(duration_s=st.floats(0.1, 5.0))
    def wait(self, duration_s):
        self.now_s += duration_s

    @invariant()
    def an_instance_holds_what_it_knows_and_nothing_else(self):
        for evidence, runs in zip(self.instances, self.known_runs, strict=True):
            is_held = evidence.hold("crash", self.now_s) is not None
            assert is_held == (len(runs) >= ENDS_ALLOWED), (is_held, runs)
            assert evidence.hold("popular", self.now_s) is None
            for number in range(1, self.run_number + 1):
                assert evidence.hold(f"read-s{number}", self.now_s) is None


CrashingRequestMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)
CrashingRequestMachineTest = CrashingRequestMachine.TestCase


if __name__ == "__main__":
    unittest.main()
