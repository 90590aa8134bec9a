"""Tests of what counts as an outage of the store, here and at peers."""

import unittest

import eventlet

from berylhaven.clock import ManualClock, monotonic_s
from berylhaven.gateway import ServerRemoved, SourceUnavailable
from berylhaven.gateway.members._member import Member
from berylhaven.gateway.store._fleet_source import FleetUpdate, OutageAge
from berylhaven.gateway.store._store_outages import (
    EXPIRED_ENTRY_GRACE_S,
    MIN_EXPIRY_OUTAGE_S,
    UNKNOWN_OUTAGE_AGE,
    StoreOutages,
)
from berylhaven.gateway.store._update_codec import decode_update, encode_update
from berylhaven.gateway.tests._gateway_fleet import GatewayFleet
from berylhaven.gateway.tests._gateway_path import READS, at

# A removal must be active within this time after the store's answer.
PROPAGATION_LIMIT_S = 2.0
OUTAGE_S = 4.0
READER_COUNT = 2
SETTLE_LIMIT_S = 10.0
LOG_END_BYTES = 1_500


def peer_available_for(available_s):
    """Return a peer that has had answers of the store for some seconds."""
    peer = Member("peer", "peer", "here", 1, 1, True, at(0), available_s)
    peer.heartbeat_at_s = monotonic_s()
    return peer


class StoreOutagesTest(unittest.TestCase):
    def setUp(self):
        self.clock = self.enterContext(ManualClock())
        self.outages = StoreOutages()
        self.clock.advance_s(100.0)

    def lose_store(self, duration_s):
        self.outages.record_answer(0.0)
        self.clock.advance_s(duration_s)
        self.outages.record_recovery()

    def test_an_outage_too_short_for_an_entry_to_expire_begins_no_grace(self):
        # Guards against servers that are used after they left, for one lost call.
        self.lose_store(MIN_EXPIRY_OUTAGE_S - 0.1)
        self.assertFalse(self.outages.is_in_grace)
        self.assertEqual(self.outages.available_s(is_failing=False), 0)

    def test_an_outage_in_which_entries_may_expire_begins_the_grace_period(self):
        # Guards against the loss of all servers of a store that was away.
        self.lose_store(OUTAGE_S)
        self.clock.advance_s(EXPIRED_ENTRY_GRACE_S - 0.1)
        self.assertTrue(self.outages.is_in_grace)
        self.clock.advance_s(0.2)
        self.assertFalse(self.outages.is_in_grace)

    def test_answers_to_peers_during_failed_calls_show_that_the_store_was_there(self):
        self.outages.record_answer(0.0)
        self.clock.advance_s(OUTAGE_S)
        self.outages.record_answer(MIN_EXPIRY_OUTAGE_S / 2)
        self.outages.record_recovery()
        self.assertFalse(self.outages.is_in_grace)

    def test_the_grace_period_of_a_peers_outage_ends_as_it_does_there(self):
        # Guards against delays that add up on the way from instance to instance.
        self.outages.record_peer_outage(OutageAge(OUTAGE_S + 1.0, 1.0))
        # Another peer detected the same outage later.
        self.clock.advance_s(0.5)
        self.outages.record_peer_outage(OutageAge(OUTAGE_S + 0.5, 0.5))
        self.assertTrue(self.outages.is_in_grace)
        self.clock.advance_s(EXPIRED_ENTRY_GRACE_S - 1.5)
        self.assertFalse(self.outages.is_in_grace)

    def test_a_later_outage_of_a_peer_begins_another_grace_period(self):
        self.outages.record_peer_outage(OutageAge(OUTAGE_S, 0.0))
        self.clock.advance_s(EXPIRED_ENTRY_GRACE_S + OUTAGE_S)
        self.outages.record_peer_outage(OutageAge(OUTAGE_S, 0.0))
        self.assertTrue(self.outages.is_in_grace)

    def test_a_peers_outage_that_others_did_not_have_is_local(self):
        # Guards against the same for an instance that is cut from the store.
        self.outages.record_peer_outage(OutageAge(OUTAGE_S, 0.5))
        self.assertTrue(self.outages.is_local([peer_available_for(60)]))
        self.assertFalse(self.outages.is_local([peer_available_for(int(OUTAGE_S))]))

    def test_an_outage_reported_by_an_earlier_release_may_be_local_too(self):
        self.outages.record_peer_outage(UNKNOWN_OUTAGE_AGE)
        self.assertTrue(self.outages.is_in_grace)
        self.assertFalse(self.outages.is_local([peer_available_for(60)]))
        self.clock.advance_s(0.5)
        self.outages.record_peer_outage(UNKNOWN_OUTAGE_AGE)
        self.assertTrue(self.outages.is_local([peer_available_for(60)]))

    def test_the_report_of_a_peers_outage_keeps_its_times(self):
        self.outages.record_peer_outage(OutageAge(OUTAGE_S, 0.5))
        self.clock.advance_s(0.25)
        age = OutageAge(OUTAGE_S + 0.25, 0.75)
        update = FleetUpdate((), at(1), True, outage_age=self.outages.age)
        self.assertEqual(decode_update(encode_update(update)).outage_age, age)

    def test_an_outage_does_not_end_the_grace_period_of_a_restore(self):
        self.outages.record_restore()
        self.assertEqual(self.outages.age, OutageAge(0.0, 0.0))
        self.clock.advance_s(0.5)
        self.assertTrue(self.outages.is_in_grace)
        self.assertFalse(self.outages.is_local([peer_available_for(60)]))


class FleetOutagesTest(unittest.TestCase):
    def setUp(self):
        self.fleet = GatewayFleet(4, server_count=2)
        self.addCleanup(self.fleet.stop)
        with eventlet.Timeout(SETTLE_LIMIT_S):
            # At first each instance reads the store.
            while self.fleet.source.waiting_count != READER_COUNT:
                eventlet.sleep(0.05)

    def listed_counts(self):
        """Return for each instance how many servers it has."""
        return [m.instance._table.server_count for m in self.fleet.members]

    def test_after_cut_watches_a_removal_is_active_everywhere_in_time(self):
        # Guards against servers that are used after they left, since one instance took
        # a cut watch for an outage and told the others.
        self.fleet.source.cut_watches()
        eventlet.sleep(1.0)
        self.fleet.source.put(ServerRemoved(f"{READS}-0"))
        eventlet.sleep(PROPAGATION_LIMIT_S)
        self.assertEqual(self.listed_counts(), [3] * 4)

    def test_after_an_outage_all_instances_keep_the_servers_that_lapsed(self):
        # Guards against the loss of servers that write again within two seconds, since
        # one instance took the outage for a local one.
        eventlet.sleep(OUTAGE_S)
        self.fleet.source.failure = SourceUnavailable("down")
        self.fleet.source.cut_watches()
        eventlet.sleep(OUTAGE_S)
        returned_at_s = monotonic_s()
        self.fleet.source.failure = None
        self.fleet.source.put(ServerRemoved(f"{READS}-0"))
        while True:
            eventlet.sleep(0.1)
            counts = self.listed_counts()
            if monotonic_s() - returned_at_s >= EXPIRED_ENTRY_GRACE_S:
                break
            logs = [member.log[-LOG_END_BYTES:] for member in self.fleet.members]
            self.assertEqual(counts, [4] * 4, logs)
