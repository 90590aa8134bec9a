"""Tests that an answer without end is a failure of the peer that sends it."""

import random
import tracemalloc
import unittest
import unittest.mock

import eventlet

from berylhaven.clock import monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway.members._evidence_spread import EvidenceSpread
from berylhaven.gateway.members._member import Member
from berylhaven.gateway.members._member_gossip import MemberGossip
from berylhaven.gateway.members._members import MemberTable
from berylhaven.gateway.store._relayed_source import UPDATE_LIMIT_BYTES, RelayedSource
from berylhaven.gateway.store._update_log import UpdateLog
from berylhaven.gateway.tests._gateway_path import FakeSource, at
from berylhaven.http1.tests._endless_sender import CHUNKED, EndlessSender
from berylhaven.quarantine import CrashEvidence


class EndlessPeersTest(unittest.TestCase):
    def setUp(self):
        chunk = b"10000\r\n" + bytes(65_536) + b"\r\n"
        sender = EndlessSender([CHUNKED], chunk)
        self.addCleanup(sender.close)
        self.address = sender.address
        self.members = MemberTable(Member("own", "own", "here", 1, 1, False))
        peer = Member(self.address, self.address, "here", 1, 1, True)
        self.members.merge(peer, monotonic_s())
        self.event_log = unittest.mock.create_autospec(EventLog, instance=True)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    def assert_held_within(self, limit_bytes):
        self.assertLess(tracemalloc.get_traced_memory()[1], limit_bytes)

    def test_a_relay_is_unavailable_and_named_in_the_log(self):
        source = FakeSource()
        relayed = RelayedSource(
            source, self.members, UpdateLog(), GatewayMetrics(), self.event_log
        )
        with eventlet.Timeout(10.0):
            # The store answers in place of the relay.
            relayed.watch(at(1), 0.0)
        self.assertEqual(source.call_count, 1)
        self.assert_held_within(3 * UPDATE_LIMIT_BYTES)
        fields = self.event_log.write_failure.call_args.kwargs
        self.assertEqual(fields["peer"], self.address)
        self.assertIn("exceeds", fields["reason"])

    def test_a_member_is_unreachable_and_named_in_the_log(self):
        gossip = MemberGossip(self.members, (), random.Random(1), self.event_log)
        with eventlet.Timeout(10.0):
            gossip.step()
        self.assertEqual(self.members.live(monotonic_s()), [])
        self.assert_held_within(3_000_000)
        fields = self.event_log.write.call_args_list[0].kwargs
        self.assertEqual(fields["peer"], self.address)
        self.assertIn("exceeds", fields["reason"])

    def test_evidence_is_not_sent_and_the_peer_is_named_in_the_log(self):
        spread = EvidenceSpread(
            CrashEvidence(), self.members, random.Random(1), self.event_log
        )
        with eventlet.Timeout(10.0):
            spread._exchange_all(self.address)
        self.assert_held_within(3_000_000)
        fields = self.event_log.write.call_args.kwargs
        self.assertEqual(fields["peer"], self.address)
        self.assertIn("exceeds", fields["reason"])
