"""Tests of open connections that become unresponsive while new ones work."""

import unittest
import unittest.mock

import eventlet
from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.calls import AttemptEnd, AttemptFailed
from berylhaven.catalogue import parse_catalogue
from berylhaven.clock import monotonic_s
from berylhaven.entry.tests._local_fleet import CATALOGUE
from berylhaven.http1._body_framing import NO_BODY
from berylhaven.http1._request_body import RequestBody
from berylhaven.http1.tests._raw_backend import RawBackend, answer_ok
from berylhaven.proxy._call_request import CallRequest
from berylhaven.proxy._stop_watch import StopWatch
from berylhaven.proxy._unresponsive_timeout import MIN_TIMEOUT_S, unresponsive_timeout_s
from berylhaven.proxy._upstream_caller import UpstreamCaller
from berylhaven.settings import ProxySettings

SETTINGS = ProxySettings(512, 32_768, 65_536, 15.0, 5.0, 60.0)
TIMEOUT_S = 0.1
CONNECTIONS_COUNT = 8


class UnresponsiveConnectionsTest(unittest.TestCase):
    """All connections open at one moment stop answering; new ones work."""

    def setUp(self):
        self.backend = RawBackend()
        self.addCleanup(self.backend.stop)
        self.caller = UpstreamCaller(SETTINGS, lambda _: 100, StopWatch())
        self.unresponsive_sockets = set()
        self.slow_sockets = set()
        self.backend.answers["/x"] = self.answer
        self.services = parse_catalogue(CATALOGUE).services

    def answer(self, sock, request):
        if sock in self.unresponsive_sockets:
            return True
        if sock in self.slow_sockets:
            eventlet.sleep(3 * TIMEOUT_S)
        return answer_ok(sock, request)

    def request(self, service, timeout_s=5.0):
        return CallRequest(
            service=self.services[service],
            method="GET",
            target="/x",
            headers=[],
            body=RequestBody(None, NO_BODY, 1.0),
            deadline_s=monotonic_s() + timeout_s,
            call_id="c",
        )

    def attempt(self, service="positions", **options):
        exchange = self.caller.attempt(
            self.backend.address, self.request(service), TIMEOUT_S, **options
        )
        exchange.release(is_reusable=True)
        return exchange.answer

    def fill_pool(self):
        threads = [eventlet.spawn(self.attempt) for _ in range(CONNECTIONS_COUNT)]
        for thread in threads:
            thread.wait()

    def test_one_unresponsive_connection_is_enough_for_the_whole_pool_to_recover(self):
        self.fill_pool()
        self.unresponsive_sockets.update(self.backend.open_sockets)
        with self.assertRaises(AttemptFailed) as caught:
            self.attempt()
        self.assertIs(caught.exception.end, AttemptEnd.UNRESPONSIVE)
        self.assertTrue(caught.exception.classification.may_retry)
        self.assertEqual(self.attempt(requires_new_connection=True).status, 200)
        sent_count = len(self.backend.requests)
        for _ in range(CONNECTIONS_COUNT):
            self.assertEqual(self.attempt().status, 200)
        self.assertEqual(len(self.backend.requests), sent_count + CONNECTIONS_COUNT)

    def test_a_late_answer_on_a_new_connection_is_waited_for(self):
        def answer_late(sock, request):
            eventlet.sleep(3 * TIMEOUT_S)
            return answer_ok(sock, request)

        self.backend.answers["/x"] = answer_late
        self.assertEqual(self.attempt(requires_new_connection=True).status, 200)
        self.assertEqual(len(self.backend.requests), 1)

    def test_what_may_not_run_twice_is_waited_for_and_never_sent_again(self):
        self.fill_pool()
        self.slow_sockets.update(self.backend.open_sockets)
        sent_count = len(self.backend.requests)
        self.assertEqual(self.attempt("bookings").status, 200)
        self.assertEqual(len(self.backend.requests), sent_count + 1)
        # The late answer still removed the other idle connections from the pool.
        counts = self.caller.counts(self.backend.address)
        self.assertEqual(counts.idle_count, 1)

    def test_a_call_on_an_unresponsive_connection_ends_unknown_at_its_deadline(self):
        self.fill_pool()
        self.unresponsive_sockets.update(self.backend.open_sockets)
        request = self.request("bookings", timeout_s=0.2)
        with self.assertRaises(AttemptFailed) as caught:
            self.caller.attempt(self.backend.address, request, TIMEOUT_S)
        self.assertIs(caught.exception.end, AttemptEnd.DEADLINE_BEFORE_HEAD)
        self.assertEqual(caught.exception.classification.outcome.value, "unknown")

    def test_a_deadline_that_passed_before_sending_sends_nothing(self):
        request = self.request("bookings", timeout_s=0.0)
        with self.assertRaises(AttemptFailed) as caught:
            self.caller.attempt(self.backend.address, request)
        self.assertIs(caught.exception.end, AttemptEnd.DEADLINE_BEFORE_SENDING)
        self.assertEqual(self.backend.requests, [])

    def test_a_process_suspended_past_the_deadline_sends_nothing(self):
        request = self.request("bookings")

        def sleep_through(size_bytes):
            # The process is suspended here and resumes after the deadline.
            request.deadline_s = monotonic_s() - 1.0
            return iter(())

        request.body = unittest.mock.Mock(wraps=request.body, has_body=False)
        request.body.content_length = 0
        request.body.pieces = sleep_through
        with self.assertRaises(AttemptFailed) as caught:
            self.caller.attempt(self.backend.address, request)
        self.assertIs(caught.exception.end, AttemptEnd.DEADLINE_BEFORE_SENDING)
        self.assertEqual(self.backend.requests, [])

    def test_attempts_leave_no_connection_behind(self):
        self.fill_pool()
        self.unresponsive_sockets.update(self.backend.open_sockets)
        for _ in range(3):
            request = self.request("bookings", timeout_s=0.1)
            with self.assertRaises(AttemptFailed):
                self.caller.attempt(self.backend.address, request)
        self.assertEqual(self.caller.counts(self.backend.address).busy_count, 0)


class UnresponsiveTimeoutTest(unittest.TestCase):
    """The timeout after which a connection counts as unresponsive."""

    @settings(derandomize=True, deadline=None)
    @given(st.floats(0, 100), st.floats(0, 100))
    def test_it_leaves_time_for_another_attempt_unless_the_server_is_slow(
        self, p99_s, remaining_s
    ):
        timeout_s = unresponsive_timeout_s(p99_s, remaining_s)
        self.assertGreaterEqual(timeout_s, p99_s)
        self.assertLessEqual(timeout_s, max(p99_s, remaining_s / 2))
        self.assertLessEqual(timeout_s, max(MIN_TIMEOUT_S, 3 * p99_s))
