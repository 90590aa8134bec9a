"""Tests of merging announcements."""

import dataclasses
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.membership import Announcement, PeerState, PeerTable


def announcement(address="10.0.0.1:1", incarnation=1, sequence=1, **changes):
    base = Announcement(
        peers_address=address,
        callers_address="10.0.0.1:2",
        data_centre="a",
        firm="kivu",
        incarnation=incarnation,
        nonce="00",
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
    """The newest announcement wins, in whatever order they come."""

    def test_silence_makes_a_peer_suspect_then_gone(self):
        table = PeerTable("own:1")
        table.merge(announcement(), now_s=0.0)
        peer = table.peers()[0]
        self.assertIs(peer.state(1.0), PeerState.LIVE)
        self.assertIs(peer.state(6.0), PeerState.SUSPECT)
        self.assertIs(peer.state(31.0), PeerState.GONE)

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
