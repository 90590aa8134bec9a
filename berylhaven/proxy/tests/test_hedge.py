"""Tests of hedged attempts: the first answer is used, the other is cancelled."""

import unittest

import eventlet

from berylhaven.calls import AttemptEnd, AttemptFailed
from berylhaven.entry.tests import _local_fleet
from berylhaven.proxy._hedge import HedgedAttempts
from berylhaven.proxy._upstream_caller import UpstreamExchange

BOOK = "/v1/services/positions/book"


class _Exchange(UpstreamExchange):
    """An answer that records how it was released."""

    def __init__(self):
        super().__init__(None, None, None)
        self.ends = []

    def release(self, is_reusable):
        self.ends.append(is_reusable)


def fails():
    raise AttemptFailed(AttemptEnd.BROKEN_BEFORE_HEAD, "broken")


class HedgedAttemptsTest(unittest.TestCase):
    """Every order in which two attempts can end."""

    def setUp(self):
        self.first, self.second = _Exchange(), _Exchange()
        self.killed = []

    def after(self, duration_s, exchange):
        def attempt():
            try:
                eventlet.sleep(duration_s)
            except eventlet.greenlet.GreenletExit:
                self.killed.append(exchange)
                raise
            return exchange

        return attempt

    def test_an_early_answer_is_not_hedged(self):
        asked = []
        answer = HedgedAttempts().run(self.after(0, self.first), 5.0, asked.append)
        self.assertIs(answer, self.first)
        self.assertEqual((asked, answer.ends), ([], []))

    def test_the_second_may_win_and_the_first_is_cancelled(self):
        answer = HedgedAttempts().run(
            self.after(5, self.first), 0.01, lambda: self.after(0, self.second)
        )
        self.assertIs(answer, self.second)
        self.assertEqual(self.killed, [self.first])

    def test_a_simultaneous_second_answer_is_discarded(self):
        both = eventlet.event.Event()

        def wait_for_both(exchange):
            return lambda: both.wait() or exchange

        eventlet.spawn_after(0.05, both.send)
        answer = HedgedAttempts().run(
            wait_for_both(self.first), 0.01, lambda: wait_for_both(self.second)
        )
        loser = self.second if answer is self.first else self.first
        self.assertEqual((answer.ends, loser.ends), ([], [False]))

    def test_one_failure_leaves_the_other_and_two_fail(self):
        answer = HedgedAttempts().run(self.after(0.05, self.first), 0.01, lambda: fails)
        self.assertIs(answer, self.first)
        with self.assertRaises(AttemptFailed):
            HedgedAttempts().run(fails, 0.01, lambda: None)


class HedgedPath(_local_fleet.LocalFleet):
    """One entry instance; positions has hedge_budget_ratio 1, that is no limit."""

    def serve(self, application):
        if application is getattr(self, "configuration", None):
            line = b"hedge_budget_ratio = 1\nidempotent = GET /*"
            text = _local_fleet.CATALOGUE.replace(b"idempotent = GET /*", line)
            application.put("berylhaven%2Fcatalogue", text)
        return super().serve(application)


class HedgedPathTest(unittest.TestCase):
    """Calls to an unresponsive server are answered by another, within the budget."""

    def test_a_hanging_server_delays_no_idempotent_call_and_budgets_hold(self):
        path = HedgedPath(entry_count=1)
        self.addCleanup(path.stop)
        path.wait_until_ready()
        servers = [s for s in path.backends.values() if s.name == "positions"]
        for _ in range(30):
            path.get(0, BOOK)
        servers[0].faults.set({"never_answers": True})
        before = sum(server.call_count for server in servers)
        calls = 40
        for _ in range(calls):
            answer = path.get(0, BOOK)
            self.assertEqual(answer.status, 200)
        sent = sum(server.call_count for server in servers) - before
        self.assertLessEqual(sent, 1.1 * calls + 10)
        self.assertGreater(sum(servers[0].runs.values()), 0)
        path.wait_until(lambda: path.instances[0].status()["calls_in_flight"] == 0)
