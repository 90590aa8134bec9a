"""Exchange controllers connected by a fake client that can fail on each link."""

from random import Random
from types import SimpleNamespace
from unittest import mock

import eventlet

from berylhaven.blackboard import Blackboard
from berylhaven.controllers._exchange_controller import ExchangeController
from berylhaven.controllers._pause_controller import PauseController
from berylhaven.discovery import ServerDirectory
from berylhaven.exchange import (
    ExchangeMessage,
    PeerTraffic,
    PeerUnreachable,
    UrgentSignal,
)
from berylhaven.membership import Identity, LocalInstance, PeerState, PeerTable

TOPIC_CLASSES = "berylhaven.controllers._exchange_controller.topic_classes"


class FakeNode:
    """The exchange of one instance; it is also the fake peer client."""

    def __init__(self, fleet, number, incarnation=1, topics=None):
        self.fleet = fleet
        self.address = f"10.0.0.{number}:1"
        instance = SimpleNamespace(
            peers_address=self.address,
            callers_address=f"10.0.0.{number}:2",
            data_centre="abc"[number % 3],
            firm="kivu",
            seed_peers=("10.0.0.0:1", "10.0.0.1:1"),
        )
        nonce = f"{1000 * number + incarnation:08x}"
        identity = Identity(self.address, incarnation, nonce)
        blackboard = Blackboard()
        self.local = LocalInstance(instance, identity, blackboard, lambda: 0.5)
        self.table = PeerTable(self.address)
        self.context = SimpleNamespace(
            settings=SimpleNamespace(instance=instance),
            blackboard=blackboard,
            local_instance=self.local,
            peer_table=self.table,
            peer_client=self,
            peer_traffic=PeerTraffic(),
            urgent_signal=UrgentSignal(),
            server_directory=ServerDirectory(),
            random=Random(number),
        )
        with mock.patch(TOPIC_CLASSES, return_value=topics or {}):
            self.controller = ExchangeController(self.context)
        self.pause_controller = PauseController(self.context)

    def request(self, method, address, path, body):
        """Deliver a message as the peer client would, and count its bytes."""
        self.context.peer_traffic.record_sent(len(body))
        peer = self.fleet.nodes.get(address)
        if peer is None or self.fleet.is_cut(self.address, address):
            raise PeerUnreachable(address)
        self.fleet.message_sizes.append(len(body))
        peer.context.peer_traffic.record_received(len(body))
        answer = peer.controller.receive(ExchangeMessage.from_bytes(body)).to_bytes()
        if self.fleet.is_cut(address, self.address):
            raise PeerUnreachable(address)
        self.context.peer_traffic.record_received(len(answer))
        return answer

    def states(self, now_s):
        return {
            peer.announcement.peers_address: peer.state(now_s)
            for peer in self.table.peers()
        }


class FakeFleet:
    """Nodes by address; a cut drops the messages from one node to another, one way."""

    def __init__(self, clock, count, topics=None):
        self.topics = topics
        self.clock = clock
        self.cuts = set()
        self.stopped = set()
        self.message_sizes = []
        self.nodes = {}
        for number in range(count):
            self.start(number)

    def start(self, number, incarnation=1):
        node = FakeNode(self, number, incarnation, self.topics)
        self.nodes[node.address] = node
        return node

    def is_cut(self, source, target):
        return (source, target) in self.cuts or target in self.stopped

    def cut_between(self, left, right):
        for a in left:
            for b in right:
                self.cuts |= {(a, b), (b, a)}

    def run(self, rounds):
        # Timers that are due at the same time run in no fixed order; direct calls do.
        with mock.patch("eventlet.spawn", side_effect=lambda call, *args: call(*args)):
            self._run(rounds)

    def _run(self, rounds):
        for _ in range(rounds):
            for node in list(self.nodes.values()):
                if node.address not in self.stopped:
                    node.pause_controller.step()
                    node.controller._do_round()
            eventlet.sleep(0)
            self._send_urgent_updates()
            self.clock.advance_s(1.0)

    def _send_urgent_updates(self):
        for node in list(self.nodes.values()):
            if node.address not in self.stopped and node.context.urgent_signal.wait(0):
                node.controller._send_urgent_update()
        eventlet.sleep(0)

    def all_peers_in_state(self, state):
        """Return whether all nodes see all other nodes in a state."""
        now_s = self.clock()
        for node in self.nodes.values():
            states = node.states(now_s)
            for address in self.nodes:
                if address != node.address and states.get(address) is not state:
                    return False
        return True

    def all_peers_live(self):
        return self.all_peers_in_state(PeerState.LIVE)
