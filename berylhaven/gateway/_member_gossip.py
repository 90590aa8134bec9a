"""Telling other instances of the members, and hearing of them."""

from random import Random

import eventlet
import urllib3

from berylhaven.clock import monotonic_s, sleep_s
from berylhaven.event_log import EventLog
from berylhaven.gateway._member_codec import decode_rows, encode_rows
from berylhaven.gateway._members import MemberTable

GOSSIP_PATH = "/v1/members"
# How often an instance talks to one of its own data centre.
GOSSIP_INTERVAL_S = 0.5
# Of so many talks of a speaker one goes to another data centre, where bytes cost.
FAR_EVERY = 3
TALK_TIMEOUT_S = 0.4
# A log line names so many instances at most.
NAMED_PEERS_LIMIT = 8
# A seed that does not know others yet is asked again this often.
SEED_EVERY = 20


class MemberGossip:
    """Exchanges member tables with one random instance at a time.

    Parameters
    ----------
    members : MemberTable
        What is known.
    seeds : tuple of str
        Addresses of instances to ask first.
    random : random.Random
        The source of random numbers.
    event_log : EventLog
        Gets a line for each instance that comes or falls silent.
    """

    __slots__ = (
        "_members",
        "_seeds",
        "_random",
        "_event_log",
        "_http",
        "_talk_count",
        "_seen",
    )

    def __init__(
        self,
        members: MemberTable,
        seeds: tuple[str, ...],
        random: Random,
        event_log: EventLog,
    ) -> None:
        self._members = members
        self.set_seeds(seeds)
        self._random = random
        self._event_log = event_log
        self._http = urllib3.PoolManager(num_pools=64, maxsize=1, retries=False)
        self._talk_count = 0
        self._seen: set[str] = set()

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Ask these addresses for others from now on.

        Parameters
        ----------
        seeds : tuple of str
            HOST:PORT each; this instance's own is left out.
        """
        own_address = self._members.own.peers_address
        self._seeds = tuple(seed for seed in seeds if seed != own_address)

    def run(self) -> None:
        """Talk for ever."""
        while True:
            self.step()
            sleep_s(GOSSIP_INTERVAL_S * self._random.uniform(0.8, 1.2))

    def step(self) -> None:
        """Give a sign of life and talk to one instance."""
        now_s = monotonic_s()
        self._members.own.heartbeat += 1
        self._members.evict_unresponsive(now_s)
        self._talk_count += 1
        address = self._partner_address(now_s)
        if address is not None:
            self._talk(address)
        self._tell_changes()

    def notify_peers(self, count: int) -> None:
        """Talk to several instances at once, since news is urgent.

        Parameters
        ----------
        count : int
            How many.
        """
        self._members.own.heartbeat += 1
        live = self._members.live(monotonic_s())
        for member in self._random.sample(live, min(count, len(live))):
            eventlet.spawn(self._talk, member.peers_address)

    def _partner_address(self, now_s: float) -> str | None:
        is_speaker = self._members.own in self._members.relays(now_s)
        is_near = not is_speaker or self._talk_count % FAR_EVERY != 0
        partner = self._members.random_peer(self._random, now_s, is_near)
        seeds = self._seeds
        if partner is not None:
            # Now and then seeds are asked even so, so that two halves that lost each
            # other meet again.
            if self._talk_count % SEED_EVERY != 1:
                return partner.peers_address
            seeds = [s for s in seeds if is_speaker or self._members.is_local(s)]
        if seeds:
            return self._random.choice(seeds)
        partner = partner or self._members.random_peer(self._random, now_s, not is_near)
        return partner.peers_address if partner else None

    def _talk(self, address: str) -> None:
        body = self._message(address)
        try:
            with eventlet.Timeout(TALK_TIMEOUT_S, TimeoutError("no answer in time")):
                answer = self._http.request(
                    "POST", f"http://{address}{GOSSIP_PATH}", body=body
                )
            self.merge(answer.data)
        except TimeoutError:
            return
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            self._members.mark_unreachable(address)
            self._event_log.write(
                "members", "talk failed", peer=address, reason=str(error)
            )

    def merge(self, body: bytes) -> str:
        """Take in a peer's message.

        Parameters
        ----------
        body : bytes
            Encoded rows, the sender's first.

        Returns
        -------
        str
            The sender's address.

        Raises
        ------
        ValueError
            If the message is malformed.
        """
        now_s = monotonic_s()
        members = decode_rows(body)
        for member in members:
            self._members.merge(member, now_s)
        return members[0].peers_address

    def answer(self, body: bytes) -> bytes:
        """Take in a peer's message and return this instance's.

        Parameters
        ----------
        body : bytes
            Encoded rows.

        Returns
        -------
        bytes
            Encoded rows.
        """
        return self._message(self.merge(body))

    def _message(self, address: str) -> bytes:
        """Return this instance's message to another."""
        now_s = monotonic_s()
        if self._members.is_local(address):
            return encode_rows(self._members.local_rows(now_s, self._random))
        data_centre = self._members.data_centre(address)
        return encode_rows(self._members.remote_rows(now_s, self._random, data_centre))

    def _tell_changes(self) -> None:
        now_s = monotonic_s()
        live = {member.peers_address for member in self._members.live(now_s)}
        self._tell("instances heard", live - self._seen, len(live))
        self._tell("instances silent", self._seen - live, len(live))
        self._seen = live

    def _tell(self, event: str, addresses: set[str], live_count: int) -> None:
        """Write one line for all instances, since a whole fleet may start at once."""
        if not addresses:
            return
        named = ",".join(sorted(addresses)[:NAMED_PEERS_LIMIT])
        self._event_log.write(
            "members", event, count=len(addresses), live=live_count, peers=named
        )
