"""Tests of lending limits between entry instances over real sockets."""

import unittest

import eventlet

from berylhaven.admission import LENDABLE_RATIO
from berylhaven.entry.tests._local_fleet import LocalFleet

CONCURRENCY_QUOTA = 256 / 4
CALLERS = 90


class LendingTest(unittest.TestCase):
    """An instance whose demand exceeds its quota borrows from its peers."""

    def setUp(self):
        self.fleet = LocalFleet(servers_per_service=1)
        self.addCleanup(self.fleet.stop)
        self.fleet.wait_until_ready()
        for standin in self.fleet.backends.values():
            standin.faults.set({"service_time_s": 0.3})

    def limits_row(self, index):
        rows = self.fleet.instances[index].status()["limits"]
        return next(
            row
            for row in rows
            if row["service"] == "bookings" and row["limit"] == "concurrency"
        )

    def test_busy_instances_borrow_and_quotas_never_exceed_the_limit(self):
        self.skip_the_lending_delay_of_new_runs()
        is_over = False
        threads = []

        def caller():
            while not is_over:
                answer = self.fleet.request("POST", 0, "/v1/services/bookings/x")
                eventlet.sleep(0.05 if answer.status == 429 else 0)

        for _ in range(CALLERS):
            threads.append(eventlet.spawn(caller))
        self.fleet.wait_until(lambda: self.limits_row(0)["borrowed"] > 0)
        is_over = True
        usable = sum(
            row["usable"] + row["borrowed"]
            for row in (self.limits_row(i) for i in range(3))
        )
        self.assertLessEqual(usable, 3 * CONCURRENCY_QUOTA)
        for index in (1, 2):
            lent = self.limits_row(index)["lent"]
            self.assertLessEqual(lent, CONCURRENCY_QUOTA * LENDABLE_RATIO)
        for thread in threads:
            thread.wait()

    def skip_the_lending_delay_of_new_runs(self):
        # A new run lends nothing for the duration of a lease; the test skips this time.
        for instance in self.fleet.instances:
            gate = instance._context.gate
            gate._started_at_s -= 60.0
            gate._catalogue = None
            gate._limits = {}
        self.fleet.wait_until(
            lambda: all(i.status()["limits"] for i in self.fleet.instances)
        )
