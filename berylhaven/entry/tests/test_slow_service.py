"""Tests of calls while all backend servers of a service become slower at once."""

import unittest

from berylhaven.entry.tests._local_fleet import LocalFleet

WARM_UP_CALLS = 40
SLOW_CALLS = 8
SLOW_SERVICE_TIME_S = 0.3


class SlowServiceTest(unittest.TestCase):
    """A slow server is not unresponsive: an answer before the deadline is awaited."""

    def test_calls_are_answered_while_all_servers_are_slow(self):
        fleet = LocalFleet(entry_count=1)
        self.addCleanup(fleet.stop)
        fleet.wait_until_ready()
        for _ in range(WARM_UP_CALLS):
            fleet.get(0, "/v1/services/positions/x")
        for standin in fleet.backends.values():
            standin.faults.set({"service_time_s": SLOW_SERVICE_TIME_S})
        statuses = [
            fleet.get(0, "/v1/services/positions/x").status for _ in range(SLOW_CALLS)
        ]
        self.assertEqual(statuses, [200] * SLOW_CALLS)
