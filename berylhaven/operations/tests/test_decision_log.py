"""Tests of decision lines and their rate limit."""

import unittest
from unittest import mock

import orjson

from berylhaven.clock import ManualClock
from berylhaven.operations import DecisionLog, PlacementDecision
from berylhaven.operations import _decision_log as module
from berylhaven.settings import LogSettings

DECISION = PlacementDecision(
    "0a-7-own", "positions", "finish_time", "10.0.0.9:80", 16, 0.0123, None
)


def write_decisions(
    count, lines_per_s, decision_format="text", level="info", seconds=1
):
    """Return the lines written and the decisions dropped."""
    log = DecisionLog(LogSettings(level, decision_format, lines_per_s))
    with ManualClock() as clock, mock.patch.object(module, "LOG") as part_log:
        for _ in range(seconds):
            for _ in range(count):
                if log.try_acquire_line():
                    log.write(DECISION)
            clock.advance_s(1.0)
        lines = [call.args[1] for call in part_log.info.call_args_list]
    return lines, log.dropped_count


class DecisionLogTest(unittest.TestCase):
    """Each line describes one decision; lines above the rate limit are counted."""

    def test_a_line_describes_the_decision_and_the_report_age(self):
        (line,), _ = write_decisions(1, 10)
        self.assertEqual(
            line,
            "Call 0a-7-own of positions: chose 10.0.0.9:80 of 16 candidates by "
            "finish_time; load report age 12.3 ms, expected time to answer unknown.",
        )

    def test_a_line_can_be_json(self):
        (line,), _ = write_decisions(1, 10, "json")
        document = orjson.loads(line)
        self.assertEqual(document["call_id"], "0a-7-own")
        self.assertEqual(document["candidate_count"], 16)

    def test_the_rate_limit_holds_in_each_second(self):
        lines, dropped_count = write_decisions(25, 10, seconds=3)
        self.assertEqual((len(lines), dropped_count), (30, 45))

    def test_no_line_above_the_limit_or_level_is_written(self):
        self.assertEqual(write_decisions(5, 0), ([], 5))
        self.assertEqual(write_decisions(5, 100, level="warning"), ([], 5))
