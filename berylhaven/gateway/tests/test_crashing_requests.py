"""A request under which its servers end is no longer sent to servers."""

import unittest

import eventlet

from berylhaven.gateway.tests._gateway_fleet import GatewayFleet

CRASHING_PATH = "/read/crash"
# Three servers may end before the request is recognised, and three more sends are allowed.
SENDS_LIMIT = 6
REQUESTS_PER_INSTANCE = 8


class CrashingFleet(GatewayFleet):
    """A fleet whose servers end when they run the crashing request."""

    def __init__(self, count, server_count):
        self.ended_servers = []
        super().__init__(count, server_count)

    def _new_server(self):
        entry = super()._new_server()

        def crash(sock, request):
            if entry.server_id in self.backends:
                self.ended_servers.append(entry.server_id)
                self.replace_server(entry.server_id)
            return False

        self.backends[entry.server_id].answers[CRASHING_PATH] = crash
        return entry


class CrashingRequestTest(unittest.TestCase):
    def setUp(self):
        self.fleet = CrashingFleet(3, 4)
        self.addCleanup(self.fleet.stop)

    def _send_to_all(self, count, path=CRASHING_PATH):
        statuses = []
        for number in range(count):
            for index in range(3):
                request_id = f"{path}-{number}-{index}"
                answer = self.fleet.exchange(index, path, request_id)
                statuses.append(answer.status)
                eventlet.sleep(0.05)
        return statuses

    def test_a_request_that_ends_its_servers_is_not_sent_on_by_any_instance(self):
        statuses = self._send_to_all(REQUESTS_PER_INSTANCE)
        self.assertLessEqual(len(self.fleet.ended_servers), SENDS_LIMIT)
        self.assertNotIn(200, statuses)

    def test_other_requests_are_served_while_one_ends_its_servers(self):
        self._send_to_all(REQUESTS_PER_INSTANCE)
        statuses = self._send_to_all(2, "/read/sound")
        self.assertEqual(statuses, [200] * len(statuses))


if __name__ == "__main__":
    unittest.main()
