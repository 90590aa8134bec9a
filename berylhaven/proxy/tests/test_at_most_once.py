"""Repeats of a call over real sockets: it runs once and all get the same answer."""

import unittest

import eventlet
import orjson

from berylhaven.entry.tests._local_fleet import LocalFleet
from berylhaven.results import (
    AnswerNotStored,
    BackendServerShed,
    CallIdExpired,
    CallIdNotIssued,
    CallIdReused,
    CallRegistryFull,
    HomeInstanceUnknown,
    StillRunning,
)

VANS = "/v1/services/bookings/vans"
POSITIONS = "/v1/services/positions/book"
SERVICE_TIME_S = 0.002


class AtMostOncePath(LocalFleet):
    """Two entry instances."""

    def __init__(self):
        super().__init__(entry_count=2)
        self.wait_until_ready()


class AtMostOnceTest(unittest.TestCase):
    """Calls that the catalogue does not mark idempotent, through two instances."""

    @classmethod
    def setUpClass(cls):
        cls.path = AtMostOncePath()
        cls.addClassCleanup(cls.path.stop)

    def setUp(self):
        self.own_count = 0
        self.addCleanup(
            self.set_faults,
            service_time_s=SERVICE_TIME_S,
            sheds=False,
            never_answers=False,
        )

    def set_faults(self, **changes):
        for server in self.path.backends.values():
            server.faults.set(changes)

    def call_id(self, index=0, issued_after_s=0):
        status = self.path.instances[index].status()["instance"]
        issued_s = max(0, status["uptime_s"] + issued_after_s)
        self.own_count += 1
        return f"{status['nonce']}-{issued_s}-{self.id()[-40:]}{self.own_count}"

    def book(self, call_id, index=0, body=b"van", timeout_ms=2000, path=VANS):
        headers = {"Berylhaven-Timeout-Ms": str(timeout_ms)}
        if call_id:
            headers["Berylhaven-Call-Id"] = call_id
        return self.path.request("POST", index, path, body=body, headers=headers)

    def run_count(self, call_id):
        return sum(server.runs[call_id] for server in self.path.backends.values())

    def request_count(self):
        return sum(server.call_count for server in self.path.backends.values())

    def assert_refused(self, answer, result, outcome):
        self.assertEqual(answer.headers["Berylhaven-Result"], str(result.code.number))
        self.assertEqual(answer.headers["Berylhaven-Outcome"], outcome)

    def test_repeats_anywhere_get_the_kept_answer(self):
        call_id = self.call_id()
        answers = [self.book(call_id, index) for index in (0, 0, 1, 1)]
        for answer in answers:
            self.assertEqual(answer.status, 200)
            self.assertEqual(answer.data, answers[0].data)
            self.assertEqual(answer.headers["Berylhaven-Outcome"], "run")
            self.assertEqual(answer.headers["Berylhaven-Call-Id"], call_id)
        self.assertEqual(self.run_count(call_id), 1)

    def test_the_first_request_may_reach_another_instance(self):
        call_id = self.call_id(index=0)
        answer = self.book(call_id, index=1)
        self.assertEqual(orjson.loads(answer.data)["call_id"], call_id)
        self.assertEqual(self.run_count(call_id), 1)

    def test_repeats_join_the_call_in_flight(self):
        self.set_faults(service_time_s=0.3)
        call_id = self.call_id()
        threads = [eventlet.spawn(self.book, call_id, index) for index in (0, 1, 0, 1)]
        answers = [thread.wait() for thread in threads]
        self.assertEqual({answer.data for answer in answers}, {answers[0].data})
        self.assertEqual(self.run_count(call_id), 1)

    def test_a_repeat_that_cannot_wait_is_answered_unknown(self):
        self.set_faults(service_time_s=0.5)
        call_id = self.call_id()
        first = eventlet.spawn(self.book, call_id)
        self.path.wait_until(lambda: self.run_count(call_id))
        answer = self.book(call_id, timeout_ms=100)
        self.assert_refused(answer, StillRunning, "unknown")
        self.assertEqual(first.wait().status, 200)

    def test_the_call_goes_on_when_its_caller_leaves_and_a_repeat_is_answered(self):
        self.set_faults(service_time_s=0.3)
        call_id = self.call_id()
        caller = eventlet.connect(("127.0.0.1", self.path.ports[0][0]))
        head = f"POST {VANS} HTTP/1.1\r\nHost: x\r\nBerylhaven-Call-Id: {call_id}\r\n"
        caller.sendall(head.encode() + b"Content-Length: 3\r\n\r\nvan")
        self.path.wait_until(lambda: self.run_count(call_id))
        caller.close()
        self.assertEqual(self.book(call_id).status, 200)
        self.assertEqual(self.run_count(call_id), 1)

    def test_another_call_under_the_id_is_refused(self):
        call_id = self.call_id()
        self.book(call_id)
        for answer in (
            self.book(call_id, body=b"other van"),
            self.book(call_id, path=VANS + "/2"),
        ):
            self.assert_refused(answer, CallIdReused, "unknown")

    def test_forged_and_expired_ids_are_refused(self):
        forged = "00000000-1-abcdefgh"
        for index in (0, 1):
            self.assert_refused(
                self.book(forged, index), HomeInstanceUnknown, "unknown"
            )
        ahead = self.book(self.call_id(issued_after_s=50))
        self.assert_refused(ahead, CallIdNotIssued, "not-run")
        self.assertEqual(
            self.book("not an id").headers["Berylhaven-Outcome"], "not-run"
        )

    def test_an_expired_id_is_unknown(self):
        call_id = self.call_id()
        registry = self.path.instances[0]._handler._registry
        lifetime_s, registry._lifetime_s = registry._lifetime_s, -1.0
        self.addCleanup(setattr, registry, "_lifetime_s", lifetime_s)
        self.assert_refused(self.book(call_id), CallIdExpired, "unknown")
        self.assertEqual(self.run_count(call_id), 0)

    def test_a_full_memory_refuses_what_is_new(self):
        call_id = self.call_id()
        self.book(call_id)
        registry = self.path.instances[0]._handler._registry
        self.addCleanup(
            setattr, registry, "remembered_count", registry.remembered_count
        )
        self.addCleanup(registry._closed_issue_times_s.clear)
        registry.remembered_count = 10**9
        answer = self.book(self.call_id())
        self.assert_refused(answer, CallRegistryFull, "not-run")
        self.assertIn("Retry-After", answer.headers)
        self.assertEqual(self.book(call_id).status, 200)

    def test_an_answer_that_is_not_stored_is_reported_as_gone(self):
        call_id = self.call_id()
        self.book(call_id)
        registry = self.path.instances[0]._handler._registry
        for record in registry._with_answer:
            registry._drop_answer(record)
        self.assert_refused(self.book(call_id), AnswerNotStored, "run")
        self.assertEqual(self.run_count(call_id), 1)

    def test_a_refusal_before_the_id_is_looked_up_does_not_claim_not_run(self):
        call_id = self.call_id()
        self.book(call_id)
        large = b"x" * 100_001
        for index in (0, 1):
            answer = self.book(call_id, index, body=large)
            self.assertEqual(answer.status, 413)
            self.assertEqual(answer.headers["Berylhaven-Outcome"], "unknown")
        fresh = self.book(self.call_id(), body=large)
        self.assertEqual(fresh.headers["Berylhaven-Outcome"], "not-run")

    def test_an_outage_is_not_amplified_and_is_answered_at_once(self):
        self.set_faults(sheds=True)
        before = self.request_count()
        calls = 100
        for number in range(calls):
            answer = self.book(None, index=number % 2)
            self.assert_refused(answer, BackendServerShed, "not-run")
            self.assertIn("Retry-After", answer.headers)
        sent = self.request_count() - before
        # Retries: a tenth of the calls, and the reserve of each of the two instances.
        self.assertLessEqual(sent, 1.1 * calls + 2 * 10)

    def test_one_full_server_of_two_is_avoided(self):
        full = [s for s in self.path.backends.values() if s.name == "bookings"][0]
        full.faults.set({"sheds": True})
        self.addCleanup(full.faults.set, {"sheds": False})
        for _ in range(10):
            self.assertEqual(self.book(None).status, 200)

    def test_what_may_have_run_is_not_sent_again(self):
        self.set_faults(never_answers=True)
        call_id = self.call_id()
        answer = self.book(call_id, timeout_ms=300)
        self.assertEqual(answer.headers["Berylhaven-Outcome"], "unknown")
        self.set_faults(never_answers=False)
        again = self.book(call_id)
        self.assertEqual(again.headers["Berylhaven-Outcome"], "unknown")
        self.assertEqual(self.run_count(call_id), 1)
