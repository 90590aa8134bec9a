"""Tests of merging announcements into the peer table."""

import dataclasses
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.membership import (
    ANNOUNCEMENT_AGE_LIMIT_S,
    FORGET_AFTER_S,
    GONE_AFTER_S,
    HEARTBEAT_TIMEOUT_S,
    PEER_LIMIT,
    SUSPECT_AFTER_S,
    Announcement,
    MergeResult,
    PeerState,
    PeerTable,
)


def announcement(address="10.0.0.1:1", incarnation=1, sequence=1, **changes):
    base = Announcement(
        peers_address=address,
        callers_address="10.0.0.1:2",
        data_centre="a",
        firm="kivu",
        incarnation=incarnation,
        nonce=f"{incarnation:08x}",
        sequence=sequence,
        is_ready=True,
        is_leaving=False,
        load_ratio=0.0,
        uptime_s=0,
        catalogue_revision=0,
        catalogue_digest="",
    )
    return dataclasses.replace(base, **changes)


class PeerTableTest(unittest.TestCase):
    """The newest announcement wins, in whatever order they are received."""

    def setUp(self):
        self.table = PeerTable("own:1")
        self.table.merge(announcement("p:1"), now_s=0.0)

    def state(self, now_s):
        return self.table.peer("p:1").state(now_s)

    def test_a_peer_without_announcements_becomes_suspect_then_gone(self):
        self.assertIs(self.state(HEARTBEAT_TIMEOUT_S - 0.1), PeerState.LIVE)
        self.assertIs(self.state(HEARTBEAT_TIMEOUT_S), PeerState.SUSPECT)
        self.assertIs(
            self.state(HEARTBEAT_TIMEOUT_S + GONE_AFTER_S - 0.1), PeerState.SUSPECT
        )
        self.assertIs(self.state(HEARTBEAT_TIMEOUT_S + GONE_AFTER_S), PeerState.GONE)

    def test_a_failed_contact_counts_only_after_a_time_without_announcements(self):
        self.table.record_suspicion("p:1", incarnation=1, at_s=1.0)
        self.assertIs(self.state(SUSPECT_AFTER_S - 0.1), PeerState.LIVE)
        self.assertIs(self.state(SUSPECT_AFTER_S), PeerState.SUSPECT)
        self.assertIs(self.state(SUSPECT_AFTER_S + GONE_AFTER_S), PeerState.GONE)

    def test_further_failures_do_not_delay_the_gone_state(self):
        for at_s in (1.0, 10.0, 20.0):
            self.table.record_suspicion("p:1", incarnation=1, at_s=at_s)
        self.assertIs(self.state(SUSPECT_AFTER_S + GONE_AFTER_S), PeerState.GONE)

    def test_a_later_announcement_ends_the_suspicion(self):
        self.table.record_suspicion("p:1", incarnation=1, at_s=1.0)
        self.table.merge(announcement("p:1", sequence=2), now_s=2.0)
        self.assertIs(self.state(10.0), PeerState.LIVE)

    def test_a_suspicion_of_an_earlier_run_does_not_affect_the_next(self):
        self.table.merge(announcement("p:1", incarnation=2), now_s=1.0)
        self.assertFalse(self.table.record_suspicion("p:1", incarnation=1, at_s=2.0))
        self.assertIs(self.state(30.0), PeerState.LIVE)

    def test_a_relayed_announcement_counts_from_when_it_was_made(self):
        self.table.record_suspicion("p:1", incarnation=1, at_s=9.0)
        late = announcement("p:1", sequence=2)
        self.table.merge(late, now_s=10.0, age_s=5.0)
        self.assertIs(self.state(9.0), PeerState.SUSPECT)

    def test_an_old_announcement_adds_no_peer(self):
        old = announcement("p:2")
        self.assertIs(
            self.table.merge(old, 100.0, age_s=ANNOUNCEMENT_AGE_LIMIT_S + 0.1),
            MergeResult.IGNORED,
        )
        self.assertIsNone(self.table.peer("p:2"))

    def test_a_pause_of_this_process_makes_no_peer_suspect(self):
        self.table.record_resume(now_s=500.0)
        self.assertIs(self.state(501.0), PeerState.LIVE)
        self.assertIs(self.state(500.0 + HEARTBEAT_TIMEOUT_S), PeerState.SUSPECT)

    def test_a_contact_that_failed_before_the_resume_does_not_count(self):
        self.table.record_suspicion("p:1", incarnation=1, at_s=5.0)
        self.table.record_resume(now_s=500.0)
        self.assertIs(self.state(500.0), PeerState.LIVE)

    def test_a_gone_peer_returns_by_a_newer_announcement_or_is_removed(self):
        gone_at_s = HEARTBEAT_TIMEOUT_S + GONE_AFTER_S
        back = self.table.merge(announcement("p:1", sequence=2), now_s=gone_at_s + 1)
        self.assertIs(back, MergeResult.CHANGED)
        self.assertIs(self.state(gone_at_s + 1), PeerState.LIVE)
        self.table.forget(2 * gone_at_s + FORGET_AFTER_S + 2)
        self.assertEqual(self.table.peers(), [])
        self.assertIsNone(self.table.peer_by_nonce("00000001"))

    def test_the_table_is_bounded_and_gone_peers_are_evicted(self):
        for number in range(2 * PEER_LIMIT):
            self.table.merge(announcement(f"q:{number}"), now_s=1.0)
        self.assertEqual(len(self.table.peers()), PEER_LIMIT)
        later_s = HEARTBEAT_TIMEOUT_S + GONE_AFTER_S + 2.0
        self.table.merge(announcement("new:1"), now_s=later_s)
        self.assertEqual(len(self.table.peers()), PEER_LIMIT)
        self.assertIsNotNone(self.table.peer("new:1"))

    def test_json_round_trip_and_refusal(self):
        original = announcement()
        self.assertEqual(Announcement.from_json(original.to_json()), original)
        with self.assertRaises(ValueError):
            Announcement.from_json({**original.to_json(), "sequence": "1"})

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.lists(st.tuples(st.integers(1, 3), st.integers(1, 5)), min_size=1))
    def test_the_newest_wins_in_any_order(self, versions):
        table = PeerTable("own:1")
        for incarnation, sequence in versions:
            table.merge(announcement("p:1", incarnation, sequence), now_s=0.0)
        kept = table.peers()[0].announcement
        self.assertEqual((kept.incarnation, kept.sequence), max(versions))
