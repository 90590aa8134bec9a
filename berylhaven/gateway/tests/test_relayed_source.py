"""Tests of reading the store through a relay."""

import unittest

import eventlet

from berylhaven.clock import ManualClock, monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway import (
    FleetUpdate,
    HistoryGone,
    PeersApplication,
    ServerRemoved,
    SourceUnavailable,
)
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway.members._member import Member
from berylhaven.gateway.members._members import MemberTable
from berylhaven.gateway.store._fleet_follower import RETRY_BASE_S
from berylhaven.gateway.store._relayed_source import (
    DIRECT_WAIT_S,
    PEER_TIMEOUT_MARGIN_S,
    PEER_WAIT_S,
    SHORT_DIRECT_WAIT_DURATION_S,
    SHORT_DIRECT_WAIT_S,
    STORE_ANSWER_AGE_LIMIT_S,
    RelayedSource,
)
from berylhaven.gateway.store._update_log import UpdateLog
from berylhaven.gateway.tests._gateway_path import FakeSource, at, free_address
from berylhaven.http1 import serve

# The platform adapter gives a watch up this long after its wait.
WATCH_MARGIN_S = 0.3
# The removal of a server must be active within this time after the store's answer.
PROPAGATION_LIMIT_S = 2.0


class FakeRelay:
    """A relay that answers with the result of a function."""

    def __init__(self, update):
        self.respond = update

    def update_after(self, revision, wait_s):
        return self.respond()


class RelayedSourceTest(unittest.TestCase):
    def setUp(self):
        self.source = FakeSource()
        # An instance that is not ready is no relay itself.
        self.members = MemberTable(Member("own", "own", "here", 1, 1, False))
        self.relayed = RelayedSource(
            self.source, self.members, UpdateLog(), GatewayMetrics(), EventLog(1, 0, 0)
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

    def test_a_single_instance_queries_the_store(self):
        self.assertEqual(self.relayed.watch(at(1), 0.0).revision, at(1))
        self.assertEqual(self.source.call_count, 1)

    def test_the_first_watch_of_a_new_relay_does_not_wait_and_later_ones_do(self):
        for longest_s in (0.1, 1.0):
            with eventlet.Timeout(longest_s):
                self.relayed.watch(at(1), 0.2)
        self.assertEqual(self.source.waits_s, [0.0, 0.2])

    def test_an_instance_that_is_behind_fetches_from_a_relay_with_the_revision(self):
        self.source.number = 9
        self.add_relay(self.serve(lambda: FleetUpdate((), at(7))))
        self.assertEqual(self.relayed.fetch(at(1), newest=at(7)).revision, at(7))
        self.assertEqual(self.source.call_count, 0)
        self.assertEqual(self.relayed.fetch(at(1), newest=at(8)).revision, at(9))

    def test_after_a_lost_watch_the_next_is_immediate_and_then_watches_are_short(self):
        with ManualClock() as clock:
            self.relayed.watch(at(1), 0.0)
            clock.advance_s(0.1)
            self.source.failure = SourceUnavailable("lost")
            with self.assertRaises(SourceUnavailable):
                self.relayed.watch(at(1), 0.0)
            self.source.failure = None
            self.source.put(ServerRemoved("a"))
            waits_s = []
            for _ in range(2):
                clock.advance_s(0.1)
                self.relayed.watch(at(1), 4.0)
                waits_s.append(self.source.waits_s[-1])
            clock.advance_s(SHORT_DIRECT_WAIT_DURATION_S / 2)
            self.relayed.watch(at(1), 4.0)
            clock.advance_s(SHORT_DIRECT_WAIT_DURATION_S / 2)
            self.relayed.watch(at(1), 4.0)
        waits_s += self.source.waits_s[-2:]
        self.assertEqual(
            waits_s, [0.0, SHORT_DIRECT_WAIT_S, SHORT_DIRECT_WAIT_S, DIRECT_WAIT_S]
        )

    def test_a_lost_watch_of_a_relay_is_repeated_at_the_store_and_not_at_a_peer(self):
        with eventlet.Timeout(PROPAGATION_LIMIT_S):
            self.relayed.watch(at(1), 0.0)
            self.source.failure = SourceUnavailable("lost")
            with self.assertRaises(SourceUnavailable):
                self.relayed.watch(at(1), 0.0)
            # The instance is no relay any more, and the new one is silent.
            listener = eventlet.listen(("127.0.0.1", 0))
            self.addCleanup(listener.close)
            self.add_relay(f"127.0.0.1:{listener.getsockname()[1]}")
            started_at_s = monotonic_s()
            with self.assertRaises(SourceUnavailable):
                self.relayed.watch(at(1), 1.0)
        self.assertEqual(self.source.call_count, 3)
        self.assertLess(monotonic_s() - started_at_s, PEER_WAIT_S)

    def test_while_changes_are_frequent_a_watch_detects_a_silent_store_sooner(self):
        waits_s = []
        for has_change in (True, True, True, False):
            if has_change:
                self.source.put(ServerRemoved("a"))
            after = at(self.source.number - has_change)
            self.relayed.watch(after, 0.0)
            waits_s.append(self.relayed._direct_wait_s())
        self.assertEqual(
            waits_s,
            [DIRECT_WAIT_S, SHORT_DIRECT_WAIT_S, SHORT_DIRECT_WAIT_S, DIRECT_WAIT_S],
        )

    def test_a_lost_history_counts_as_an_answer_of_the_store(self):
        log = UpdateLog()
        relayed = RelayedSource(
            self.source, self.members, log, GatewayMetrics(), EventLog(1, 0, 0)
        )
        self.source.failure = HistoryGone("forgotten")
        with self.assertRaises(HistoryGone):
            relayed.watch(at(1), 0.0)
        self.assertLess(monotonic_s() - log.store_answered_at_s, 1.0)

    def test_one_lost_watch_is_recovered_before_peers_give_up_a_relay(self):
        lost_after_s = DIRECT_WAIT_S + WATCH_MARGIN_S
        self.assertLess(lost_after_s + RETRY_BASE_S * 2 + 0.2, STORE_ANSWER_AGE_LIMIT_S)

    def test_an_update_of_a_relay_needs_no_call_to_the_store(self):
        self.add_relay(self.serve(lambda: FleetUpdate((), at(7))))
        self.assertEqual(self.relayed.watch(at(1), 1.0).revision, at(7))
        self.assertEqual(self.source.call_count, 0)

    def refuse(self):
        raise SourceUnavailable("no answer of the store")

    def test_after_a_refusal_of_the_relay_the_store_is_queried_at_once(self):
        self.add_relay(self.serve(self.refuse))
        self.source.put()
        self.assertEqual(self.relayed.watch(at(1), 1.0).revision, at(2))
        self.assertEqual(self.source.call_count, 1)

    def test_after_a_refusal_of_one_relay_the_other_is_queried(self):
        self.add_relay(self.serve(self.refuse))
        self.add_relay(self.serve(lambda: FleetUpdate((), at(7))))
        for _ in range(4):
            self.assertEqual(self.relayed.watch(at(1), 1.0).revision, at(7))
        self.assertEqual(self.source.call_count, 0)

    def test_an_unresponsive_relay_is_given_up_in_time(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        self.add_relay(f"127.0.0.1:{listener.getsockname()[1]}")
        self.source.put()
        started_at_s = monotonic_s()
        self.assertEqual(self.relayed.watch(at(1), 1.0).revision, at(2))
        self.assertLess(PEER_WAIT_S + PEER_TIMEOUT_MARGIN_S, PROPAGATION_LIMIT_S)
        self.assertLess(monotonic_s() - started_at_s, PROPAGATION_LIMIT_S)

    def test_if_neither_answers_the_store_is_queried_at_the_interval(self):
        self.add_relay(self.serve(self.refuse))
        self.source.failure = SourceUnavailable("down")
        for _ in range(5):
            with self.assertRaises(SourceUnavailable):
                self.relayed.watch(at(1), 1.0)
        self.assertEqual(self.source.call_count, 1)

    def test_without_the_store_a_start_reads_the_snapshot_of_a_peer(self):
        self.source.failure = SourceUnavailable("down")
        self.add_relay(self.serve(lambda: FleetUpdate((), at(7))))
        self.assertEqual(self.relayed.read().revision, at(7))

    def test_after_a_lost_history_a_relay_has_time_to_read_a_snapshot(self):
        revisions = [7, 9, 12]
        self.add_relay(self.serve(lambda: FleetUpdate((), at(revisions.pop(0)))))
        self.assertEqual(self.relayed.wait_for_relay(at(9)).revision, at(12))
        self.assertEqual(self.source.call_count, 0)

    def test_the_wait_for_a_relay_without_newer_changes_is_limited(self):
        # Two instances that consider each other a relay would never query the store.
        self.add_relay(self.serve(lambda: FleetUpdate((), at(9))))
        self.assertIsNone(self.relayed.wait_for_relay(at(9)))

    def test_a_snapshot_of_a_peer_without_newer_changes_is_not_used(self):
        self.members.own.revision = at(9)
        self.source.failure = SourceUnavailable("down")
        self.add_relay(self.serve(lambda: FleetUpdate((), at(9))))
        with self.assertRaises(SourceUnavailable):
            self.relayed.read()

    def test_a_relay_itself_queries_the_store_after_a_lost_history(self):
        self.members.own.is_ready = True
        self.assertIsNone(self.relayed.wait_for_relay(at(9)))
