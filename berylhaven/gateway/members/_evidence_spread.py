"""Tells crash evidence to other instances: pushed at once, and compared by gossip."""

from collections.abc import Iterable
from random import Random

import eventlet
import eventlet.event

from berylhaven.clock import monotonic_s, sleep_s
from berylhaven.event_log import EventLog
from berylhaven.gateway.members._evidence_codec import (
    decode_observations,
    encode_observations,
)
from berylhaven.gateway.members._member_codec import MESSAGE_LIMIT_BYTES
from berylhaven.gateway.members._members import MemberTable
from berylhaven.http1 import REQUEST_ERRORS, BoundedClient
from berylhaven.quarantine import RETENTION_S, CrashEvidence, Observation

EVIDENCE_PATH = "/v1/crashes"
# The query by which a sender asks for the evidence of the receiver.
EVIDENCE_QUERY = "all=1"
HTTP_STATUS_OK = 200
# The number of instances that news is pushed to. Each of them pushes on what is new to
# it, so that a fleet of hundreds is reached within a few rounds.
FAN_OUT = 6
# Observations made within this time are pushed together.
PUSH_INTERVAL_S = 0.05
PUSH_TIMEOUT_S = 0.5
CONNECTIONS_PER_PEER = 4
# The maximum number of skipped rows of a message that are logged.
LOGGED_SKIPPED_LIMIT = 3
# The most observations that wait to be pushed; gossip tells the others.
PENDING_LIMIT = 1_000


class EvidenceSpread:
    """Exchanges crash evidence with other instances.

    Parameters
    ----------
    evidence : CrashEvidence
        The evidence.
    members : MemberTable
        The membership table.
    random : random.Random
        The source of random numbers.
    event_log : EventLog
        Receives the failures.
    """

    __slots__ = (
        "_evidence",
        "_members",
        "_random",
        "_event_log",
        "_http",
        "_pending",
        "_has_pending",
        "_synchronised_addresses",
    )

    def __init__(
        self,
        evidence: CrashEvidence,
        members: MemberTable,
        random: Random,
        event_log: EventLog,
    ) -> None:
        self._evidence = evidence
        self._members = members
        self._random = random
        self._event_log = event_log
        self._http = BoundedClient(MESSAGE_LIMIT_BYTES, CONNECTIONS_PER_PEER)
        # News that was not pushed yet, and when it was made.
        self._pending: dict[Observation, float] = {}
        self._has_pending = eventlet.event.Event()
        # Instances with which all evidence is being exchanged.
        self._synchronised_addresses: set[str] = set()
        members.own.evidence_digest = evidence.digest

    def push(self, news: Iterable[Observation], occurred_at_s: float) -> None:
        """Tell other instances what they may not know yet.

        Parameters
        ----------
        news : iterable of Observation
            As returned by `CrashEvidence`.
        occurred_at_s : float
            When it was observed, on the hub's clock.
        """
        self._members.own.evidence_digest = self._evidence.digest
        for observation in news:
            if len(self._pending) < PENDING_LIMIT:
                self._pending[observation] = occurred_at_s
        if self._pending and not self._has_pending.ready():
            self._has_pending.send()

    def run(self) -> None:
        """Push pending news, without end."""
        while True:
            self._has_pending.wait()
            sleep_s(PUSH_INTERVAL_S)
            self.step()

    def step(self) -> None:
        """Push what is pending to a few instances."""
        self._has_pending = eventlet.event.Event()
        pending, self._pending = self._pending, {}
        if not pending:
            return
        now_s = monotonic_s()
        self._evidence.drop_expired(now_s)
        body = encode_observations(pending.items(), now_s)
        others = self._members.reachable(now_s)
        for member in self._random.sample(others, min(FAN_OUT, len(others))):
            eventlet.spawn(self._send, member.peers_address, body)

    def synchronise(self, peers_address: str) -> None:
        """Exchange all evidence with an instance whose digest differs.

        Parameters
        ----------
        peers_address : str
            HOST:PORT of the instance.
        """
        if peers_address not in self._synchronised_addresses:
            self._synchronised_addresses.add(peers_address)
            eventlet.spawn(self._exchange_all, peers_address)

    def _exchange_all(self, peers_address: str) -> None:
        try:
            body = encode_observations(self._evidence.observations(), monotonic_s())
            answer = self._send(peers_address, body, f"?{EVIDENCE_QUERY}")
            if answer is not None:
                self.merge(answer)
        except ValueError as error:
            self._log_failure(peers_address, error)
        finally:
            self._synchronised_addresses.discard(peers_address)

    def _send(self, peers_address: str, body: bytes, query: str = "") -> bytes | None:
        """Send observations and return the answer, or None without one."""
        url = f"http://{peers_address}{EVIDENCE_PATH}{query}"
        try:
            answer = self._http.request("POST", url, PUSH_TIMEOUT_S, body)
        except REQUEST_ERRORS as error:
            self._log_failure(peers_address, error)
            return None
        # Instances of earlier releases answer 404.
        return answer.data if answer.status == HTTP_STATUS_OK else None

    def _log_failure(self, peers_address: str, error: Exception) -> None:
        self._event_log.write(
            "quarantine", "evidence not sent", peer=peers_address, reason=str(error)
        )

    def answer(self, body: bytes, is_complete: bool) -> bytes:
        """Merge a peer's observations and return those of this instance.

        Parameters
        ----------
        body : bytes
            The encoded observations of the peer.
        is_complete : bool
            Whether the peer asks for the observations of this instance.

        Returns
        -------
        bytes
            All encoded observations of this instance, or none if it was not asked.

        Raises
        ------
        ValueError
            If the message is malformed.
        """
        self.merge(body)
        observations = self._evidence.observations() if is_complete else ()
        return encode_observations(observations, monotonic_s())

    def merge(self, body: bytes) -> None:
        """Merge a message, and push on what is new.

        Parameters
        ----------
        body : bytes
            Encoded observations.

        Raises
        ------
        ValueError
            If the message is malformed.
        """
        now_s = monotonic_s()
        self._evidence.drop_expired(now_s)
        observations, skipped = decode_observations(body, now_s)
        for reason in skipped[:LOGGED_SKIPPED_LIMIT]:
            self._event_log.write_failure(
                "quarantine", "evidence skipped", reason=reason
            )
        for observation, occurred_at_s in observations:
            # An instance that expired it later must not bring it back.
            if now_s - occurred_at_s < RETENTION_S:
                news = self._evidence.merge(observation, occurred_at_s)
                self.push(news, occurred_at_s)
        self._members.own.evidence_digest = self._evidence.digest
