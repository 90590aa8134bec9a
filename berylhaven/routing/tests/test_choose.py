"""Tests of choosing a server by a registered policy."""

import unittest
from random import Random

from berylhaven.load import ServerLoad
from berylhaven.routing import RoutingRequest, choose, routing_policies


def request(excluded=frozenset()):
    return RoutingRequest(
        now_s=10.0,
        deadline_s=11.0,
        data_centre="a",
        random=Random(1),
        excluded=excluded,
    )


class ChooseTest(unittest.TestCase):
    """Every policy chooses only among the allowed candidates."""

    def setUp(self):
        self.servers = [ServerLoad(f"10.0.0.{i}:80", "a", 4) for i in range(5)]

    def test_policies_choose_a_candidate_that_is_not_excluded(self):
        excluded = frozenset(server.address for server in self.servers[:4])
        for name in routing_policies():
            with self.subTest(policy=name):
                decision = choose(name, request(excluded), self.servers)
                self.assertIs(decision.server, self.servers[4])

    def test_without_candidates_there_is_no_server(self):
        for name in routing_policies():
            with self.subTest(policy=name):
                self.assertIsNone(choose(name, request(), []).server)
