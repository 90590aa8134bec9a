"""Requests that find no free connection to another instance spend no retries."""

import unittest
import unittest.mock

import eventlet

from berylhaven.clock import monotonic_s
from berylhaven.gateway.tests._gateway_fleet import GatewayFleet, ServerCut
from berylhaven.gateway.tests._gateway_path import READS
from berylhaven.http1.tests._raw_backend import answer_ok

REFUSED_COUNT = 6
WORK_S = 1.0


class PassedOnBudgetTest(unittest.TestCase):
    def setUp(self):
        patch = unittest.mock.patch(
            "berylhaven.gateway._request_path.PEER_CONNECTIONS_LIMIT", 1
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.fleet = GatewayFleet(3, 3)
        self.addCleanup(self.fleet.stop)
        cut = ServerCut(False)
        cut.__enter__()
        self.addCleanup(cut.__exit__)
        cut.begin(self.fleet.members[0])
        for number in range(12):
            self.read(f"early-{number}")
            eventlet.sleep(0.05)

    def read(self, name, path="/read/x"):
        return self.fleet.exchange(0, path, name, Wordy_Left_Ms=1500)

    def remaining_count(self):
        forwarder = self.fleet.members[0].instance._forwarder
        return forwarder._budget(READS).remaining_count(3, monotonic_s())

    def test_reads_that_find_no_free_connection_leave_the_retries_to_others(self):
        # Guards against reads that are not sent again after another instance was
        # killed, since refused ones had spent the retries.
        def answer(sock, request):
            eventlet.sleep(WORK_S)
            answer_ok(sock, request)

        for backend in self.fleet.backends.values():
            backend.answers["/read/long"] = answer
        callers = [
            eventlet.spawn(self.read, f"long-{number}", "/read/long")
            for number in range(2)
        ]
        with eventlet.Timeout(WORK_S):
            while self.fleet.requests("/read/long") < 2:
                eventlet.sleep(0.01)
        before = self.remaining_count()
        statuses = [self.read(f"late-{n}").status for n in range(REFUSED_COUNT)]
        self.assertEqual(statuses, [503] * REFUSED_COUNT)
        self.assertGreaterEqual(self.remaining_count(), before)
        self.assertEqual([caller.wait().status for caller in callers], [200, 200])


if __name__ == "__main__":
    unittest.main()
