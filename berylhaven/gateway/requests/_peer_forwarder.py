"""Passes requests on to other instances that reach the servers.

Load pattern: all callers of a data centre whose instances lost their links to the
servers keep coming there, since they keep addresses for seconds and connections for
longer. The instances elsewhere have room for them.
"""

import collections
from random import Random

from berylhaven.attempts import AttemptEnd, AttemptFailed
from berylhaven.clock import monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway._dialect import Dialect
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway.callers._held_bytes import HeldBytes
from berylhaven.gateway.callers._passed_on import (
    ANSWERED,
    NOT_RUN,
    OUTCOME,
    PeerDialect,
)
from berylhaven.gateway.callers._request import GatewayRequest
from berylhaven.gateway.members._member import Member
from berylhaven.gateway.members._members import MemberTable
from berylhaven.gateway.servers._reach_monitor import service_bit
from berylhaven.gateway.servers._server_exchange import ServerAnswer, exchange
from berylhaven.http1 import RETRY_AFTER, ConnectionPool, parse_retry_after_s
from berylhaven.results import Outcome

# The time that the way to the other instance and back takes, in seconds.
HOP_MARGIN_S = 0.005
HTTP_STATUS_TIMEOUT = 504
REASON_LIMIT_BYTES = 300
# How long an instance that closes its connections is chosen last, in seconds. Gossip
# tells by then that it is not ready, or that it no longer answers.
LAST_CHOICE_S = 5.0
# Ends of exchanges after which the instance may have stopped.
UNREACHED_ENDS = frozenset(
    {
        AttemptEnd.NOT_CONNECTED,
        AttemptEnd.BROKEN_WHILE_SENDING,
        AttemptEnd.BROKEN_BEFORE_HEAD,
    }
)


class PeerRefused(AttemptFailed):
    """Another instance refused a request; it has not run.

    Parameters
    ----------
    message : str
        One sentence with the details.
    return_s : float or None
        When the caller may come back by the other instance's answer, in seconds.
    """

    def __init__(self, message: str, return_s: float | None) -> None:
        super().__init__(AttemptEnd.SHED, message)
        self.return_s = return_s


class PeerBusy(AttemptFailed):
    """All connections to another instance are in use; nothing was sent."""


class PeerFailed(AttemptFailed):
    """Another instance answered that a request failed and may have run."""


def used_server_count(failure: Exception, attempt_limit: int) -> int:
    """Return the number of servers that a failed request counts as sent to.

    Parameters
    ----------
    failure : Exception
        How passing the request on ended.
    attempt_limit : int
        The number of servers that the other instance might use.

    Returns
    -------
    int
        All that it might use if it gave up by itself, one if its answer was lost.
    """
    if isinstance(failure, PeerFailed):
        return attempt_limit
    is_unsent = isinstance(failure, AttemptFailed) and (
        failure.classification.outcome is Outcome.NOT_RUN
    )
    return 0 if is_unsent else 1


class PeerForwarder:
    """Chooses other instances and sends requests to their callers' ports.

    Parameters
    ----------
    members : MemberTable
        The membership table.
    pool : ConnectionPool
        The connections to other instances.
    dialect : Dialect
        The header names of the deployment.
    random : random.Random
        The source of random numbers.
    event_log : EventLog
        Receives a line for each request that is passed on.
    metrics : GatewayMetrics
        Counts the requests.
    memory : HeldBytes
        The account of held bytes.
    """

    __slots__ = (
        "_members",
        "_pool",
        "_dialect",
        "_random",
        "_event_log",
        "_passed_on",
        "_memory",
        "_in_flight_counts",
        "_last_choices",
    )

    def __init__(
        self,
        members: MemberTable,
        pool: ConnectionPool,
        dialect: Dialect,
        random: Random,
        event_log: EventLog,
        metrics: GatewayMetrics,
        memory: HeldBytes,
    ) -> None:
        self._members = members
        self._pool = pool
        self._dialect = dialect
        self._random = random
        self._event_log = event_log
        self._memory = memory
        self._passed_on = metrics.counter(
            "requests_passed_on_total",
            "Requests that were passed on to other instances, by service and outcome.",
        )
        # Requests that were passed on and not answered, by address.
        self._in_flight_counts: collections.Counter[str] = collections.Counter()
        # Runs of instances that are chosen last, and until when: address and
        # incarnation. They leave, and gossip has not told it yet.
        self._last_choices: dict[tuple[str, int], float] = {}

    def choose(self, service: str, tried: frozenset[str]) -> Member | None:
        """Return the instance for a request, or None if none reaches the service.

        Of two random ones the one with fewer requests of this instance is taken. One
        that closes its connections is taken only if no other one is left.

        Parameters
        ----------
        service : str
            The service of the request.
        tried : frozenset of str
            Peers' addresses of the instances that were tried.

        Returns
        -------
        Member or None
            An instance of this data centre if one is known to reach the service.
        """
        bit = service_bit(service)
        now_s = monotonic_s()
        usable = [
            member
            for member in self._members.live(now_s)
            if member.is_ready
            and not member.unreached_mask & bit
            and member.peers_address not in tried
        ]
        staying = [
            m for m in usable if self._last_choices.get(_run_id(m), now_s) <= now_s
        ]
        usable = staying or usable
        own_data_centre = self._members.own.data_centre
        local = [m for m in usable if m.data_centre == own_data_centre]
        candidates = local or usable
        if not candidates:
            return None
        sampled = self._random.sample(candidates, min(2, len(candidates)))
        return min(sampled, key=lambda m: self._in_flight_counts[m.callers_address])

    def send(
        self,
        request: GatewayRequest,
        service: str,
        member: Member,
        attempt_limit: int,
        deadline_s: float,
    ) -> ServerAnswer:
        """Pass a request on and return the answer of the server that ran it.

        Parameters
        ----------
        request : GatewayRequest
            The caller's request.
        service : str
            Its service.
        member : Member
            The other instance.
        attempt_limit : int
            The number of servers that the request may still be sent to.
        deadline_s : float
            The deadline of the answer, on the hub's clock.

        Returns
        -------
        ServerAnswer
            The answer of a server.

        Raises
        ------
        AttemptFailed
            `PeerRefused` if the other instance states that the request did not run,
            `PeerBusy` if no connection to it is free.
        """
        address = member.callers_address
        began_at_s = monotonic_s()
        outcome = "failed"
        self._in_flight_counts[address] += 1
        try:
            answer = self._exchange(request, member, attempt_limit, deadline_s)
            outcome = ANSWERED
            return answer
        except AttemptFailed as failure:
            outcome = failure.end.value
            raise
        finally:
            self._in_flight_counts[address] -= 1
            if not self._in_flight_counts[address]:
                del self._in_flight_counts[address]
            self._passed_on.inc({"service": service, "outcome": outcome})
            self._event_log.write(
                "attempt",
                "passed on",
                request=request.request_id,
                service=service,
                peer=member.peers_address,
                data_centre=member.data_centre,
                outcome=outcome,
                duration_s=monotonic_s() - began_at_s,
            )

    def _exchange(
        self,
        request: GatewayRequest,
        member: Member,
        attempt_limit: int,
        deadline_s: float,
    ) -> ServerAnswer:
        # A connection that the other instance closes for idleness must not take a
        # request with it that cannot be repeated.
        try:
            connection = self._pool.acquire(
                member.callers_address, requires_new_connection=not request.request_id
            )
        except AttemptFailed as failure:
            if failure.end is AttemptEnd.CONNECTION_LIMIT:
                raise PeerBusy(failure.end, failure.message) from failure
            raise
        answer = None
        try:
            answer = exchange(
                connection,
                request,
                PeerDialect(self._dialect, attempt_limit),
                member.peers_address,
                deadline_s - HOP_MARGIN_S,
                self._memory,
            )
        except AttemptFailed as failure:
            if failure.end in UNREACHED_ENDS:
                self._choose_last(member)
            raise
        finally:
            self._pool.release(connection, answer is not None and answer.is_reusable)
        outcome = answer.fields.get(OUTCOME)
        # An answer to a body that was not read to its end closes any connection.
        is_leaving = answer.fields.has_token("connection", "close") and (
            outcome != ANSWERED or request.body.is_ended
        )
        if is_leaving:
            self._choose_last(member)
        if outcome == ANSWERED:
            return answer
        reason = answer.body[:REASON_LIMIT_BYTES].decode("latin-1").strip()
        message = (
            f"instance {member.peers_address} answered with status {answer.status}: "
            f"{reason}"
        )
        if outcome == NOT_RUN:
            request.progress.record_not_run()
            # A leaving instance means its own callers, who have other instances.
            text = None if is_leaving else answer.fields.get(RETRY_AFTER)
            return_s = parse_retry_after_s(text) if text is not None else None
            raise PeerRefused(message, return_s)
        if answer.status == HTTP_STATUS_TIMEOUT:
            raise PeerFailed(AttemptEnd.DEADLINE_BEFORE_HEAD, message)
        raise PeerFailed(AttemptEnd.BROKEN_BEFORE_HEAD, message)

    def _choose_last(self, member: Member) -> None:
        now_s = monotonic_s()
        kept = {
            run: end_s for run, end_s in self._last_choices.items() if end_s > now_s
        }
        self._last_choices = {**kept, _run_id(member): now_s + LAST_CHOICE_S}


def _run_id(member: Member) -> tuple[str, int]:
    return member.peers_address, member.incarnation
