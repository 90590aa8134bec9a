"""Callers of an instance that reaches no server are served by way of the others."""

import unittest

import eventlet
import eventlet.event

from berylhaven.clock import monotonic_s
from berylhaven.gateway.tests._gateway_fleet import GatewayFleet, ServerCut
from berylhaven.gateway.tests._gateway_path import (
    READS,
    Caller,
    GatewayPath,
    request_bytes,
)
from berylhaven.http1.tests._raw_backend import answer_ok, answers_raw

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

    def test_instances_use_their_own_connections_again_once_the_cut_has_ended(self):
        cut = self.cut(0)
        self.use_and_wait(0)
        cut.end()
        eventlet.sleep(1.0)
        self.assert_served(self.statuses(0, "/read/late"))
        mask = self.fleet.members[0].instance._members.own.unreached_mask
        self.assertEqual(mask, 0)

    def test_locate_answers_name_instances_that_reach_the_servers(self):
        self.cut(0)
        self.use_and_wait(0)
        eventlet.sleep(1.0)
        cut_address = self.fleet.members[0].callers_address
        for member in self.fleet.members:
            with self.subTest(member=member.callers_address):
                addresses = member.instance.locate("here").addresses
                self.assertNotIn(cut_address, addresses)
                self.assertEqual(len(addresses), 3)

    def test_if_no_instance_reaches_a_server_requests_are_refused_at_once(self):
        self.cut(0, 1, 2, 3)
        for index in range(4):
            self.use_and_wait(index)
        eventlet.sleep(1.0)
        began_at_s = monotonic_s()
        statuses = self.statuses(0, "/read/late")
        self.assertEqual(set(statuses), {503})
        # Each request is followed by a pause of 0.02 s.
        duration_s = (monotonic_s() - began_at_s) / REQUEST_COUNT
        self.assertLess(duration_s, 0.5)


class PassedOnRequestTest(unittest.TestCase):
    """What a request keeps on its way through another instance."""

    def setUp(self):
        self.fleet = GatewayFleet(3, 3)
        self.addCleanup(self.fleet.stop)
        cut = ServerCut(False)
        cut.__enter__()
        self.addCleanup(cut.__exit__)
        cut.begin(self.fleet.members[0])
        for number in range(12):
            for path, method in (("/read/early", "GET"), ("/order/early", "POST")):
                self.exchange(f"{path}-{number}", path, method, b"")
            eventlet.sleep(0.05)

    def exchange(self, request_id, path, method="GET", body=None, **headers):
        return self.fleet.exchange(0, path, request_id, method, body, **headers)

    def answer(self, path, answer):
        for backend in self.fleet.backends.values():
            backend.answers[path] = answer

    def test_an_upload_arrives_whole_with_or_without_length(self):
        received = []

        def answer(sock, request):
            received.append(request.body)
            answer_ok(sock, request)

        self.answer("/upload/x", answer)
        body = bytes(range(256)) * 12_000
        self.assertEqual(self.exchange("a", "/upload/x", "POST", body).status, 200)
        with Caller(self.fleet.members[0].callers_address) as caller:
            head = request_bytes("/upload/x", "b", "POST", Transfer_Encoding="chunked")
            caller.send(head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body))
            self.assertEqual(caller.answer().status, 200)
        self.assertEqual(received, [body, body])

    def test_an_order_whose_answer_is_lost_runs_once_and_is_not_told_as_not_run(self):
        self.answer("/order/lost", lambda sock, request: False)
        answer = self.exchange("lost", "/order/lost", "POST", b"order")
        self.assertEqual(answer.status, 502)
        self.assertEqual(self.fleet.requests("/order/lost"), 1)

    def test_a_read_whose_answers_are_lost_goes_to_no_more_servers_than_allowed(self):
        # Guards against attempts of each instance that it is passed on to.
        self.answer("/read/lost", lambda sock, request: False)
        self.assertEqual(self.exchange("lost", "/read/lost").status, 502)
        self.assertLessEqual(self.fleet.requests("/read/lost"), 2)

    def test_an_answer_that_is_none_at_the_other_instance_is_none_here(self):
        # Guards against a status 000, or a part of an answer, by way of two instances.
        for number, data in enumerate(
            (b"HTTP/1.1 000 X\r\n\r\n", b"HTTP/1.1 200 X\r\nA")
        ):
            path = f"/order/none-{number}"
            self.answer(path, answers_raw(data, keeps_open=False))
            answer = self.exchange(f"none-{number}", path, "POST", b"order")
            self.assertEqual((answer.status, self.fleet.requests(path)), (502, 1))

    def test_an_order_that_the_other_instance_refuses_is_told_as_not_run(self):
        refusal = b"HTTP/1.1 503 Full\r\nWordy-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        self.answer("/order/full", answers_raw(refusal))
        answer = self.exchange("full", "/order/full", "POST", b"order")
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)

    def test_the_answer_of_a_server_comes_whole_and_without_our_headers(self):
        answer = b"HTTP/1.1 500 Broken\r\nX-Seal: s-1\r\nContent-Length: 5\r\n\r\nerror"
        self.answer("/order/error", answers_raw(answer))
        received = self.exchange("error", "/order/error", "POST", b"order")
        self.assertEqual((received.status, received.body), (500, b"error"))
        self.assertEqual(received.headers["x-seal"], "s-1")
        names = [name for name in received.headers if name.startswith("berylhaven")]
        self.assertEqual(names, [])

    def test_servers_get_the_time_left_the_target_and_none_of_our_headers(self):
        heads = []

        def answer(sock, request):
            heads.append(request)
            answer_ok(sock, request)

        self.answer("/read/head", answer)
        self.exchange("head", "/read/head", Wordy_Left_Ms=1200)
        (request,) = heads
        self.assertLess(int(request.header("Wordy-Left-Ms")), 1200)
        self.assertIn(request.header("Wordy-Server"), self.fleet.backends)
        self.assertIsNone(request.header("Berylhaven-Passed-On"))

    def test_a_caller_that_leaves_ends_the_work_at_the_server(self):
        started, ended = eventlet.event.Event(), eventlet.event.Event()

        def answer(sock, request):
            started.send()
            ended.send(sock.recv(1))
            return False

        self.answer("/order/left", answer)
        caller = Caller(self.fleet.members[0].callers_address)
        caller.send(request_bytes("/order/left", "left", "POST", b"order"))
        with eventlet.Timeout(2.0):
            started.wait()
        caller.close()
        with eventlet.Timeout(0.5):
            self.assertEqual(ended.wait(), b"")

    def test_a_planned_stop_of_the_other_instances_cuts_no_passed_on_request(self):
        started = eventlet.event.Event()

        def answer(sock, request):
            started.send()
            eventlet.sleep(1.0)
            answer_ok(sock, request)

        self.answer("/order/slow", answer)
        with Caller(self.fleet.members[0].callers_address) as caller:
            caller.send(request_bytes("/order/slow", "slow", "POST", b"order"))
            with eventlet.Timeout(2.0):
                started.wait()
            for member in self.fleet.members[1:]:
                member.instance.leave()
            self.assertEqual(caller.answer().status, 200)
        self.assertEqual(self.fleet.requests("/order/slow"), 1)

    def test_a_passed_on_request_goes_no_further(self):
        request = self.fleet.exchange(
            0, "/read/hop", "hop", Berylhaven_Passed_On="2", Wordy_Left_Ms=1000
        )
        self.assertEqual(request.status, 503)
        self.assertEqual(self.fleet.requests("/read/hop"), 0)


class ForgedHeaderTest(unittest.TestCase):
    def test_callers_cannot_use_the_header_of_passed_on_requests(self):
        path = GatewayPath()
        self.addCleanup(path.stop)
        with path.connect() as caller:
            answer = caller.exchange("/read/x", "x", Berylhaven_Passed_On="1")
        self.assertEqual(answer.status, 200)
        self.assertNotIn("berylhaven-outcome", answer.headers)
        self.assertIsNone(path.requests(READS)[0].header("Berylhaven-Passed-On"))


if __name__ == "__main__":
    unittest.main()
