"""Tests of reading the store by way of a peer."""

import unittest

import eventlet

from berylhaven.clock import ManualClock, monotonic_s
from berylhaven.gateway import (
    FleetUpdate,
    HistoryGone,
    PeersApplication,
    ServerRemoved,
    SourceUnavailable,
)
from berylhaven.gateway._fleet_follower import RETRY_BASE_S
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway._members import Member, MemberTable
from berylhaven.gateway._relayed_source import (
    DIRECT_WAIT_S,
    PEER_TIMEOUT_MARGIN_S,
    PEER_WAIT_S,
    SHORT_DIRECT_WAIT_DURATION_S,
    SHORT_DIRECT_WAIT_S,
    STORE_ANSWER_AGE_LIMIT_S,
    RelayedSource,
)
from berylhaven.gateway._update_log import UpdateLog
from berylhaven.gateway.tests._gateway_path import FakeSource, free_address
from berylhaven.http1 import serve

# The adapter gives a watch up so long after its end.
WATCH_MARGIN_S = 0.3
# A server's leaving must be believed within this time of the store's answer.
PROPAGATION_LIMIT_S = 2.0


class FakeRelay:
    """A peer that tells news as a test says."""

    def __init__(self, update):
        self.respond = update

    def update_after(self, revision, wait_s):
        return self.respond()


class RelayedSourceTest(unittest.TestCase):
    def setUp(self):
        self.source = FakeSource()
        # An instance that is not ready yet is no reader itself.
        self.members = MemberTable(Member("own", "own", "here", 1, 1, False))
        self.relayed = RelayedSource(
            self.source, self.members, UpdateLog(), GatewayMetrics()
        )

    def add_relay(self, address):
        peer = Member(address, address, "here", 1, 1, True)
        self.members.merge(peer, monotonic_s())

    def serve(self, respond):
        address = free_address()
        host, _, port = address.rpartition(":")
        application = PeersApplication(FakeRelay(respond))
        thread = serve(host, int(port), application, 16, 5.0)
        self.addCleanup(thread.kill)
        return address

    def test_an_instance_alone_asks_the_store(self):
        self.assertEqual(self.relayed.watch(1, 0.0).revision, 1)
        self.assertEqual(self.source.call_count, 1)

    def test_a_new_reader_hears_the_store_at_once_and_waits_from_then_on(self):
        for longest_s in (0.1, 1.0):
            with eventlet.Timeout(longest_s):
                self.relayed.watch(1, 0.2)
        self.assertEqual(self.source.waits_s, [0.0, 0.2])

    def test_an_instance_that_is_behind_asks_a_reader_that_knows_enough(self):
        self.source.revision = 9
        self.add_relay(self.serve(lambda: FleetUpdate((), 7)))
        self.assertEqual(self.relayed.fetch(1, newest=7).revision, 7)
        self.assertEqual(self.source.call_count, 0)
        self.assertEqual(self.relayed.fetch(1, newest=8).revision, 9)

    def test_after_a_lost_watch_the_store_is_asked_at_once_and_then_for_short(self):
        with ManualClock() as clock:
            self.relayed.watch(1, 0.0)
            clock.advance_s(0.1)
            self.source.failure = SourceUnavailable("lost")
            with self.assertRaises(SourceUnavailable):
                self.relayed.watch(1, 0.0)
            self.source.failure = None
            self.source.put(ServerRemoved("a"))
            waits_s = []
            for _ in range(2):
                clock.advance_s(0.1)
                self.relayed.watch(1, 4.0)
                waits_s.append(self.source.waits_s[-1])
            clock.advance_s(SHORT_DIRECT_WAIT_DURATION_S / 2)
            self.relayed.watch(1, 4.0)
            clock.advance_s(SHORT_DIRECT_WAIT_DURATION_S / 2)
            self.relayed.watch(1, 4.0)
        waits_s += self.source.waits_s[-2:]
        self.assertEqual(
            waits_s, [0.0, SHORT_DIRECT_WAIT_S, SHORT_DIRECT_WAIT_S, DIRECT_WAIT_S]
        )

    def test_a_lost_history_is_an_answer_of_the_store(self):
        log = UpdateLog()
        relayed = RelayedSource(self.source, self.members, log, GatewayMetrics())
        self.source.failure = HistoryGone("forgotten")
        with self.assertRaises(HistoryGone):
            relayed.watch(1, 0.0)
        self.assertLess(monotonic_s() - log.store_answered_at_s, 1.0)

    def test_one_lost_watch_is_made_good_before_peers_give_a_reader_up(self):
        lost_after_s = DIRECT_WAIT_S + WATCH_MARGIN_S
        self.assertLess(lost_after_s + RETRY_BASE_S * 2 + 0.2, STORE_ANSWER_AGE_LIMIT_S)

    def test_news_of_a_reader_costs_no_call(self):
        self.add_relay(self.serve(lambda: FleetUpdate((), 7)))
        self.assertEqual(self.relayed.watch(1, 1.0).revision, 7)
        self.assertEqual(self.source.call_count, 0)

    def refuse(self):
        raise SourceUnavailable("not heard")

    def test_after_a_readers_refusal_the_store_is_asked_at_once(self):
        self.add_relay(self.serve(self.refuse))
        self.source.put()
        self.assertEqual(self.relayed.watch(1, 1.0).revision, 2)
        self.assertEqual(self.source.call_count, 1)

    def test_after_one_readers_refusal_the_other_is_asked(self):
        self.add_relay(self.serve(self.refuse))
        self.add_relay(self.serve(lambda: FleetUpdate((), 7)))
        for _ in range(4):
            self.assertEqual(self.relayed.watch(1, 1.0).revision, 7)
        self.assertEqual(self.source.call_count, 0)

    def test_a_silent_reader_is_given_up_in_time(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        self.add_relay(f"127.0.0.1:{listener.getsockname()[1]}")
        self.source.put()
        started_at_s = monotonic_s()
        self.assertEqual(self.relayed.watch(1, 1.0).revision, 2)
        self.assertLess(PEER_WAIT_S + PEER_TIMEOUT_MARGIN_S, PROPAGATION_LIMIT_S)
        self.assertLess(monotonic_s() - started_at_s, PROPAGATION_LIMIT_S)

    def test_where_neither_answers_the_store_is_asked_rarely(self):
        self.add_relay(self.serve(self.refuse))
        self.source.failure = SourceUnavailable("down")
        for _ in range(5):
            with self.assertRaises(SourceUnavailable):
                self.relayed.watch(1, 1.0)
        self.assertEqual(self.source.call_count, 1)

    def test_a_start_without_the_store_knows_what_peers_know(self):
        self.source.failure = SourceUnavailable("down")
        self.add_relay(self.serve(lambda: FleetUpdate((), 7)))
        self.assertEqual(self.relayed.read().revision, 7)

    def test_after_a_lost_history_a_reader_has_time_to_read_all_anew(self):
        revisions = [7, 9, 12]
        self.add_relay(self.serve(lambda: FleetUpdate((), revisions.pop(0))))
        self.assertEqual(self.relayed.wait_for_relay(9).revision, 12)
        self.assertEqual(self.source.call_count, 0)

    def test_a_reader_that_knows_no_more_is_not_waited_for_for_ever(self):
        # Two instances that take each other for a reader would never ask the store.
        self.add_relay(self.serve(lambda: FleetUpdate((), 9)))
        self.assertIsNone(self.relayed.wait_for_relay(9))

    def test_a_peer_that_knows_no_more_tells_no_whole_state(self):
        self.members.own.revision = 9
        self.source.failure = SourceUnavailable("down")
        self.add_relay(self.serve(lambda: FleetUpdate((), 9)))
        with self.assertRaises(SourceUnavailable):
            self.relayed.read()

    def test_a_reader_itself_asks_the_store_after_a_lost_history(self):
        self.members.own.is_ready = True
        self.assertIsNone(self.relayed.wait_for_relay(9))
