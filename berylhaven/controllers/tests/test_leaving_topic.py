"""Tests of the dissemination of leaving backend servers."""

import unittest
from types import SimpleNamespace

from absl import logging

from berylhaven.clock import ManualClock
from berylhaven.controllers._leaving_topic import LeavingTopic
from berylhaven.controllers.tests._fake_fleet import FakeFleet
from berylhaven.discovery import ServerDirectory
from berylhaven.exchange import UrgentSignal
from berylhaven.membership import PeerTable

FLEET = 20
JOIN_ROUNDS = 20
HEAL_ROUNDS = 60


class LeavingTopicTest(unittest.TestCase):
    """All instances soon learn that a backend server is leaving."""

    def setUp(self):
        logging.set_verbosity(logging.ERROR)
        self.clock = ManualClock()
        self.clock.__enter__()
        self.addCleanup(self.clock.__exit__, None, None, None)
        self.fleet = FakeFleet(self.clock, FLEET, {"leaving": LeavingTopic})
        self.fleet.run(JOIN_ROUNDS)

    def mark_leaving(self, number, incarnation):
        context = self.fleet.nodes[f"10.0.0.{number}:1"].context
        context.server_directory.mark_leaving("s:1", incarnation, self.clock())
        context.urgent_signal.set()

    def known_count(self, incarnation):
        directories = [n.context.server_directory for n in self.fleet.nodes.values()]
        return sum(
            any(mark.incarnation == incarnation for mark in directory.leaving_marks())
            for directory in directories
        )

    def test_all_instances_learn_it_within_two_rounds(self):
        self.mark_leaving(3, incarnation=1)
        self.fleet.run(2)
        self.assertEqual(self.known_count(1), FLEET)

    def test_a_partition_learns_it_once_it_heals(self):
        addresses = list(self.fleet.nodes)
        left, right = addresses[:10], addresses[10:]
        self.fleet.cut_between(left, right)
        self.mark_leaving(3, incarnation=1)
        self.fleet.run(120)
        self.assertEqual(self.known_count(1), len(left))
        self.fleet.cuts.clear()
        self.fleet.run(HEAL_ROUNDS)
        self.assertEqual(self.known_count(1), FLEET)

    def test_rows_keep_to_the_byte_limit_and_are_sent_in_turn(self):
        directory = ServerDirectory()
        for number in range(50):
            directory.mark_leaving(f"s:{number}", 1, 0.0)
        context = SimpleNamespace(
            server_directory=directory,
            peer_table=PeerTable("own:1"),
            urgent_signal=UrgentSignal(),
        )
        topic = LeavingTopic(context)
        sent_addresses = set()
        for _ in range(100):
            rows = topic.outgoing("p:1", 0.0, limit_bytes=60)
            self.assertLessEqual(len(str(rows)), 60)
            sent_addresses.update(address for address, _ in rows)
        self.assertEqual(len(sent_addresses), 50)

    def test_a_malformed_payload_is_rejected(self):
        topic = LeavingTopic(next(iter(self.fleet.nodes.values())).context)
        for payload in ({}, [1], [["a"]], [["a", "1"]], [[1, 1]], [["a", True]]):
            with self.assertRaises(ValueError):
                topic.incoming(payload, "p:1", 0.0)
