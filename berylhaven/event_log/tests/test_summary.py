"""Tests of counting request outcomes."""

import re
import time
import unittest

from hypothesis import given
from hypothesis import strategies as st

from berylhaven.event_log import OutcomeCause, format_line, summarize
from berylhaven.event_log._summary import ANSWERED


def request_line(event, at_s=12.5, **fields):
    line = format_line("request", event, fields).decode()
    return "front-1 " + re.sub(r"at=[0-9.]+", f"at={at_s}", line)


class SummaryTest(unittest.TestCase):
    def test_requests_of_one_cause_are_counted_together(self):
        reason = 'service "{}": none of {} servers can answer in time'
        counts_by_cause = summarize(
            [
                request_line(
                    "refused",
                    request=f"r{number}",
                    status=503,
                    duration_s=0.1 * number,
                    reason=reason.format(f"abc{number}", number),
                )
                for number in (1, 2, 3)
            ]
        )
        ((outcome, counts),) = counts_by_cause.items()
        self.assertEqual(outcome.status, 503)
        self.assertNotIn("abc", outcome.cause)
        self.assertEqual(counts.count, 3)
        self.assertAlmostEqual(counts.mean_s, 0.2)

    def test_outcomes_are_sorted_by_count(self):
        lines = [request_line("refused", status=504, reason="late")]
        lines += [request_line("answered", status=200)] * 2
        self.assertEqual(list(summarize(lines))[0], OutcomeCause(200, ANSWERED))

    def test_requests_are_counted_by_second(self):
        lines = [request_line("answered", at_s, status=200) for at_s in (5.1, 5.9, 7)]
        (counts,) = summarize(lines).values()
        self.assertEqual(counts.by_second, {5: 2, 7: 1})

    def test_a_long_reason_takes_time_in_proportion_to_its_length(self):
        # Each word of a run without digits was searched to the end of the run: 39 s for
        # 64,000 characters.
        line = f"request: at=1 event=refused status=503 reason={'a-' * 32_000}"
        began_s = time.monotonic()
        summarize([line])
        self.assertLess(time.monotonic() - began_s, 2.0)

    def test_other_lines_are_ignored(self):
        self.assertEqual(summarize([format_line("store", "lost", {}).decode()]), {})

    @given(st.lists(st.text()))
    def test_any_text_is_accepted(self, lines):
        summarize(lines)
