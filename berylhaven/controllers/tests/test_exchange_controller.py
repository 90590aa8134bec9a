"""Tests of membership over the exchange, with faults drawn by Hypothesis."""

import unittest

from absl import logging
from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.clock import ManualClock
from berylhaven.controllers.tests._fake_fleet import FakeFleet
from berylhaven.exchange import EXCHANGE_BYTES_PER_S
from berylhaven.membership import PeerState

# Rounds of one second. A gone peer is tried in every eighth round of each node.
JOIN_ROUNDS = 20
HEAL_ROUNDS = 40
# Three seconds of silence, twenty of suspicion, and the time for doubts to spread.
GONE_ROUNDS = 45
FLEET = 6

CUTS = st.sets(st.tuples(st.integers(0, FLEET - 1), st.integers(0, FLEET - 1)))
ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["cut", "heal", "stop", "go", "restart"]),
        CUTS,
        st.integers(1, 20),
    ),
    max_size=5,
)


def address(number):
    return f"10.0.0.{number}:1"


class ExchangeControllerTest(unittest.TestCase):
    """What nodes come to know of one another."""

    def setUp(self):
        logging.set_verbosity(logging.ERROR)
        self.clock = ManualClock()
        self.clock.__enter__()
        self.addCleanup(self.clock.__exit__, None, None, None)

    def fleet(self, count=FLEET):
        fleet = FakeFleet(self.clock, count)
        fleet.run(JOIN_ROUNDS)
        self.assertTrue(fleet.all_peers_live())
        return fleet

    def test_a_dead_peer_becomes_gone_everywhere_and_stays_gone(self):
        fleet = self.fleet(12)
        dead = fleet.nodes.pop(address(5))
        fleet.run(GONE_ROUNDS)
        for _ in range(10):
            now_s = self.clock()
            for node in fleet.nodes.values():
                self.assertIs(node.states(now_s)[dead.address], PeerState.GONE)
            fleet.run(5)

    def test_nobody_is_taken_for_dead_while_all_is_well(self):
        fleet = self.fleet(20)
        for _ in range(12):
            fleet.run(5)
            self.assertTrue(fleet.all_peers_live())

    def test_one_way_loss_between_two_makes_nobody_gone(self):
        fleet = self.fleet()
        fleet.cuts.add((address(2), address(3)))
        for _ in range(20):
            fleet.run(5)
            for node in fleet.nodes.values():
                self.assertNotIn(PeerState.GONE, node.states(self.clock()).values())

    def test_both_sides_of_a_partition_part_and_heal(self):
        fleet = self.fleet()
        left = [address(n) for n in (0, 1, 2)]
        right = [address(n) for n in (3, 4, 5)]
        fleet.cut_between(left, right)
        fleet.run(400)
        now_s = self.clock()
        states = fleet.nodes[address(0)].states(now_s)
        self.assertEqual({states[a] for a in right}, {PeerState.GONE})
        self.assertEqual({states[a] for a in left[1:]}, {PeerState.LIVE})
        fleet.cuts.clear()
        messages = len(fleet.message_sizes)
        fleet.run(HEAL_ROUNDS)
        self.assertTrue(fleet.all_peers_live())
        # No storm: each node begins one exchange a round, and leaving is not news.
        self.assertLessEqual(len(fleet.message_sizes) - messages, FLEET * HEAL_ROUNDS)

    def test_a_paused_node_asks_before_it_judges(self):
        fleet = self.fleet()
        fleet.stopped.add(address(2))
        fleet.run(300)
        fleet.stopped.clear()
        paused = fleet.nodes[address(2)]
        paused.pause_controller.step()
        paused.controller._wake_after_pause()
        self.assertEqual(set(paused.states(self.clock()).values()), {PeerState.LIVE})
        fleet.run(HEAL_ROUNDS)
        self.assertTrue(fleet.all_peers_live())

    def test_a_restart_with_the_clock_gone_back_is_heard(self):
        fleet = FakeFleet(self.clock, 0)
        for number in range(4):
            fleet.start(number, incarnation=1000)
        fleet.run(JOIN_ROUNDS)
        again = fleet.start(3, incarnation=7)
        fleet.run(JOIN_ROUNDS)
        for number in range(3):
            peer = fleet.nodes[address(number)].table.peer(address(3))
            self.assertEqual(peer.announcement.nonce, again.local.identity.nonce)
            self.assertIs(peer.state(self.clock()), PeerState.LIVE)

    def test_leaving_is_known_everywhere_by_urgent_news(self):
        fleet = self.fleet(20)
        leaver = fleet.nodes[address(7)]
        leaver.local.is_leaving = True
        leaver.context.urgent_signal.set()
        fleet.run(2)
        for node in fleet.nodes.values():
            if node is not leaver:
                state = node.states(self.clock())[leaver.address]
                self.assertIs(state, PeerState.LEAVING)

    def test_a_node_keeps_to_its_byte_budget_whatever_the_fleet(self):
        fleet = self.fleet(40)
        before = {a: _bytes(node) for a, node in fleet.nodes.items()}
        seconds = 20
        fleet.run(seconds)
        for node_address, node in fleet.nodes.items():
            rate = (_bytes(node) - before[node_address]) / seconds
            self.assertLessEqual(rate, EXCHANGE_BYTES_PER_S)

    @settings(derandomize=True, max_examples=10, deadline=None)
    @given(ACTIONS)
    def test_views_converge_once_faults_end(self, actions):
        fleet = FakeFleet(self.clock, FLEET)
        incarnations = dict.fromkeys(range(FLEET), 1)
        for action, links, rounds in actions:
            numbers = {a for a, _ in links}
            if action == "cut":
                fleet.cuts |= {(address(a), address(b)) for a, b in links if a != b}
            elif action == "heal":
                fleet.cuts.clear()
            elif action == "stop":
                fleet.stopped |= {address(n) for n in numbers}
            elif action == "go":
                fleet.stopped.clear()
            else:
                for number in numbers:
                    incarnations[number] += 1
                    fleet.start(number, incarnations[number])
            fleet.run(rounds)
        fleet.cuts.clear()
        fleet.stopped.clear()
        fleet.run(2 * HEAL_ROUNDS)
        self.assertTrue(fleet.all_peers_live())
        for node in fleet.nodes.values():
            for peer in node.table.peers():
                run = fleet.nodes[peer.announcement.peers_address].local.identity
                self.assertEqual(peer.announcement.nonce, run.nonce)


def _bytes(node):
    traffic = node.context.peer_traffic
    return traffic.sent_bytes + traffic.received_bytes
