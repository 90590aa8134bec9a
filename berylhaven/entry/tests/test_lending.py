"""Tests of lending limits between entry instances over real sockets."""

import unittest

import eventlet

from berylhaven.admission import LENDABLE_RATIO
from berylhaven.entry.tests._local_fleet import LocalFleet

CONCURRENCY_PART = 256 / 4
CALLERS = 90


class LendingTest(unittest.TestCase):
    """An instance with more demand than its part borrows from its peers."""

    def setUp(self):
        self.path = LocalFleet(servers_per_service=1)
        self.addCleanup(self.path.stop)
        self.path.wait_until_ready()
        for standin in self.path.backends.values():
            standin.faults.set({"service_time_s": 0.3})

    def limits_row(self, index):
        rows = self.path.instances[index].status()["limits"]
        return next(
            row
            for row in rows
            if row["service"] == "bookings" and row["limit"] == "concurrency"
        )

    def test_busy_instances_borrow_and_the_parts_never_add_up_to_more(self):
        self.pass_the_time_of_a_new_run()
        is_over = False
        threads = []

        def caller():
            while not is_over:
                answer = self.path.request("POST", 0, "/v1/services/bookings/x")
                eventlet.sleep(0.05 if answer.status == 429 else 0)

        for _ in range(CALLERS):
            threads.append(eventlet.spawn(caller))
        self.path.wait_until(lambda: self.limits_row(0)["borrowed"] > 0)
        is_over = True
        usable = sum(
            row["usable"] + row["borrowed"]
            for row in (self.limits_row(i) for i in range(3))
        )
        self.assertLessEqual(usable, 3 * CONCURRENCY_PART)
        for index in (1, 2):
            lent = self.limits_row(index)["lent"]
            self.assertLessEqual(lent, CONCURRENCY_PART * LENDABLE_RATIO)
        for thread in threads:
            thread.wait()

    def pass_the_time_of_a_new_run(self):
        # A new run lends nothing for a lease's time; the test does not wait for it.
        for instance in self.path.instances:
            gate = instance._context.gate
            gate._started_at_s -= 60.0
            gate._catalogue = None
            gate._limits = {}
        self.path.wait_until(
            lambda: all(i.status()["limits"] for i in self.path.instances)
        )
