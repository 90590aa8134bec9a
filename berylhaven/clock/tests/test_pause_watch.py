"""Tests of detecting a process pause while a request is handled."""

import unittest

import eventlet

from berylhaven.clock import ManualClock, PauseWatch, monotonic_s


class PauseWatchTest(unittest.TestCase):
    """A request that is read after a pause may be as old as the pause is long."""

    def test_pauses_of_any_length_are_detected_before_and_after_the_tick(self):
        for pause_s in (1.0, 10.0, 60.0):
            with self.subTest(pause_s=pause_s), ManualClock() as clock:
                watch = PauseWatch()
                watch.start()
                self.addCleanup(watch.stop)
                for _ in range(20):
                    clock.advance_s(0.05)
                self.assertEqual(watch.possible_unread_s(monotonic_s()), 0.0)
                clock._now_s += pause_s
                self.assertGreaterEqual(watch.possible_unread_s(monotonic_s()), pause_s)
                clock.advance_s(0.0)
                eventlet.sleep(0)
                self.assertGreaterEqual(watch.possible_unread_s(monotonic_s()), pause_s)
                for _ in range(30):
                    clock.advance_s(0.05)
                self.assertEqual(watch.possible_unread_s(monotonic_s()), 0.0)
                watch.stop()
