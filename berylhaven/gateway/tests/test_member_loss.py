"""Tests of how the other instances forget one that is off."""

import unittest

from berylhaven.clock import ManualClock
from berylhaven.gateway.members._member_gossip import GOSSIP_INTERVAL_S
from berylhaven.gateway.tests._gossip_fleet import GossipFleet

# Callers must not be sent to an instance that has been off for longer.
NAMED_LIMIT_S = 6.0


class MemberLossTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.clock.__enter__()
        self.addCleanup(self.clock.__exit__, None, None, None)

    def fleet(self, count):
        fleet = GossipFleet(self.clock, count)
        fleet.run_for(10.0)
        return fleet

    def assert_not_named_for(self, fleet, address, duration_s):
        for _ in range(round(duration_s / GOSSIP_INTERVAL_S)):
            self.assertEqual(fleet.naming(address), [])
            fleet.run_for(GOSSIP_INTERVAL_S)

    def test_an_instance_without_power_is_not_revived_by_rows_of_its_peers(self):
        fleet = self.fleet(20)
        fleet.stop("b5:peers")
        fleet.run_for(NAMED_LIMIT_S)
        self.assert_not_named_for(fleet, "b5:peers", 80.0)

    def test_instances_find_each_other_again_while_all_seeds_are_off(self):
        fleet = self.fleet(5)
        for address in ("a0:peers", "b0:peers", "c0:peers", "b1:peers"):
            fleet.stop(address)
        fleet.run_for(NAMED_LIMIT_S)
        fleet.start("b1:peers", incarnation=2)
        fleet.run_for(NAMED_LIMIT_S)
        self.assertEqual(fleet.naming("b1:peers"), ["a1:peers", "b1:peers"])
        self.assertEqual(fleet.naming("a1:peers"), ["a1:peers", "b1:peers"])

    def test_most_instances_without_power_are_not_named_by_the_others(self):
        fleet = self.fleet(20)
        stopped = list(fleet.gossips)[5:]
        for address in stopped:
            fleet.stop(address)
        fleet.run_for(NAMED_LIMIT_S)
        for address in stopped:
            with self.subTest(address):
                self.assertEqual(fleet.naming(address), [])

    def test_an_instance_without_power_is_not_revived_by_messages_read_late(self):
        fleet = self.fleet(20)
        frozen = ["a1:peers", "b1:peers", "b2:peers"]
        for address in frozen:
            fleet.freeze(address)
        fleet.run_for(3.0)
        fleet.stop("b5:peers")
        fleet.run_for(NAMED_LIMIT_S)
        for address in frozen:
            fleet.wake(address)
        self.assert_not_named_for(fleet, "b5:peers", 10.0)

    def test_a_restart_after_the_wall_clock_went_back_is_soon_named_by_all(self):
        fleet = self.fleet(20)
        fleet.stop("b5:peers")
        fleet.run_for(NAMED_LIMIT_S)
        fleet.start("b5:peers", incarnation=0)
        fleet.run_for(NAMED_LIMIT_S)
        self.assertEqual(len(fleet.naming("b5:peers")), 20)
