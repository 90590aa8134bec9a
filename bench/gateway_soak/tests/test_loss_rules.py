"""Tests that each class of loss is found, and that what is allowed is not counted."""

import unittest

from bench.gateway_soak._loss_rules import (
    Arrival,
    LossClass,
    PlannedStop,
    SentRequest,
    judge_request,
)
from bench.gateway_soak._mixed_builds import is_loss_of_old_build

# The signal comes at 100 s, the grace ends at 106 s, its last sixth begins at 105 s.
STOP = PlannedStop(signal_s=100.0, grace_s=6.0)


def sent(at_s=101.0, ended_s=105.6, kind="read", is_behind=False, **fields):
    request = SentRequest(
        "r1", kind, "gateway", "c1-1", 0, is_behind, limit_s=fields.pop("limit_s", 10.0)
    )
    request.began_s = request.sent_s = at_s
    request.ended_s = request.ended_after_s = ended_s
    for name, value in fields.items():
        setattr(request, name, value)
    return request


def run(began_s=101.0, ended_s=102.0, **fields):
    return Arrival("i-1", began_s or 101.0, began_s, ended_s, ended_s, **fields)


KILL = PlannedStop(signal_s=100.0, grace_s=6.0, is_kill=True)


class LossRulesTest(unittest.TestCase):
    def judge(self, request, *arrivals, stop=STOP, peer_stops=()):
        return judge_request(request, list(arrivals), stop, peer_stops)

    def test_a_request_that_a_server_got_and_nobody_answered_is_lost(self):
        lost = LossClass.ANSWER_LOST
        self.assertIs(self.judge(sent(), run()), lost)
        self.assertIs(self.judge(sent(is_behind=True), run()), lost)
        self.assertIs(self.judge(sent(), run(ended_s=104.9)), lost)
        # Sent later than 3 s after the signal: work to the end is no excuse.
        self.assertIs(self.judge(sent(103.1), run(103.1, None)), lost)
        # The connection was cut before the last sixth, and the server worked on.
        self.assertIs(self.judge(sent(ended_s=104.9), run(ended_s=None)), lost)
        # A server that got it and had not begun, and one without a planned stop.
        self.assertIs(self.judge(sent(), Arrival("i-1", 101.0)), lost)
        self.assertIs(self.judge(sent(), run(ended_s=None), stop=None), lost)

    def test_a_request_that_was_sent_early_and_ran_to_the_end_is_no_loss(self):
        self.assertIsNone(self.judge(sent(), run(ended_s=None)))
        self.assertIsNone(self.judge(sent(103.0), run(103.0, 105.1)))
        self.assertIsNone(self.judge(sent(), run(105.2, 105.3)))
        self.assertIsNone(self.judge(sent(99.0), run(99.0, 105.1)))

    def test_a_request_that_no_server_got_is_told_apart(self):
        self.assertIs(self.judge(sent(104.0)), LossClass.NEVER_PASSED_ON)
        self.assertIs(self.judge(sent(105.39)), LossClass.NEVER_PASSED_ON)
        self.assertIsNone(self.judge(sent(105.41)))
        # Its caller noticed the end late: it may have come at once.
        self.assertIsNone(self.judge(sent(104.0, ended_after_s=104.1)))
        self.assertIsNone(self.judge(sent(104.0, is_behind=True)))
        self.assertIsNone(self.judge(sent(104.0), stop=None))
        self.assertIsNone(self.judge(sent(104.0, sent_s=None)))
        self.assertIsNone(self.judge(sent(104.0, ended_s=None)))

    def test_reached_limits_and_servers_that_break_off_excuse(self):
        self.assertIsNone(self.judge(sent(limit_s=4.0), run(ended_s=None)))
        self.assertIsNone(self.judge(sent(limit_s=4.0)))
        self.assertIsNone(self.judge(sent(), run(breaks_off=True)))
        self.assertIs(
            self.judge(sent(limit_s=5.0), run(ended_s=104.0)), LossClass.ANSWER_LOST
        )

    def test_own_answers_in_place_of_those_of_servers_are_found(self):
        own = {"status": 504, "is_own_answer": True}
        during, after = (
            LossClass.OWN_ANSWER_DURING_WORK,
            LossClass.OWN_ANSWER_AFTER_WORK,
        )
        request = sent(ended_s=104.0, **own)
        self.assertIs(self.judge(request, run(ended_s=104.5)), during)
        self.assertIs(self.judge(request, run(ended_s=103.0)), after)
        # Before the last sixth of the grace, work that goes on is no excuse.
        self.assertIs(self.judge(request, run(ended_s=None)), during)
        self.assertIsNone(self.judge(sent(ended_s=105.1, **own), run(ended_s=None)))
        self.assertIsNone(self.judge(request, Arrival("i-1", 101.0)))
        self.assertIsNone(self.judge(sent(limit_s=4.6, **own), run(ended_s=104.0)))
        refused = sent(ended_s=104.0, status=503, is_own_answer=True)
        self.assertIs(self.judge(refused, run(ended_s=104.5)), during)
        self.assertIsNone(self.judge(refused))

    def test_broken_promises_are_found_without_a_stop_too(self):
        for kind in ("order", "upload"):
            request = sent(status=200, kind=kind)
            self.assertIs(self.judge(request, run(), run()), LossClass.RUN_TWICE)
            self.assertIs(
                self.judge(request, run(), run(), stop=None), LossClass.RUN_TWICE
            )
            for status in (408, 421, 429, 503):
                request = sent(status=status, is_own_answer=True, kind=kind)
                self.assertIs(self.judge(request, run()), LossClass.FALSE_NOT_RUN)
        self.assertIsNone(self.judge(sent(status=200), run(), run()))
        self.assertIs(
            self.judge(sent(status=200, is_foreign=True), run()),
            LossClass.FOREIGN_ANSWER,
        )
        self.assertIsNone(self.judge(sent(status=200), run()))

    def test_a_kill_excuses_only_callers_of_that_gateway(self):
        # Guards against a check that passes whatever happens around a kill.
        early = {"at_s": 99.5, "ended_s": 100.1}
        self.assertIsNone(self.judge(sent(**early), run(99.6, None), stop=KILL))
        self.assertIsNone(self.judge(sent(99.5, 101.0), stop=KILL))
        # The caller of another gateway gets an answer, whoever else has ended.
        peers = {"stop": None, "peer_stops": [KILL]}
        self.assertIs(
            self.judge(sent(**early), run(99.6, None), **peers), LossClass.ANSWER_LOST
        )
        self.assertIs(self.judge(sent(99.5, 100.1), **peers), LossClass.NEVER_PASSED_ON)
        for kind in ("order", "upload"):
            false_answer = sent(**early, kind=kind, status=503, is_own_answer=True)
            for ends in (peers, {"stop": KILL}):
                self.assertIs(
                    self.judge(false_answer, run(99.6), **ends),
                    LossClass.FALSE_NOT_RUN,
                )
                self.assertIs(
                    self.judge(sent(**early, kind=kind), run(), run(), **ends),
                    LossClass.RUN_TWICE,
                )

    def test_after_a_kill_of_another_gateway_only_what_may_run_once_fails(self):
        # Guards against idempotent requests that are not sent again.
        during = LossClass.OWN_ANSWER_DURING_WORK
        ends = {"stop": None, "peer_stops": [KILL]}
        own = {"status": 502, "is_own_answer": True, "ended_s": 100.1}
        at_work = run(99.6, None)
        self.assertIsNone(self.judge(sent(99.5, kind="order", **own), at_work, **ends))
        self.assertIs(self.judge(sent(99.5, **own), at_work, **ends), during)
        again = sent(99.5, is_passed_on_again=True, **own)
        self.assertIsNone(self.judge(again, at_work, **ends))
        second = PlannedStop(100.0, 6.0, is_kill=True, follows_kill=True)
        ends_again = {"stop": None, "peer_stops": [second]}
        self.assertIsNone(self.judge(sent(99.5, **own), at_work, **ends_again))
        # It was sent after the kill, so nothing of it ended there.
        self.assertIs(
            self.judge(sent(100.05, kind="order", **own), run(100.06, None), **ends),
            during,
        )

    def test_the_stop_of_another_gateway_excuses_what_it_gives_up_in_the_end(self):
        # Guards against losses at the gateway that passes requests on.
        ends = {"stop": None, "peer_stops": [STOP]}
        own = {"status": 504, "is_own_answer": True}
        at_work = run(101.0, None)
        self.assertIsNone(self.judge(sent(ended_s=105.1, **own), at_work, **ends))
        self.assertIs(
            self.judge(sent(ended_s=104.0, **own), at_work, **ends),
            LossClass.OWN_ANSWER_DURING_WORK,
        )
        self.assertIs(
            self.judge(sent(ended_s=105.6), at_work, **ends), LossClass.ANSWER_LOST
        )

    def test_an_earlier_build_is_excused_only_for_its_own_stop(self):
        # Guards against losses of the current build that count as those of the other.
        old = PlannedStop(signal_s=100.0, grace_s=6.0, is_old_build=True)
        self.assertTrue(is_loss_of_old_build(LossClass.ANSWER_LOST, [old]))
        self.assertFalse(is_loss_of_old_build(LossClass.ANSWER_LOST, []))
        self.assertFalse(is_loss_of_old_build(LossClass.ANSWER_LOST, [STOP]))
        killed = PlannedStop(100.0, 6.0, is_kill=True, is_old_build=True)
        self.assertFalse(is_loss_of_old_build(LossClass.ANSWER_LOST, [killed]))
        for found in (
            LossClass.RUN_TWICE,
            LossClass.FALSE_NOT_RUN,
            LossClass.FOREIGN_ANSWER,
        ):
            self.assertFalse(is_loss_of_old_build(found, [old]))

    def test_a_stop_covers_what_ends_until_a_second_after_the_grace(self):
        self.assertTrue(STOP.covers(106.9))
        self.assertFalse(STOP.covers(107.1))
        self.assertFalse(STOP.covers(99.9))
        late = PlannedStop(signal_s=100.0, grace_s=6.0, gone_s=109.0)
        self.assertTrue(late.covers(109.9))
