"""Tests of servers that are leaving, or want a pause, by the headers of answers."""

import random
import unittest

import eventlet
from hypothesis import given
from hypothesis import strategies as st

from berylhaven.clock import ManualClock, monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway import ServerEntry
from berylhaven.gateway.servers._server_limits import ServerLimits
from berylhaven.gateway.servers._server_signals import ServerSignals
from berylhaven.gateway.servers._server_table import ServerTable
from berylhaven.gateway.tests._gateway_path import (
    ORDERS,
    READS,
    FakeDialect,
    GatewayPath,
)
from berylhaven.http1 import ConnectionPool, HeadFields, parse_retry_after_s
from berylhaven.http1._retry_after import RETRY_AFTER_LIMIT_S
from berylhaven.http1.tests._raw_backend import answers_raw
from berylhaven.overload.tests._limit_rule import allowed_count

LEAVING = answers_raw(
    b"HTTP/1.1 200 OK\r\nWordy-Leaving: 1\r\nContent-Length: 2\r\n\r\nok"
)


def limited(limit_per_s):
    lines = ["HTTP/1.1 200 OK", f"Wordy-Limit: {limit_per_s}", "Content-Length: 2"]
    return answers_raw("\r\n".join([*lines, "", "ok"]).encode())


def refusal(retry_after):
    lines = ["HTTP/1.1 503 Full", "Wordy-Not-Run: 1", "Content-Length: 0"]
    return answers_raw(
        "\r\n".join([*lines, f"Retry-After: {retry_after}", "", ""]).encode()
    )


class ServerSignalsPathTest(unittest.TestCase):
    def setUp(self):
        self.path = GatewayPath()
        self.addCleanup(self.path.stop)

    def exchange(self, path, count=1):
        with self.path.connect() as caller:
            return [caller.exchange(path).status for _ in range(count)]

    def counts(self, service):
        return sorted(
            len([r for r in backend.requests if r.path != "/health"])
            for backend in self.path.backends[service]
        )

    def test_a_server_that_says_it_is_leaving_gets_no_further_request(self):
        self.path.answer_all(READS, LEAVING)
        # Each server answers one request; then none is left.
        statuses = self.exchange("/read/1", 4)
        self.assertEqual(statuses, [200, 200, 503, 503])
        self.assertEqual(self.counts(READS), [1, 1])

    def test_leaving_outlasts_later_entries_of_the_same_run(self):
        self.path.answer_all(READS, LEAVING)
        self.exchange("/read/1", 2)
        for index, backend in enumerate(self.path.backends[READS]):
            entry = ServerEntry(
                f"{READS}-{index}", READS, backend.address, "here", 4, False
            )
            self.path.source.put(entry)
        eventlet.sleep(0.1)
        self.assertEqual(self.exchange("/read/1"), [503])
        self.assertEqual(self.counts(READS), [1, 1])

    def test_servers_that_want_a_pause_get_nothing_and_callers_learn_until_when(self):
        self.path.answer_all(ORDERS, refusal("30"))
        with self.path.connect() as caller:
            for _ in range(3):
                answer = caller.exchange("/order/1", method="POST", body=b"x")
                self.assertEqual(answer.status, 503)
        self.assertEqual(self.counts(ORDERS), [1, 1])
        self.assertGreater(float(answer.headers["retry-after"]), 25)

    def test_a_server_gets_no_more_requests_than_the_limit_that_it_names(self):
        limit_per_s = 1.0
        self.path.answer_all(READS, limited(limit_per_s))
        self.exchange("/read/1", 40)
        for count in self.counts(READS):
            self.assertLessEqual(count, allowed_count(limit_per_s))

    def test_after_the_pause_the_server_is_used_again(self):
        self.path.answer_all(ORDERS, refusal("0.2"))
        with self.path.connect() as caller:
            caller.exchange("/order/1", method="POST", body=b"x")
            eventlet.sleep(0.3)
            self.path.answer_all(ORDERS, LEAVING)
            answer = caller.exchange("/order/1", method="POST", body=b"x")
        self.assertEqual(answer.status, 200)


class ServerSignalsTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.clock.__enter__()
        self.addCleanup(self.clock.__exit__, None, None, None)
        self.table = ServerTable()
        event_log = EventLog(1, 0, 0)
        self.signals = ServerSignals(
            FakeDialect(),
            ConnectionPool(lambda address: 1, 1_000),
            ServerLimits(lambda: self.sharer_count, random.Random(1), event_log),
            event_log,
        )
        self.sharer_count = 20

    def put(self, name="a", started_at_ms=1, is_leaving=False, is_restored=False):
        entry = ServerEntry(
            name,
            READS,
            f"{name}:80",
            "here",
            4,
            is_leaving,
            started_at_ms=started_at_ms,
        )
        return self.table.put(entry, monotonic_s(), is_restored)

    def record(self, server, status, *pairs):
        return self.signals.record(server, status, HeadFields(list(pairs)))

    def candidates(self):
        now_s = monotonic_s()
        return [s for s in self.table.candidates(READS) if not s.is_quiet(now_s)]

    def test_a_removed_and_listed_run_stays_leaving_and_the_next_run_is_used(self):
        self.record(self.put(), 503, ("Wordy-Leaving", "1"))
        self.table.remove("a")
        self.put()
        self.assertEqual(self.candidates(), [])
        self.put(started_at_ms=2)
        self.assertEqual(len(self.candidates()), 1)

    def test_a_restored_entry_of_an_earlier_run_is_ignored(self):
        self.put(started_at_ms=5)
        record = self.put(started_at_ms=4, is_leaving=True, is_restored=True)
        self.assertEqual(record.entry.started_at_ms, 5)
        self.assertEqual(len(self.candidates()), 1)

    def test_a_run_whose_clock_went_back_is_drained(self):
        # Guards against requests to a server that drains, since its start looks older.
        self.put(started_at_ms=5)
        record = self.put(started_at_ms=4)
        self.assertEqual(record.entry.started_at_ms, 4)
        self.assertEqual(self.candidates(), [record])
        self.put(started_at_ms=4, is_leaving=True)
        self.assertEqual(self.candidates(), [])

    def named_limit(self, server, *pairs, is_probe=False):
        self.signals.record(server, 200, HeadFields(list(pairs)), is_probe)
        return server.limit and server.limit.limit_per_s

    def test_a_limit_lasts_as_long_as_answers_to_requests_name_it(self):
        server = self.put()
        named = ("Wordy-Limit", "0.5")
        self.assertEqual(self.named_limit(server, named), 0.5)
        # Probes of this server have not named the limit, so they cannot end it.
        self.assertEqual(self.named_limit(server, is_probe=True), 0.5)
        self.assertIsNone(self.named_limit(server))
        self.assertEqual(self.candidates(), [server])

    def test_an_answer_to_a_probe_ends_a_limit_that_probes_name_too(self):
        server = self.put()
        named = ("Wordy-Limit", "0.5")
        self.assertEqual(self.named_limit(server, named, is_probe=True), 0.5)
        self.assertEqual(self.candidates(), [])
        self.assertIsNone(self.named_limit(server, is_probe=True))
        self.assertEqual(self.candidates(), [server])

    def test_a_limit_outlasts_the_removal_of_the_entry_and_not_the_run(self):
        self.named_limit(self.put(), ("Wordy-Limit", "0.5"))
        self.table.remove("a")
        self.assertIsNotNone(self.put().limit)
        self.assertIsNone(self.put(started_at_ms=2).limit)

    def test_an_unreadable_limit_changes_nothing(self):
        server = self.put()
        self.assertIsNone(self.named_limit(server, ("Wordy-Limit", "-3")))
        self.named_limit(server, ("Wordy-Limit", "0.5"))
        self.assertEqual(self.named_limit(server, ("Wordy-Limit", "many")), 0.5)

    def test_more_instances_have_smaller_shares_of_a_limit(self):
        server = self.put()
        self.named_limit(server, ("Wordy-Limit", "2"))
        interval_s = server.limit.interval_s
        self.sharer_count = 312
        self.named_limit(server, ("Wordy-Limit", "2"))
        self.assertAlmostEqual(server.limit.interval_s, interval_s * 312 / 20)

    def test_a_pause_ends_at_its_time_and_is_not_shortened(self):
        server = self.put()
        self.record(server, 503, ("Retry-After", "10"))
        self.record(server, 503, ("Retry-After", "1.5"))
        self.clock.advance_s(9.9)
        self.assertEqual(self.candidates(), [])
        self.clock.advance_s(0.2)
        self.assertEqual(self.candidates(), [server])

    def test_a_pause_outlasts_the_removal_of_the_entry(self):
        self.record(self.put(), 503, ("Retry-After", "10"))
        self.table.remove("a")
        self.put()
        self.assertEqual(self.candidates(), [])

    def test_only_a_refusal_of_the_server_itself_is_heeded(self):
        server = self.put()
        pause = ("Retry-After", "10")
        self.assertTrue(self.record(server, 500, pause))
        self.assertFalse(self.record(server, 503, pause, ("Wordy-Server", "b")))
        leaving = (("Wordy-Leaving", "1"), ("Wordy-Server", "b"))
        self.assertFalse(self.record(server, 200, *leaving))
        self.assertEqual(self.candidates(), [server])

    def test_unreadable_times_are_ignored_and_long_ones_cut(self):
        for text in ("", "-1", "soon", "1e9", "Fri, 04 Dec 2026 09:00:00 GMT", "1.2.3"):
            self.assertIsNone(parse_retry_after_s(text))
        self.assertEqual(parse_retry_after_s(" 0.25 "), 0.25)
        self.assertEqual(parse_retry_after_s("9" * 15), RETRY_AFTER_LIMIT_S)

    @given(st.text())
    def test_any_text_gives_a_bounded_time_or_none(self, text):
        duration_s = parse_retry_after_s(text)
        if duration_s is not None:
            self.assertTrue(0 <= duration_s <= RETRY_AFTER_LIMIT_S)
