"""Tests of parsing load reports."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.backend import parse_load_header


class LoadHeaderTest(unittest.TestCase):
    """Both published forms are parsed, and malformed values give no report."""

    def test_text_form(self):
        report = parse_load_header(
            "TEXT cpu_utilization=0.5,named_metrics.running=3,"
            "named_metrics.queued=2,named_metrics.slots=4,named_metrics.leaving=1",
            7.0,
        )
        self.assertEqual((report.running_count, report.queued_count), (3, 2))
        self.assertEqual(report.slot_count, 4)
        self.assertTrue(report.is_leaving)
        self.assertEqual(report.received_at_s, 7.0)

    def test_json_form(self):
        value = 'JSON {"named_metrics": {"running": 1, "service_time_ms": 20}}'
        report = parse_load_header(value, 0.0)
        self.assertEqual(report.running_count, 1)
        self.assertEqual(report.service_time_s, 0.02)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.text(max_size=60), st.sampled_from(["", "TEXT ", "JSON "]))
    def test_malformed_values_never_raise(self, text, prefix):
        report = parse_load_header(prefix + text, 0.0)
        if report is not None:
            self.assertGreaterEqual(report.running_count, 0)
