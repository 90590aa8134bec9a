"""Instances that gossip with one another without sockets, on a manual clock."""

import random
import types

import urllib3

from berylhaven.clock import ManualClock, monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway._member import Member
from berylhaven.gateway._member_gossip import (
    GOSSIP_INTERVAL_S,
    GOSSIP_PATH,
    MemberGossip,
)
from berylhaven.gateway._members import MemberTable

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
        self._data_centres = {
            f"{DATA_CENTRES[n % 3]}{n // 3}:peers": DATA_CENTRES[n % 3]
            for n in range(count)
        }
        # The messages that frozen instances have not read, by address.
        self._unread: dict[str, list[bytes]] = {}
        for address in self._data_centres:
            self.start(address)

    def start(self, address: str, incarnation: int = 1) -> None:
        """Start an instance that knows only the seeds."""
        name = address.removesuffix(":peers")
        data_centre = self._data_centres[address]
        own = Member(address, f"{name}:callers", data_centre, incarnation, 0, True)
        seeds = tuple(f"{centre}0:peers" for centre in DATA_CENTRES)
        source = random.Random(self._random.random())
        gossip = MemberGossip(MemberTable(own), seeds, source, EventLog(1, 0, 0))
        gossip._http = types.SimpleNamespace(request=self._request_of(address))
        self.gossips[address] = gossip

    def stop(self, address: str) -> None:
        """Switch an instance off, so that it answers nothing."""
        del self.gossips[address]

    def freeze(self, address: str) -> None:
        """Let an instance stand still; messages to it stay unread."""
        self._unread[address] = []

    def wake(self, address: str) -> None:
        """Let a frozen instance go on, which reads what has arrived meanwhile."""
        for body in self._unread.pop(address):
            self.gossips[address].answer(body)

    def run_for(self, duration_s: float) -> None:
        """Let all instances gossip at their interval, in another order each time."""
        for _ in range(round(duration_s / GOSSIP_INTERVAL_S)):
            addresses = list(self.gossips)
            self._random.shuffle(addresses)
            for address in addresses:
                self.clock.advance_s(GOSSIP_INTERVAL_S / len(addresses))
                if address not in self._unread:
                    self.gossips[address].step()

    def naming(self, address: str) -> list[str]:
        """Return the instances whose locate answers may name an instance."""
        now_s = monotonic_s()
        return [
            own_address
            for own_address, gossip in self.gossips.items()
            if any(m.peers_address == address for m in gossip._members.ready(now_s))
        ]

    def _request_of(self, sender: str):
        def request(method: str, url: str, body: bytes) -> types.SimpleNamespace:
            receiver = url.removeprefix("http://").removesuffix(GOSSIP_PATH)
            if receiver not in self.gossips:
                raise urllib3.exceptions.ConnectTimeoutError("no answer")
            if receiver in self._unread:
                self._unread[receiver].append(body)
                raise urllib3.exceptions.ReadTimeoutError(None, url, "no answer")
            answer = self.gossips[receiver].answer(body)
            self.byte_count += len(body) + len(answer)
            if self._data_centres[sender] != self._data_centres[receiver]:
                self.remote_byte_count += len(body) + len(answer)
            return types.SimpleNamespace(data=answer)

        return request
