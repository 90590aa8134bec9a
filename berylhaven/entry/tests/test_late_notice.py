"""A stop that an entry instance notices late."""

import unittest

from absl import logging

from berylhaven.clock import ManualClock, monotonic_s
from berylhaven.membership import DRAIN_SECTION
from berylhaven.proxy.tests._proxy_path import ProxyPath

LIMIT_S = 3.0
SETTINGS = f"locate_time_to_live_s = 0.5\ndrain_limit_s = {LIMIT_S}\n"
PAUSE_S = 0.8
STEP_S = 0.05
# A wake-up is recorded every 0.14 s at the latest, and the clock passes in steps.
NOTICE_SLACK_S = 0.14 + STEP_S


class LateNoticeTest(unittest.TestCase):
    def setUp(self):
        logging.set_verbosity(logging.ERROR)
        self.path = ProxyPath(SETTINGS)
        self.addCleanup(self.path.stop)
        self.clock = ManualClock(monotonic_s())
        self.enterContext(self.clock)

    def pass_s(self, duration_s):
        end_s = monotonic_s() + duration_s
        while monotonic_s() < end_s:
            self.clock.advance_s(STEP_S)

    def drain_after_block(self, block_s):
        """Return a drain whose signal came before the process did not run."""
        instance = self.path.instances[0]
        self.pass_s(0.5)
        self.signal_s = monotonic_s()
        self.clock.block_s(block_s)
        instance.leave()
        self.notice_s = monotonic_s()
        self.pass_s(0.5)
        return instance._context.blackboard.read(DRAIN_SECTION).value.drain

    def test_the_limit_counts_from_the_earliest_time_of_the_signal(self):
        # Guards against a process that is killed with calls at work, since it has
        # noticed its signal late.
        drain = self.drain_after_block(PAUSE_S)
        self.assertLessEqual(drain.ends_by_s, self.signal_s + LIMIT_S)
        self.assertGreaterEqual(
            drain.ends_by_s, self.signal_s + LIMIT_S - NOTICE_SLACK_S
        )

    def test_the_limit_does_not_count_from_the_next_step_of_a_controller(self):
        # Guards against a drain that lasts longer by the interval of its controller.
        drain = self.drain_after_block(0.0)
        self.assertLessEqual(drain.ends_by_s, self.notice_s + LIMIT_S)
        self.assertGreaterEqual(
            drain.ends_by_s, self.notice_s + LIMIT_S - NOTICE_SLACK_S
        )

    def test_a_second_signal_changes_nothing(self):
        # Guards against a drain that a further signal prolongs.
        drain = self.drain_after_block(0.0)
        instance = self.path.instances[0]
        instance.leave()
        self.pass_s(0.5)
        reading = instance._context.blackboard.read(DRAIN_SECTION)
        self.assertEqual(reading.value.drain, drain)


if __name__ == "__main__":
    unittest.main()
