"""Tests that log lines are structured, rate-limited and never block."""

import os
import unittest

from hypothesis import given
from hypothesis import strategies as st

from berylhaven.clock import ManualClock
from berylhaven.event_log import EventLog, format_line


class EventLogTest(unittest.TestCase):
    def setUp(self):
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def lines(self):
        try:
            return os.read(self.reader, 1_000_000).splitlines()
        except BlockingIOError:
            return []

    def test_a_stalled_reader_does_not_block_the_writer(self):
        with ManualClock() as clock:
            log = EventLog(self.writer, 100_000, 0)
            for _ in range(2_000):
                log.write("part", "event", text="x" * 100)
                clock.advance_s(0.0)
        self.assertGreater(log.dropped_count, 0)
        self.assertGreater(len(self.lines()), 0)

    def test_a_closed_pipe_only_raises_the_dropped_count(self):
        reader, writer = os.pipe()
        os.close(reader)
        self.addCleanup(os.close, writer)
        log = EventLog(writer)
        log.write("part", "event")
        self.assertEqual(log.dropped_count, 1)

    def test_failures_are_written_when_other_lines_reach_their_limit(self):
        with ManualClock():
            log = EventLog(self.writer, 5, 3)
            for _ in range(50):
                log.write("part", "usual")
            for _ in range(50):
                log.write_failure("part", "failed")
            written = self.lines()
        self.assertEqual(sum(b"event=usual" in line for line in written), 5)
        self.assertEqual(sum(b"event=failed" in line for line in written), 3)
        self.assertEqual(log.dropped_count, 92)

    def test_half_of_a_surrogate_pair_does_not_end_the_loop_that_logs_it(self):
        # It has no encoding, and the error ended whatever wrote the line.
        line = format_line("part", "an event", {"key": "i-\ud800"})
        self.assertTrue(line.endswith(b"key=i-\\ud800\n"))

    @given(st.dictionaries(st.sampled_from("abc"), st.text() | st.floats() | st.none()))
    def test_any_fields_are_formatted_as_one_line(self, fields):
        line = format_line("part", "an event", fields)
        self.assertTrue(line.endswith(b"\n"))
        self.assertEqual(line.count(b"\n"), 1)
        self.assertLessEqual(len(line), 4_096)
