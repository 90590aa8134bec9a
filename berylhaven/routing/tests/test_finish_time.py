"""Tests of the guarantees of routing policies, mainly of finish_time."""

import unittest
from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.load.tests._records import SERVICE, answer, report, table_of
from berylhaven.routing import RoutingRequest, choose, routing_policies

NOW_S = 100.0


def request(seed=1, remaining_s=1.0, now_s=NOW_S, excluded=frozenset()):
    return RoutingRequest(now_s, now_s + remaining_s, "a", Random(seed), excluded)


def fail(server, times=3, at_s=NOW_S):
    for _ in range(times):
        server.call_started()
        server.call_failed(at_s, report(0, at_s=at_s))


@st.composite
def tables(draw):
    """Draw a table of servers in any state that calls and reports can lead to."""
    table = table_of(draw(st.integers(1, 12)), data_centres="abc")
    for server in table.candidates(SERVICE):
        at_s = NOW_S - draw(st.floats(0, 50))
        for _ in range(draw(st.integers(0, 3))):
            answer(server, draw(st.floats(0.0001, 1)), at_s, draw(st.integers(0, 50)))
        server.own_in_flight = draw(st.integers(0, 10))
        if draw(st.booleans()):
            fail(server, draw(st.integers(1, 6)), at_s)
        if draw(st.integers(0, 3)) == 0:
            server.record_report(report(0, at_s=at_s, is_leaving=True))
    return table


class AnyPolicyTest(unittest.TestCase):
    """Guarantees of every policy."""

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(tables(), st.sampled_from(sorted(routing_policies())), st.data())
    def test_neither_excluded_nor_leaving_servers_are_chosen(self, table, name, data):
        servers = table.candidates(SERVICE)
        addresses = [server.address for server in servers]
        excluded = frozenset(data.draw(st.sets(st.sampled_from(addresses))))
        routing_request = request(seed=data.draw(st.integers(0, 99)), excluded=excluded)
        decision = choose(name, routing_request, servers)
        allowed = [
            server
            for server in servers
            if server.address not in excluded and not server.is_leaving
        ]
        if not allowed:
            self.assertIsNone(decision.server)
        if decision.server is not None:
            self.assertIn(decision.server, allowed)
            age_s = decision.server.report_age_s(NOW_S)
            self.assertEqual(decision.report_age_s, age_s)


class FinishTimeTest(unittest.TestCase):
    """Guarantees of the finish_time policy."""

    def setUp(self):
        self.table = table_of(10)
        self.servers = self.table.candidates(SERVICE)
        for turn in range(20):
            for server in self.servers:
                answer(server, 0.005, NOW_S - 1 + turn * 0.05, 2)

    def chosen(self, count=400, **options):
        routing_request = (request(seed=seed, **options) for seed in range(count))
        return Counter(
            decision.server.address if decision.server else None
            for decision in (
                choose("finish_time", r, self.servers) for r in routing_request
            )
        )

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(tables(), st.integers(0, 99))
    def test_some_server_is_chosen_while_there_is_time(self, table, seed):
        servers = table.candidates(SERVICE)
        decision = choose("finish_time", request(seed, 3_600.0), servers)
        staying = any(not server.is_leaving for server in servers)
        self.assertEqual(decision.server is not None, staying)

    def test_an_ejected_server_gets_no_call(self):
        for server in self.servers[:3]:
            fail(server)
        # The others are so loaded that a failure would be the faster answer.
        for server in self.servers[3:]:
            server.own_in_flight = 400
        chosen = self.chosen(remaining_s=60.0)
        for server in self.servers[:3]:
            self.assertEqual(chosen[server.address], 0)

    def test_with_most_servers_ejected_all_are_used(self):
        for server in self.servers[:8]:
            fail(server)
        for server in self.servers[8:]:
            server.own_in_flight = 400
        chosen = self.chosen()
        for server in self.servers[:8]:
            self.assertGreater(chosen[server.address], 0)
        self.assertNotIn(None, chosen)

    def test_with_all_servers_ejected_all_are_used(self):
        for server in self.servers:
            fail(server)
        self.assertEqual(len(self.chosen()), 10)

    def test_one_old_report_of_an_idle_server_draws_no_herd(self):
        self.servers = table_of(17).candidates(SERVICE)
        for server in self.servers:
            answer(server, 0.005, NOW_S - 0.01, 2)
        idle = self.servers[0]
        idle.record_report(report(0, at_s=NOW_S))
        self.assertLess(self.chosen(now_s=NOW_S)[idle.address], 400 * 0.6)
        self.assertLess(self.chosen(now_s=NOW_S + 1)[idle.address], 400 * 0.15)

    def test_a_call_that_no_server_can_finish_in_time_is_refused(self):
        for server in self.servers:
            answer(server, 0.005, NOW_S, running=4, queued=200)
        self.assertEqual(self.chosen(remaining_s=0.02), {None: 400})
        self.assertNotIn(None, self.chosen(remaining_s=2.0))

    def test_one_server_that_may_be_in_time_is_found(self):
        for server in self.servers[1:]:
            answer(server, 0.005, NOW_S, running=4, queued=200)
        answer(self.servers[0], 0.005, NOW_S, running=0)
        self.assertEqual(self.chosen(remaining_s=0.02), {self.servers[0].address: 400})

    def test_no_call_is_refused_because_of_old_reports(self):
        for server in self.servers:
            answer(server, 0.005, NOW_S, running=4, queued=200)
        for age_s in (0.5, 2.0):
            chosen = self.chosen(remaining_s=0.02, now_s=NOW_S + age_s)
            self.assertNotIn(None, chosen)

    def test_a_service_that_was_slow_is_tried_again(self):
        self.servers = table_of(10).candidates(SERVICE)
        for server in self.servers:
            answer(server, 0.5, NOW_S, running=1)
        self.assertEqual(self.chosen(remaining_s=0.1), {None: 400})
        self.assertNotIn(None, self.chosen(remaining_s=0.1, now_s=NOW_S + 1.5))

    def test_local_servers_are_preferred_only_while_they_are_better(self):
        table = table_of(6, data_centres="ab")
        servers = table.candidates(SERVICE)
        for turn in range(50):
            for server in servers:
                duration_s = 0.005 if server.data_centre == "a" else 0.007
                answer(server, duration_s, NOW_S - 1 + turn * 0.02, 1)
        self.servers = servers
        local = {s.address for s in servers if s.data_centre == "a"}
        chosen = self.chosen()
        self.assertGreater(sum(chosen[address] for address in local), 380)
        for server in servers:
            if server.data_centre == "a":
                answer(server, 0.005, NOW_S, running=4, queued=8)
        chosen = self.chosen()
        self.assertLess(sum(chosen[address] for address in local), 20)
