"""Instances that gossip with one another without sockets, on a manual clock."""

import random
import types

import eventlet
import urllib3

from berylhaven.clock import ManualClock, monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway.members._evidence_spread import (
    EVIDENCE_PATH,
    EVIDENCE_QUERY,
    EvidenceSpread,
)
from berylhaven.gateway.members._member import Member
from berylhaven.gateway.members._member_gossip import (
    GOSSIP_INTERVAL_S,
    MemberGossip,
)
from berylhaven.gateway.members._members import MemberTable
from berylhaven.quarantine import CrashEvidence

DATA_CENTRES = ("a", "b", "c")


class GossipFleet:
    """A fleet whose instances can lose power and start again.

    Parameters
    ----------
    clock : ManualClock
        The clock of all instances.
    count : int
        The number of instances, spread over the data centres.
    """

    def __init__(self, clock: ManualClock, count: int) -> None:
        self.clock = clock
        self.byte_count = self.remote_byte_count = 0
        self._random = random.Random(1)
        self.gossips: dict[str, MemberGossip] = {}
        self.evidence: dict[str, CrashEvidence] = {}
        self.spreads: dict[str, EvidenceSpread] = {}
        self._data_centres = {
            f"{DATA_CENTRES[n % 3]}{n // 3}:peers": DATA_CENTRES[n % 3]
            for n in range(count)
        }
        # The messages that frozen instances have not read, by address.
        self._unread: dict[str, list[tuple[str, bytes]]] = {}
        for address in self._data_centres:
            self.start(address)

    def start(self, address: str, incarnation: int = 1) -> None:
        """Start an instance that knows only the seeds."""
        name = address.removesuffix(":peers")
        data_centre = self._data_centres[address]
        own = Member(address, f"{name}:callers", data_centre, incarnation, 0, True)
        seeds = tuple(f"{centre}0:peers" for centre in DATA_CENTRES)
        source = random.Random(self._random.random())
        members, event_log = MemberTable(own), EventLog(1, 0, 0)
        evidence = self.evidence[address] = CrashEvidence()
        spread = EvidenceSpread(evidence, members, source, event_log)
        gossip = MemberGossip(members, seeds, source, event_log, spread.synchronise)
        http = types.SimpleNamespace(request=self._request_of(address))
        gossip._http = spread._http = http
        self.gossips[address] = gossip
        self.spreads[address] = spread

    def stop(self, address: str) -> None:
        """Switch an instance off, so that it answers nothing."""
        del self.gossips[address], self.evidence[address], self.spreads[address]

    def push_evidence(self) -> None:
        """Let all instances push their news once, and read what was pushed."""
        for address, spread in list(self.spreads.items()):
            if address not in self._unread:
                spread.step()
        eventlet.sleep(0)

    def freeze(self, address: str) -> None:
        """Let an instance stand still; messages to it stay unread."""
        self._unread[address] = []

    def wake(self, address: str) -> None:
        """Let a frozen instance go on, which reads what has arrived meanwhile."""
        for path, body in self._unread.pop(address):
            self._answer(address, path, body)

    def run_for(self, duration_s: float) -> None:
        """Let all instances gossip at their interval, in another order each time."""
        for _ in range(round(duration_s / GOSSIP_INTERVAL_S)):
            addresses = list(self.gossips)
            self._random.shuffle(addresses)
            for address in addresses:
                self.clock.advance_s(GOSSIP_INTERVAL_S / len(addresses))
                if address not in self._unread:
                    self.gossips[address].step()
                    eventlet.sleep(0)

    def naming(self, address: str) -> list[str]:
        """Return the instances whose locate answers may name an instance."""
        now_s = monotonic_s()
        return [
            own_address
            for own_address, gossip in self.gossips.items()
            if any(m.peers_address == address for m in gossip._members.ready(now_s))
        ]

    def _request_of(self, sender: str):
        def request(
            method: str, url: str, timeout_s: float, body: bytes
        ) -> types.SimpleNamespace:
            receiver, _, path = url.removeprefix("http://").partition("/")
            if receiver not in self.gossips:
                raise urllib3.exceptions.ConnectTimeoutError("no answer")
            if receiver in self._unread:
                self._unread[receiver].append((path, body))
                raise urllib3.exceptions.ReadTimeoutError(None, url, "no answer")
            answer = self._answer(receiver, path, body)
            self.byte_count += len(body) + len(answer)
            if self._data_centres[sender] != self._data_centres[receiver]:
                self.remote_byte_count += len(body) + len(answer)
            return types.SimpleNamespace(data=answer, status=200)

        return request

    def _answer(self, receiver: str, path: str, body: bytes) -> bytes:
        if path.startswith(EVIDENCE_PATH.strip("/")):
            is_complete = path.endswith(EVIDENCE_QUERY)
            return self.spreads[receiver].answer(body, is_complete)
        return self.gossips[receiver].answer(body)
