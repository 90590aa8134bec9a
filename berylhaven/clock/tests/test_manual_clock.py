"""Tests of the manual clock."""

import unittest

import eventlet

from berylhaven.clock import ManualClock, monotonic_s, sleep_s


class ManualClockTest(unittest.TestCase):
    """The clock stands still until a test advances it."""

    def test_sleeping_threads_resume_only_when_their_time_is_reached(self):
        resumed_at_s = []

        def sleeper():
            sleep_s(5.0)
            resumed_at_s.append(monotonic_s())

        with ManualClock(start_s=100.0) as clock:
            eventlet.spawn(sleeper)
            clock.advance_s(0.0)
            clock.advance_s(4.9)
            self.assertEqual(resumed_at_s, [])
            clock.advance_s(0.2)
            self.assertEqual(len(resumed_at_s), 1)

    def test_the_hubs_own_clock_is_restored(self):
        before = monotonic_s()
        with ManualClock(start_s=0.0):
            self.assertEqual(monotonic_s(), 0.0)
        self.assertGreaterEqual(monotonic_s(), before)
