"""Tests that a malformed row of another instance costs only itself."""

import unittest
import zlib

import orjson
from hypothesis import given

from berylhaven.clock import ManualClock, monotonic_s
from berylhaven.gateway.members._evidence_codec import encode_observations
from berylhaven.gateway.members._member import RUN_LIMIT, Member
from berylhaven.gateway.members._member_codec import (
    AGE_LIMIT,
    decode_members,
    encode_members,
)
from berylhaven.gateway.tests._gossip_fleet import GossipFleet
from berylhaven.gateway.tests.test_peer_input import JSON_VALUES
from berylhaven.quarantine import Strike

OWN, PEER = "a0:peers", "b0:peers"
STRIKE = ["f" * 32, "run", "id", 7, 1]


def message(*parts):
    """Return a message of parts."""
    return b"".join(zlib.compress(orjson.dumps(part)) for part in parts)


class SkippedRowsTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.clock.__enter__()
        self.addCleanup(self.clock.__exit__, None, None, None)
        self.fleet = GossipFleet(self.clock, 2)
        self.gossip = self.fleet.gossips[OWN]

    def row(self, address, **fields):
        return Member(address, "callers", "a", 2, 9, True, **fields).to_row()

    def test_a_malformed_row_does_not_hide_the_others_of_its_message(self):
        # The whole message was refused, and its sender counted as unreachable.
        odd = self.row("c")
        for row, age in (
            (odd[:3], 1),
            ([*odd, 1, 2], 1),
            ([7, *odd[1:]], 1),
            ([*odd[:3], 2**64 - 1, *odd[4:]], 1),
            ([*odd[:4], -1, *odd[5:]], 1),
            (7, 1),
            (None, None),
            (odd, "1"),
            (odd, AGE_LIMIT),
        ):
            rows = [self.row(PEER), row, self.row("d")]
            with self.subTest(row=row, age=age):
                self.gossip.answer(message(rows, [0, age, 0], [None]))
                live = {m.peers_address for m in self.gossip._members.live(0.0)}
                self.assertLessEqual({PEER, "d"}, live)
                self.assertNotIn("c", live)
                self.gossip._members._others.clear()

    @given(JSON_VALUES, JSON_VALUES)
    def test_any_row_leaves_the_other_rows(self, row, age):
        body = message([self.row(PEER), row, self.row("d")], [0, age, 0], [None])
        addresses = [member.peers_address for member in decode_members(body).members]
        self.assertEqual([addresses[0], addresses[-1]], [PEER, "d"])

    def test_a_malformed_digest_costs_only_itself(self):
        self.gossip.answer(message([self.row(PEER)], [0], ["odd"]))
        self.assertEqual(self.gossip._members.addresses(), [PEER])

    def test_no_row_makes_the_own_message_impossible(self):
        # The own incarnation follows the one that others have, and grew beyond what a
        # message can hold: each later exchange ended with an error.
        own = self.row(OWN)
        for incarnation in (RUN_LIMIT - 1, RUN_LIMIT, 2**64 - 1):
            rows = [self.row(PEER), [*own[:3], incarnation, *own[4:]]]
            self.gossip.answer(message(rows, [0, 0]))
            self.gossip.step()
            encode_members([self.gossip._members.own], monotonic_s())

    def test_a_malformed_row_of_evidence_does_not_hide_the_others(self):
        # The two instances exchanged all their evidence again and again, in vain.
        spread, evidence = self.fleet.spreads[OWN], self.fleet.evidence[OWN]
        for row in (7, [], STRIKE[:4], [*STRIKE[:3], 2**64 - 1, 1], ["short", 1]):
            with self.subTest(row):
                spread.merge(message([row, STRIKE]))
                (found,) = evidence.observations()
                self.assertEqual(found[0], Strike(*STRIKE[:4]))
        encode_observations(evidence.observations(), monotonic_s())
