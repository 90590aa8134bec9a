"""Decides which requests a planned stop of a gateway has lost.

All times are on the monotonic clock, which the processes of one machine share.
"""

import enum
from collections.abc import Sequence
from dataclasses import dataclass

# A connection may end this long after the last byte of a request that nobody read.
UNREAD_LIMIT_S = 0.2
# Losses count until this long after the grace, and not for requests at which a server
# was still at work in the last part of the grace if they were sent early.
STOP_SLACK_S = 1.0
LAST_PART_RATIO = 1 / 6
EARLY_REQUEST_LIMIT_S = 3.0
# A gateway may answer this long before the deadline or the route's timeout.
LIMIT_SLACK_S = 0.1
# The kinds of requests that may run at most once.
ONCE_ONLY_KINDS = frozenset({"order", "upload"})
# Statuses that promise that the request did not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class LossClass(enum.Enum):
    """How a request was lost or answered falsely."""

    # It was passed on to a server, and its connection ended without its answer.
    ANSWER_LOST = "answer lost"
    # It was sent whole, no server got it, and its connection ended some time later in a
    # planned stop. Whether the gateway had read it cannot be seen from outside.
    NEVER_PASSED_ON = "never passed on"
    # The gateway answered by itself while the server was at work.
    OWN_ANSWER_DURING_WORK = "own answer during work"
    # The gateway answered by itself although the server had ended its work.
    OWN_ANSWER_AFTER_WORK = "own answer after work"
    # It must not be repeated, and has run more than once.
    RUN_TWICE = "run twice"
    # It must not be repeated, was said not to have run, and has run.
    FALSE_NOT_RUN = "false not-run"
    # The answer belongs to another request.
    FOREIGN_ANSWER = "foreign answer"


@dataclass(slots=True)
class SentRequest:
    """A request as its caller saw it."""

    # Its id, its kind and HOST:PORT of the gateway.
    request_id: str
    kind: str
    gateway: str
    # The name of its connection, and its place among the requests there, from 0.
    connection: str
    position: int
    # Whether another request of the connection was unanswered when it was sent.
    is_behind: bool
    # The shorter one of its deadline and the timeout of its route, in seconds.
    limit_s: float
    # When its first and its last byte were sent; None if they were not.
    began_s: float | None = None
    sent_s: float | None = None
    # When its whole answer was read, or the end of its connection was noticed; None if
    # neither has happened. The second time is before the end: its caller may be late.
    ended_s: float | None = None
    ended_after_s: float | None = None
    # The status of its whole answer; None without one.
    status: int | None = None
    # Whether the answer is the gateway's own, and whether it names another request.
    is_own_answer: bool = False
    is_foreign: bool = False
    # Whether its gateway has passed it on to more than one other gateway.
    is_passed_on_again: bool = False

    @property
    def is_once_only(self) -> bool:
        """Whether it may run at most once."""
        return self.kind in ONCE_ONLY_KINDS


@dataclass(slots=True)
class Arrival:
    """What a server recorded of a request; times are None if it did not happen."""

    # The id of the server.
    server: str
    # When the head was read, the work began and ended, and the answer was written.
    arrived_s: float
    began_s: float | None = None
    ended_s: float | None = None
    written_s: float | None = None
    # Whether the server broke off by itself.
    breaks_off: bool = False

    def is_at_work(self, from_s: float, until_s: float) -> bool:
        """Return whether the server was at work at any time between two times."""
        if self.began_s is None or self.began_s > until_s:
            return False
        return self.ended_s is None or self.ended_s > from_s


@dataclass(slots=True)
class PlannedStop:
    """The end of a gateway's process: a SIGTERM, or a kill without notice."""

    # When it was sent, and the time until the process is killed, in seconds.
    signal_s: float
    grace_s: float
    # When the process was gone; None if it is not. The run may notice it late.
    gone_s: float | None = None
    # Whether it is killed without notice.
    is_kill: bool = False
    # Whether another one was killed within the window of the retry budget before.
    follows_kill: bool = False
    # Whether the process runs an earlier build, whose own stop may lose requests.
    is_old_build: bool = False

    def covers(self, time_s: float) -> bool:
        """Return whether what ends at a time belongs to this stop."""
        end_s = self.signal_s + self.grace_s
        if self.gone_s is not None:
            end_s = max(end_s, self.gone_s)
        return self.signal_s <= time_s <= end_s + STOP_SLACK_S


def judge_request(
    request: SentRequest,
    arrivals: list[Arrival],
    stop: PlannedStop | None,
    peer_stops: Sequence[PlannedStop] = (),
) -> LossClass | None:
    """Return in which way a request was lost or answered falsely.

    Parameters
    ----------
    request : SentRequest
        The request as its caller saw it.
    arrivals : list of Arrival
        What the servers recorded of it.
    stop : PlannedStop or None
        The stop of its gateway in which it ended, if there was one.
    peer_stops : sequence of PlannedStop
        The stops, in which it ended, of other gateways that it was passed on to.

    Returns
    -------
    LossClass or None
        None if it was served or its failure is allowed.
    """
    if request.is_foreign:
        return LossClass.FOREIGN_ANSWER
    runs = [arrival for arrival in arrivals if arrival.began_s is not None]
    if request.is_once_only and len(runs) > 1:
        return LossClass.RUN_TWICE
    if request.ended_s is None or request.sent_s is None:
        return None
    if request.status is None:
        return _judge_unanswered(request, arrivals, stop, bool(peer_stops))
    if request.is_own_answer and runs:
        return _judge_own_answer(request, runs, stop, peer_stops)
    return None


def _judge_unanswered(
    request: SentRequest,
    arrivals: list[Arrival],
    stop: PlannedStop | None,
    is_peer_stopped: bool,
) -> LossClass | None:
    if stop is not None and stop.is_kill:
        return None
    if arrivals:
        # The end of another gateway is no reason to close a caller's connection.
        is_excused = _is_excused(request, arrivals, stop)
        return None if is_excused else LossClass.ANSWER_LOST
    if (stop is None and not is_peer_stopped) or request.is_behind:
        return None
    if request.ended_after_s - request.sent_s <= UNREAD_LIMIT_S:
        return None
    if _has_reached_limit(request):
        return None
    return LossClass.NEVER_PASSED_ON


def _judge_own_answer(
    request: SentRequest,
    runs: list[Arrival],
    stop: PlannedStop | None,
    peer_stops: Sequence[PlannedStop],
) -> LossClass | None:
    if request.status in NOT_RUN_STATUSES and request.is_once_only:
        return LossClass.FALSE_NOT_RUN
    if any(_is_excused(request, runs, each) for each in (stop, *peer_stops)):
        return None
    if any(_is_lost_with(request, peer_stop) for peer_stop in peer_stops):
        return None
    if any(run.is_at_work(request.ended_s, request.ended_s) for run in runs):
        return LossClass.OWN_ANSWER_DURING_WORK
    return LossClass.OWN_ANSWER_AFTER_WORK


def _is_excused(
    request: SentRequest, arrivals: list[Arrival], stop: PlannedStop | None
) -> bool:
    if _has_reached_limit(request) or any(arrival.breaks_off for arrival in arrivals):
        return True
    if stop is None or stop.is_kill:
        return False
    if request.sent_s - stop.signal_s > EARLY_REQUEST_LIMIT_S:
        return False
    last_part_at_s = stop.signal_s + (1 - LAST_PART_RATIO) * stop.grace_s
    # Servers work on here after their connections were closed; most others do not.
    return request.ended_s >= last_part_at_s and any(
        arrival.is_at_work(last_part_at_s, request.ended_s) for arrival in arrivals
    )


def _is_lost_with(request: SentRequest, peer_stop: PlannedStop) -> bool:
    """Return whether the answer ended with another process and can't be got again."""
    if not peer_stop.is_kill:
        return False
    # An idempotent request is passed on again, and then the gateway that is left may
    # have no room for it. After several kills the retry budget may be spent.
    may_fail = request.is_once_only or request.is_passed_on_again
    may_fail = may_fail or peer_stop.follows_kill
    return may_fail and request.began_s <= peer_stop.signal_s <= request.ended_s


def _has_reached_limit(request: SentRequest) -> bool:
    return request.ended_s - request.began_s >= request.limit_s - LIMIT_SLACK_S
