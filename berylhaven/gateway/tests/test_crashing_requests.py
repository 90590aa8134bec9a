"""A request under which its servers end is no longer sent to servers."""

import unittest

import eventlet

from berylhaven.gateway.tests._gateway_fleet import GatewayFleet
from berylhaven.gateway.tests._gateway_path import READS
from berylhaven.http1.tests._raw_backend import answer_ok

CRASHING_PATH = "/read/crash"
# Three servers may end before the request is recognised; three more sends are allowed.
SENDS_LIMIT = 6
REQUESTS_PER_INSTANCE = 8
# An instance that starts has learned the evidence after this time.
LEARNING_TIME_S = 1.5


class CrashingFleet(GatewayFleet):
    """A fleet whose servers end when they run the crashing request."""

    def __init__(self, count, server_count):
        self.ended_servers = []
        super().__init__(count, server_count)

    def _new_server(self, service=READS):
        entry = super()._new_server(service)

        def crash(sock, request):
            if entry.server_id in self.backends:
                self.ended_servers.append(entry.server_id)
                self.replace_server(entry.server_id)
            return False

        def answer_slowly(sock, request):
            eventlet.sleep(0.1)
            answer_ok(sock, request)

        answers = self.backends[entry.server_id].answers
        answers[CRASHING_PATH] = crash
        answers["/read/popular"] = answer_slowly
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

    def test_an_instance_that_starts_later_refuses_the_request_too(self):
        self._send_to_all(REQUESTS_PER_INSTANCE)
        late = self.fleet.add_member()
        eventlet.sleep(LEARNING_TIME_S)
        ended_count = len(self.fleet.ended_servers)
        answer = self.fleet.exchange(
            self.fleet.members.index(late), CRASHING_PATH, "late"
        )
        self.assertEqual(answer.status, 503)
        self.assertEqual(len(self.fleet.ended_servers), ended_count)

    def test_a_refusal_says_not_run_only_for_an_id_that_did_not_run(self):
        self._send_to_all(REQUESTS_PER_INSTANCE)
        first_id = f"{CRASHING_PATH}-0-0"
        self.assertEqual(self.fleet.exchange(0, CRASHING_PATH, first_id).status, 502)
        answer = self.fleet.exchange(0, CRASHING_PATH, "new")
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0)

    def test_a_log_line_names_the_fingerprint_and_the_ended_server(self):
        self._send_to_all(2)
        eventlet.sleep(0.1)
        log = b"".join(member.log for member in self.fleet.members).decode()
        self.assertIn('event="server ended under request"', log)
        self.assertIn(f"server={self.fleet.ended_servers[0]}", log)

    def test_a_request_whose_connections_servers_reset_is_still_sent(self):
        def reset(sock, request):
            return False

        for backend in self.fleet.backends.values():
            backend.answers["/read/reset"] = reset
        statuses = self._send_to_all(REQUESTS_PER_INSTANCE, "/read/reset")
        # Servers received each of them; a held request would be answered with 503.
        self.assertEqual(set(statuses), {502})

    def test_a_popular_request_is_served_when_all_servers_have_ended_at_once(self):
        self._send_to_all(1, "/read/popular")
        for _ in range(3):
            threads = [
                eventlet.spawn(self.fleet.exchange, index % 3, "/read/popular", "id")
                for index in range(12)
            ]
            eventlet.sleep(0.05)
            for server_id in list(self.fleet.backends):
                self.fleet.replace_server(server_id)
            for thread in threads:
                thread.wait()
            eventlet.sleep(0.6)
        statuses = self._send_to_all(2, "/read/popular")
        self.assertEqual(statuses, [200] * len(statuses))


if __name__ == "__main__":
    unittest.main()
