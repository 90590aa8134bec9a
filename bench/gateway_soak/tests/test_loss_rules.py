"""Tests that each class of loss is found, and that what is allowed is not counted."""

import unittest

from bench.gateway_soak._loss_rules import (
    Arrival,
    LossClass,
    PlannedStop,
    SentRequest,
    judge_request,
)

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


class LossRulesTest(unittest.TestCase):
    def judge(self, request, *arrivals, stop=STOP):
        return judge_request(request, list(arrivals), stop)

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

    def test_a_stop_covers_what_ends_until_a_second_after_the_grace(self):
        self.assertTrue(STOP.covers(106.9))
        self.assertFalse(STOP.covers(107.1))
        self.assertFalse(STOP.covers(99.9))
        late = PlannedStop(signal_s=100.0, grace_s=6.0, gone_s=109.0)
        self.assertTrue(late.covers(109.9))
