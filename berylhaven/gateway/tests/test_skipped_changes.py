"""Tests that a change of an update that cannot be decoded costs only itself."""

import unittest

import eventlet
import orjson
from hypothesis import given
from hypothesis import strategies as st

from berylhaven.gateway import FleetUpdate, HistoryGone
from berylhaven.gateway.store._fleet_follower import REPAIR_INTERVAL_S
from berylhaven.gateway.store._update_codec import (
    CHANGE_TYPES,
    decode_update,
    encode_update,
)
from berylhaven.gateway.tests import test_fleet_follower
from berylhaven.gateway.tests._gateway_path import at
from berylhaven.gateway.tests.test_fleet_follower import entry
from berylhaven.gateway.tests.test_peer_input import JSON_VALUES

MALFORMED = ["server", {"server_id": "b", "slot_count": "many"}]
# A kind of a later release.
UNKNOWN = ["paused", {"server_id": "b"}]


def update(row, *entries, revision=None):
    """Return an update of a peer with one row among its changes."""
    document = orjson.loads(encode_update(FleetUpdate(entries, revision or at(2))))
    document["changes"].insert(0, row)
    return decode_update(orjson.dumps(document), "peer:1")


class SkippedChangesTest(unittest.TestCase):
    def setUp(self):
        test_fleet_follower.FleetFollowerTest.setUp(self)
        self.source.snapshot.append(entry("c"))
        self.source.number = 2
        self.catch_up = eventlet.spawn(self.follower.run_catch_up)
        self.addCleanup(self.catch_up.kill)

    servers = test_fleet_follower.FleetFollowerTest.servers

    def follow(self, row):
        """Apply an update with a row and a new server."""
        self.source.watch = lambda revision, wait_s: update(row, entry("d"))
        self.follower.step()

    def advance_s(self, duration_s):
        for _ in range(round(duration_s / 0.5)):
            self.clock.advance_s(0.5)

    def test_the_other_changes_of_an_update_are_applied(self):
        # The whole update was refused, and the store was read in its place.
        for row in (MALFORMED, UNKNOWN, ["removed", 7], [[], {}], ["server"], None):
            with self.subTest(row):
                self.assertEqual(update(row, entry("d")).changes, (entry("d"),))
                self.assertEqual(len(update(row).skipped), 1)

    @given(JSON_VALUES | st.tuples(st.sampled_from(sorted(CHANGE_TYPES)), JSON_VALUES))
    def test_any_row_leaves_the_other_changes(self, row):
        self.assertEqual(update(row, entry("d")).changes[-1:], (entry("d"),))

    def test_a_snapshot_replaces_a_skipped_change_of_a_known_kind(self):
        # Its revision counts as applied, so that no later update repeats it.
        self.follow(MALFORMED)
        self.assertEqual(self.servers(), ["a", "b", "d"])
        with self.assertRaises(HistoryGone):
            self.log.after(at(1))
        self.advance_s(REPAIR_INTERVAL_S)
        self.assertEqual(self.servers(), ["a", "b", "c"])
        self.advance_s(3 * REPAIR_INTERVAL_S)
        self.assertEqual(len(self.source.stale_allowed), 2)

    def test_a_change_of_an_unknown_kind_causes_no_reads(self):
        # The store holds nothing that this release could read in its place.
        self.follow(UNKNOWN)
        self.advance_s(3 * REPAIR_INTERVAL_S)
        self.assertEqual(self.servers(), ["a", "b", "d"])
        self.assertEqual(len(self.source.stale_allowed), 1)
        self.assertEqual(self.log.after(at(1)).changes, (entry("d"),))

    def test_an_incomplete_snapshot_removes_no_server(self):
        # The server of the skipped change would be taken as no longer listed.
        self.follow(MALFORMED)
        self.source.read = lambda allow_stale: update(MALFORMED, entry("a"))
        self.advance_s(REPAIR_INTERVAL_S)
        self.assertEqual(self.servers(), ["a", "b", "d"])
        del self.source.read
        self.advance_s(2 * REPAIR_INTERVAL_S)
        self.assertEqual(self.servers(), ["a", "b", "c"])
