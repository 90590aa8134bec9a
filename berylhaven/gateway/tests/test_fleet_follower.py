"""Tests of following the store: outages, expired entries, lost history, versions."""

import random
import unittest
import unittest.mock

import eventlet

from berylhaven.clock import ManualClock, monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway import (
    FleetUpdate,
    HistoryGone,
    InvalidEntry,
    ServerEntry,
    ServerRemoved,
    SourceUnavailable,
)
from berylhaven.gateway._active_routes import ActiveRoutes
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway.members._member import Member
from berylhaven.gateway.members._members import MemberTable
from berylhaven.gateway.servers._server_table import ServerTable
from berylhaven.gateway.store._fleet_follower import (
    FIRST_WATCH_DELAY_LIMIT_S,
    RETRY_LIMIT_S,
    FleetFollower,
)
from berylhaven.gateway.store._fleet_source import EvacuationsListed
from berylhaven.gateway.store._relayed_source import RelayedSource
from berylhaven.gateway.store._store_outages import (
    EXPIRED_ENTRY_GRACE_S,
    MIN_EXPIRY_OUTAGE_S,
)
from berylhaven.gateway.store._update_codec import decode_update, encode_update
from berylhaven.gateway.store._update_log import UpdateLog
from berylhaven.gateway.tests._gateway_path import FakeSource, at, configuration
from berylhaven.http1 import ConnectionPool


def entry(name, is_leaving=False, **fields):
    return ServerEntry(name, "reads", f"{name}:80", "here", 4, is_leaving, **fields)


class FleetFollowerTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.clock.__enter__()
        self.addCleanup(self.clock.__exit__, None, None, None)
        self.source = FakeSource(configuration(3), entry("a"), entry("b"))
        self.table = ServerTable()
        self.routes = ActiveRoutes()
        self.log = UpdateLog()
        self.members = MemberTable(Member("own", "own", "here", 1, 0, True))
        self.follower = FleetFollower(
            RelayedSource(
                self.source, self.members, self.log, GatewayMetrics(), EventLog(1, 0, 0)
            ),
            self.members,
            self.log,
            self.routes,
            self.table,
            ConnectionPool(lambda address: 1, 1_000),
            random.Random(1),
            EventLog(1, 0, 0),
        )
        self.follower.step()

    def servers(self):
        return sorted(s.entry.server_id for s in self.table.candidates("reads"))

    def test_the_first_step_reads_a_snapshot(self):
        self.assertEqual(self.servers(), ["a", "b"])
        self.assertEqual(self.routes.version, 3)
        self.assertEqual(self.members.own.revision, self.source.revision)

    def test_a_leaving_server_takes_no_new_requests(self):
        self.source.put(entry("a", is_leaving=True))
        self.follower.step()
        self.assertEqual(self.servers(), ["b"])

    def test_a_removed_server_is_dropped_at_once(self):
        self.source.put(ServerRemoved("a"))
        self.follower.step()
        self.assertEqual(self.servers(), ["b"])

    def test_an_invalid_entry_gives_no_server(self):
        self.source.put(InvalidEntry("a", "no state"))
        self.follower.step()
        self.assertEqual(self.servers(), ["b"])

    def test_a_restart_under_the_same_id_has_no_requests_in_flight(self):
        known = self.table.record("a")
        known.in_flight_count = 3
        self.source.put(entry("a", started_at_ms=9))
        self.follower.step()
        self.assertEqual(self.table.record("a").in_flight_count, 0)

    def test_only_the_first_snapshot_may_be_stale(self):
        self.assertEqual(self.source.stale_allowed, [True])
        self.source.failure = HistoryGone("forgotten")
        self.follower.step()
        self.source.failure = None
        self.follower.step()
        self.assertEqual(self.source.stale_allowed, [True, False])

    def test_the_first_watch_is_delayed_for_relays(self):
        self.members.expects_peers = True
        self.follower._revision = None
        self.follower._needs_snapshot = True
        self.follower.step()
        calls = self.source.call_count
        self.clock.advance_s(FIRST_WATCH_DELAY_LIMIT_S - 0.1)
        self.assertGreater(self.follower.step(), 0)
        self.assertEqual(self.source.call_count, calls)
        self.source.put(ServerRemoved("a"))
        self.clock.advance_s(0.2)
        self.follower.step()
        self.assertEqual(self.servers(), ["b"])

    def test_one_failed_watch_does_not_mark_the_store_unavailable(self):
        self.source.failure = SourceUnavailable("cut")
        self.follower.step()
        self.assertFalse(self.follower.is_store_unavailable)

    def test_peers_get_the_difference_after_a_loss_of_history(self):
        before = self.source.revision
        self.source.failure = HistoryGone("forgotten")
        self.follower.step()
        self.source.failure = None
        self.source.snapshot = [configuration(4), entry("b"), entry("c")]
        self.source.number += 5
        self.follower.step()
        update = self.log.after(before)
        self.assertEqual(update.revision, self.source.revision)
        self.assertEqual(
            set(update.changes[1:]),
            {entry("c"), ServerRemoved("a"), EvacuationsListed(())},
        )
        self.assertEqual(update.changes[0].version, 4)

    def test_peers_get_the_known_state_while_a_snapshot_is_read(self):
        self.source.failure = HistoryGone("forgotten")
        self.follower.step()
        self.assertEqual(self.follower.snapshot().revision, self.source.revision)

    def test_after_a_lost_history_the_difference_comes_from_a_relay(self):
        update = FleetUpdate((ServerRemoved("a"),), at(self.source.number + 3))
        self.source.failure = HistoryGone("forgotten")
        with unittest.mock.patch.object(
            RelayedSource, "wait_for_relay", return_value=update
        ):
            self.follower.step()
        self.assertEqual(self.servers(), ["b"])
        self.assertEqual(self.members.own.revision, update.revision)
        self.assertEqual(self.source.stale_allowed, [True])

    def test_an_instance_behind_a_lost_history_reads_a_snapshot_during_its_watch(self):
        self.source.snapshot = [configuration(4), entry("b")]
        self.source.number += 5
        self.source.watch = unittest.mock.Mock(side_effect=HistoryGone("forgotten"))
        self.run_catch_up_loop()
        peer = Member("peer", "peer", "there", 1, 1, True, self.source.revision)
        self.members.merge(peer, monotonic_s())
        for _ in range(10):
            self.clock.advance_s(0.1)
        self.assertEqual(self.servers(), ["b"])
        self.assertEqual(self.routes.version, 4)

    def simulate_outage(self):
        self.source.failure = SourceUnavailable("down")
        self.follower.step()
        self.clock.advance_s(MIN_EXPIRY_OUTAGE_S)
        self.follower.step()
        self.assertTrue(self.follower.is_store_unavailable)
        self.source.failure = None

    def test_entries_that_expired_in_an_outage_are_kept_for_the_grace_period(self):
        self.simulate_outage()
        self.source.put(ServerRemoved("a"), ServerRemoved("b"))
        self.follower.step()
        self.assertEqual(self.servers(), ["a", "b"])
        self.clock.advance_s(EXPIRED_ENTRY_GRACE_S - 0.5)
        self.source.put(entry("b"))
        self.follower.step()
        self.assertEqual(self.servers(), ["a", "b"])
        # No further update arrives, and the watch goes on waiting.
        self.run_catch_up_loop()
        self.clock.advance_s(0.8)
        self.assertEqual(self.servers(), ["b"])

    def run_catch_up_loop(self):
        thread = eventlet.spawn(self.follower.run_catch_up)
        self.addCleanup(thread.kill)
        # The hub runs timers that are due at the same time in any order.
        for _ in range(3):
            eventlet.sleep(0)

    def receive_heartbeat(self, store_available_s):
        peer = Member("peer", "peer", "here", 1, 1, True, at(0), store_available_s)
        self.members.merge(peer, monotonic_s())

    def test_a_peer_without_the_outage_proves_that_no_entry_expired(self):
        self.run_catch_up_loop()
        self.simulate_outage()
        self.clock.advance_s(12.0)
        self.source.put(ServerRemoved("a"))
        self.follower.step()
        self.clock.advance_s(0.2)
        self.receive_heartbeat(store_available_s=10)
        self.clock.advance_s(0.2)
        self.assertEqual(self.servers(), ["a", "b"])
        self.members.own.heartbeat += 1
        self.members.merge(
            Member("p2", "p2", "here", 1, 1, True, at(0), 30), monotonic_s()
        )
        self.clock.advance_s(0.2)
        self.assertEqual(self.servers(), ["b"])

    def test_a_heartbeat_before_the_stores_recovery_proves_nothing(self):
        self.run_catch_up_loop()
        self.simulate_outage()
        self.receive_heartbeat(store_available_s=30)
        self.clock.advance_s(0.2)
        self.source.put(ServerRemoved("a"))
        self.follower.step()
        self.clock.advance_s(0.2)
        self.assertEqual(self.servers(), ["a", "b"])

    def test_store_availability_is_counted_from_the_last_outage(self):
        self.run_catch_up_loop()
        self.clock.advance_s(7.0)
        self.assertEqual(self.members.own.store_available_s, 7)
        self.simulate_outage()
        self.clock.advance_s(1.0)
        self.assertEqual(self.members.own.store_available_s, 0)
        self.source.put(configuration(4))
        self.follower.step()
        self.clock.advance_s(2.5)
        self.assertEqual(self.members.own.store_available_s, 2)

    def test_a_cut_watch_delays_no_removal(self):
        # Guards against requests to servers that left, here and at peers.
        self.source.failure = SourceUnavailable("cut")
        self.follower.step()
        self.source.failure = None
        self.clock.advance_s(RETRY_LIMIT_S)
        self.source.put(ServerRemoved("a"))
        self.follower.step()
        self.assertEqual(self.servers(), ["b"])
        self.assertFalse(self.follower.is_after_outage)

    def test_expired_entries_are_kept_if_a_peer_reports_the_outage(self):
        update = FleetUpdate((ServerRemoved("a"),), at(self.source.number + 1), True)
        self.follower._apply_newer(update)
        self.assertEqual(self.servers(), ["a", "b"])

    def test_after_a_lost_history_a_snapshot_is_read(self):
        self.source.failure = HistoryGone("compacted")
        self.follower.step()
        self.source.failure = None
        self.source.snapshot = [configuration(5), entry("b"), entry("c")]
        self.source.number += 4
        self.follower.step()
        self.assertEqual(self.servers(), ["b", "c"])
        self.assertEqual(self.routes.version, 5)

    def test_an_older_configuration_is_never_activated(self):
        self.source.put(configuration(2))
        self.follower.step()
        self.assertEqual(self.routes.version, 3)

    def test_an_older_update_changes_nothing(self):
        self.source.put(entry("a", is_leaving=True))
        self.follower.step()
        old = FleetUpdate((entry("a"),), at(self.source.number - 1))
        self.follower._apply_newer(old)
        self.assertEqual(self.servers(), ["b"])

    def test_a_newer_revision_of_a_peer_triggers_catch_up(self):
        self.run_catch_up_loop()
        self.source.put(entry("a", is_leaving=True))
        peer = Member("peer", "peer", "here", 1, 1, True, self.source.revision)
        self.members.merge(peer, monotonic_s())
        for _ in range(4):
            self.clock.advance_s(0.3)
        self.assertEqual(self.servers(), ["b"])

    def test_peers_that_wait_learn_at_once_that_the_store_is_unavailable(self):
        waiting = eventlet.spawn(self.log.wait_after, self.log.revision, 4.0)
        eventlet.sleep(0)
        self.source.failure = SourceUnavailable("silent")
        self.follower.step()
        self.clock.advance_s(0.0)
        self.assertFalse(waiting.dead)
        self.follower.step()
        self.clock.advance_s(0.0)
        self.assertTrue(self.follower.is_store_unavailable)
        self.assertTrue(waiting.dead)


class UpdateCodecTest(unittest.TestCase):
    def test_an_update_survives_encoding_and_decoding(self):
        changes = (configuration(7), entry("a"), ServerRemoved("b"))
        update = FleetUpdate((*changes, InvalidEntry("c", "why")), at(12), True)
        self.assertEqual(decode_update(encode_update(update)), update)

    def test_an_update_states_its_sender_and_how_old_its_answer_of_the_store_was(self):
        body = encode_update(FleetUpdate((), at(12), store_answer_age_s=1.25))
        decoded = decode_update(body, "peer:1")
        self.assertEqual((decoded.sender, decoded.store_answer_age_s), ("peer:1", 1.25))

    def test_a_malformed_update_is_a_value_error(self):
        for body in (
            b"",
            b"[]",
            b"{}",
            b'{"revision":1,"changes":{},"is_after_outage":false}',
            b'{"revision":1,"changes":"x","is_after_outage":false}',
            b'{"revision":"1","changes":[],"is_after_outage":false}',
            b'{"revision":1,"changes":[],"is_after_outage":true,"outage_ages_s":[1]}',
            b'{"revision":1,"changes":[],"is_after_outage":true,"outage_ages_s":["",1]}',
            b'{"revision":1,"changes":[],"is_after_outage":false,'
            b'"store_answer_age_s":"1"}',
        ):
            with self.subTest(body), self.assertRaises(ValueError):
                decode_update(body)


class UpdateLogTest(unittest.TestCase):
    def test_a_peer_gets_the_changes_after_its_revision(self):
        log = UpdateLog()
        log.reset(at(5))
        log.add(FleetUpdate((entry("a"),), at(6)))
        log.add(FleetUpdate((entry("b"),), at(9)))
        self.assertEqual(log.after(at(6)), FleetUpdate((entry("b"),), at(9)))
        self.assertEqual(log.after(at(9)).changes, ())
        with self.assertRaises(HistoryGone):
            log.after(at(4))

    def test_a_waiting_peer_is_woken(self):
        log = UpdateLog()
        log.reset(at(5))
        thread = eventlet.spawn(log.wait_after, at(5), 5.0)
        eventlet.sleep(0)
        log.add(FleetUpdate((entry("a"),), at(6)))
        with eventlet.Timeout(1.0):
            self.assertEqual(thread.wait().revision, at(6))
