"""Callers of an instance that reaches no server are served by way of the others."""

import unittest

import eventlet

from berylhaven.gateway.tests._gateway_fleet import GatewayFleet, ServerCut

# The platform's bound: from this time after a cut began, callers are served.
DETECTION_LIMIT_S = 3.0
# The least share of requests that are served, relative to the other instances.
SERVED_RATIO = 2 / 3
REQUEST_COUNT = 12


class CutFromServersTest(unittest.TestCase):
    def setUp(self):
        self.fleet = GatewayFleet(4, 4)
        self.addCleanup(self.fleet.stop)
        self._number = 0

    def cut(self, *indexes, is_silent=False):
        cut = ServerCut(is_silent)
        cut.__enter__()
        self.addCleanup(cut.__exit__)
        cut.begin(*(self.fleet.members[index] for index in indexes))
        return cut

    def statuses(self, index, path, method="GET", body=None):
        """Return the statuses of several requests at an instance."""
        statuses = []
        for _ in range(REQUEST_COUNT):
            self._number += 1
            request_id = f"id-{self._number}"
            answer = self.fleet.exchange(
                index, path, request_id, method, body, Wordy_Left_Ms=1500
            )
            statuses.append(answer.status)
            eventlet.sleep(0.02)
        return statuses

    def assert_served(self, statuses):
        self.assertGreaterEqual(
            statuses.count(200), SERVED_RATIO * len(statuses), statuses
        )

    def use_and_wait(self, index):
        """Send requests for the time within which a cut must be detected."""
        for _ in range(3):
            self.statuses(index, "/read/early")
            self.statuses(index, "/order/early", "POST", b"o")

    def test_an_instance_whose_connections_are_refused_serves_its_callers(self):
        self.cut(0)
        self.use_and_wait(0)
        self.assert_served(self.statuses(0, "/read/late"))
        self.assert_served(self.statuses(0, "/order/late", "POST", b"order"))

    def test_an_instance_whose_connections_hang_serves_its_callers(self):
        self.cut(0, is_silent=True)
        self.use_and_wait(0)
        self.assert_served(self.statuses(0, "/read/late"))
        self.assert_served(self.statuses(0, "/order/late", "POST", b"order"))

    def test_most_instances_are_cut_off_and_serve_their_callers(self):
        self.cut(0, 1, 2)
        for index in range(3):
            self.use_and_wait(index)
        for index in range(3):
            self.assert_served(self.statuses(index, "/read/late"))


if __name__ == "__main__":
    unittest.main()
