"""Tests of the call registry of a home instance, one rule at a time."""

import unittest

from berylhaven.calls import CallId, CallRegistry, CallState, OpenDecision, StoredAnswer
from berylhaven.calls.tests._limits import LIFETIME_S, calls_settings
from berylhaven.results import (
    BackendServerShed,
    CallIdExpired,
    CallIdNotIssued,
    CallIdReused,
    CallRegistryFull,
    HomeInstanceUnknown,
    Outcome,
    UpstreamBroken,
)

NONCE = "00ff00ff"
BOOKING = b"booking1"
ANSWER = StoredAnswer("200 OK", [("A", "b")], b"done")


class CallRegistryTest(unittest.TestCase):
    """How the home instance handles a request with one of its call ids."""

    def setUp(self):
        self.registry = CallRegistry(calls_settings(), LIFETIME_S, NONCE)

    def open(
        self, own="caller_1", at=10.0, issued=10, received=None, fingerprint=BOOKING
    ):
        call_id = CallId(NONCE, issued, own)
        received = at if received is None else received
        return self.registry.open(call_id, fingerprint, at, received)

    def test_a_repeat_joins_and_then_gets_the_kept_answer(self):
        opening, record = self.open()
        self.assertIs(opening, OpenDecision.START)
        self.assertEqual(self.open(), (OpenDecision.JOIN, record))
        self.registry.record_answer(record, ANSWER)
        self.assertEqual(self.open(at=70.0), (OpenDecision.ENDED, record))
        self.assertEqual(record.answer.body, b"done")

    def test_waiters_are_notified_once(self):
        _, record = self.open()
        notified_states = []
        record.add_waiter(lambda: notified_states.append(record.state))
        self.registry.record_answer(record, None)
        record.notify_waiters()
        self.assertEqual(notified_states, [CallState.ANSWERED])

    def test_ids_are_refused_by_age_and_run(self):
        with self.assertRaises(CallIdExpired) as caught:
            self.open(at=70.1)
        self.assertIs(caught.exception.outcome, Outcome.UNKNOWN)
        with self.assertRaises(CallIdNotIssued):
            self.open(issued=12)
        with self.assertRaises(HomeInstanceUnknown) as caught:
            self.registry.open(CallId("11111111", 1, "x"), BOOKING, 10.0, 10.0)
        self.assertIs(caught.exception.outcome, Outcome.UNKNOWN)

    def test_another_call_under_the_same_id_is_refused(self):
        self.open()
        with self.assertRaises(CallIdReused):
            self.open(fingerprint=b"other")

    def test_an_unknown_end_is_never_run_again(self):
        _, record = self.open()
        self.registry.record_refusal(record, UpstreamBroken("cut"), 11.0)
        self.assertIs(self.open(at=60.0)[0], OpenDecision.ENDED)

    def test_a_call_that_was_not_run_reopens_after_its_caller_was_informed(self):
        _, record = self.open()
        self.registry.record_refusal(record, BackendServerShed("full"), 11.0)
        self.assertIs(self.open(at=11.9)[0], OpenDecision.ENDED)
        late_duplicate = self.open(at=20.0, received=10.5)
        self.assertIs(late_duplicate[0], OpenDecision.ENDED)
        self.assertIs(self.open(at=20.0)[0], OpenDecision.START)
        self.assertIs(self.open(at=20.0)[0], OpenDecision.JOIN)

    def test_a_full_registry_refuses_new_ids_until_they_expire_and_keeps_the_old(self):
        self.registry = CallRegistry(
            calls_settings(remembered_calls_limit=2), LIFETIME_S, NONCE
        )
        self.open("first_id")
        self.open("second_id", issued=50, at=50.0)
        with self.assertRaises(CallRegistryFull) as caught:
            self.open("third_id", issued=50, at=50.0)
        self.assertIs(caught.exception.outcome, Outcome.NOT_RUN)
        self.assertIs(self.open("first_id", at=70.0)[0], OpenDecision.JOIN)
        # The first id has expired and left space; the refused id stays refused.
        with self.assertRaises(CallRegistryFull):
            self.open("third_id", issued=50, at=80.0)
        self.assertIs(self.open("fourth_id", issued=80, at=80.0)[0], OpenDecision.START)

    def test_kept_answers_stay_within_their_bound(self):
        for index in range(100):
            _, record = self.open(f"caller_{index}")
            self.registry.record_answer(record, ANSWER)
        self.assertLessEqual(self.registry.stored_answer_bytes, 10_000)
        self.assertIsNone(self.open("caller_0")[1].answer)
        self.assertIsNotNone(self.open("caller_99")[1].answer)
        self.open("later_id", issued=200, at=200.0)
        self.assertEqual(self.registry.stored_answer_bytes, 0)
        self.assertEqual(self.registry.remembered_count, 1)
