"""Tests of calls while all backend servers of a service become slower at once."""

import unittest

from berylhaven.entry.tests._local_fleet import LocalFleet

WARM_UP_CALLS = 40
SLOW_CALLS = 8
SLOW_S = 0.3


class SlowServiceTest(unittest.TestCase):
    """Slow is not silent: what answers before the deadline is waited for."""

    def test_calls_are_answered_though_all_servers_slowed_down(self):
        path = LocalFleet(entry_count=1)
        self.addCleanup(path.stop)
        path.wait_until_ready()
        for _ in range(WARM_UP_CALLS):
            path.get(0, "/v1/services/positions/x")
        for standin in path.backends.values():
            standin.faults.set({"service_time_s": SLOW_S})
        statuses = [
            path.get(0, "/v1/services/positions/x").status for _ in range(SLOW_CALLS)
        ]
        self.assertEqual(statuses, [200] * SLOW_CALLS)
