"""Tests of the reaction to backend servers that refuse, fail or answer unexpectedly."""

import unittest
from unittest import mock

import eventlet

from berylhaven.attempts import AttemptEnd, AttemptFailed
from berylhaven.gateway.requests._attempt_coordinator import AttemptCoordinator
from berylhaven.gateway.requests._attempt_runner import FULL_SERVER_BACKOFF_S
from berylhaven.gateway.requests._peer_forwarder import PeerBusy
from berylhaven.gateway.servers._server_probe import FRESH_REPORT_S
from berylhaven.gateway.store._fleet_follower import WATCH_PAUSE_S
from berylhaven.gateway.tests._gateway_path import (
    HEALTH_PATH,
    ORDERS,
    READS,
    GatewayPath,
    configuration,
    request_bytes,
    route,
)
from berylhaven.http1 import ConnectionPool
from berylhaven.routes import RequestKind

HEAD = b"HTTP/1.1 200 OK\r\n"
OK = HEAD + b"Wordy-Id: a\r\nContent-Length: 2\r\n\r\nok"
NOT_RUN = b"HTTP/1.1 503 Full\r\nWordy-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
FAILED = b"HTTP/1.1 500 Broken\r\nContent-Length: 4\r\n\r\noops"


class Answers:
    """Returns the given answers in order, and repeats the last one."""

    def __init__(self, *answers):
        self.answers = list(answers)

    def __call__(self, sock, request):
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if callable(answer):
            return answer(sock, request)
        sock.sendall(answer)
        return True


def reset(sock, request):
    """Close the connection without an answer."""
    return False


def cut(data):
    """Return a handler that sends the data and closes the connection."""

    def answer(sock, request):
        sock.sendall(data)
        return False

    return answer


def never(sock, request):
    """Send no answer until the peer closes the connection."""
    sock.recv(1)
    return False


class AttemptsTest(unittest.TestCase):
    def setUp(self):
        self.path = GatewayPath(
            configuration(
                routes=(
                    route("/read/"),
                    route("/order/", RequestKind.ONCE_ONLY, ORDERS),
                    route("/upload/", RequestKind.UPLOAD, ORDERS),
                    route(
                        "/short/",
                        timeout_s=0.3,
                        attempt_limit=1,
                        latency_objective_s=0.1,
                    ),
                )
            )
        )
        self.addCleanup(self.path.stop)

    def send_request(self, path, *answers, method="GET", body=None, **headers):
        service = READS if path.startswith(("/read/", "/short/")) else ORDERS
        self.path.answer_all(service, Answers(*answers))
        with self.path.connect() as caller:
            answer = caller.exchange(path, "a", method, body, **headers)
        return answer, len(self.path.requests(service))

    def test_an_idempotent_request_is_sent_to_another_server_after_any_failure(self):
        for first in (
            NOT_RUN,
            FAILED,
            reset,
            cut(HEAD + b"Content-Length: 9\r\n\r\nx"),
        ):
            with self.subTest(first):
                # A server that reported that it is full is skipped for a short time.
                eventlet.sleep(2 * FULL_SERVER_BACKOFF_S)
                before = len(self.path.requests(READS))
                answer, count = self.send_request("/read/x", first, OK)
                self.assertEqual((answer.status, answer.body), (200, b"ok"))
                self.assertEqual(count - before, 2)

    def test_a_once_only_request_is_sent_again_only_if_it_did_not_run(self):
        answer, count = self.send_request(
            "/order/x", NOT_RUN, OK, method="POST", body=b"1"
        )
        self.assertEqual((answer.status, count), (200, 2))

    def test_a_once_only_request_is_not_retried_after_an_unknown_outcome(self):
        for first, status in ((reset, 502), (FAILED, 500)):
            with self.subTest(first):
                before = len(self.path.requests(ORDERS))
                answer, count = self.send_request(
                    "/order/x", first, OK, method="POST", body=b"1"
                )
                self.assertEqual(answer.status, status)
                self.assertEqual(count - before, 1)

    def test_a_refusal_by_all_servers_gives_503_with_retry_after(self):
        answer, count = self.send_request("/order/x", NOT_RUN, method="POST", body=b"1")
        self.assertEqual((answer.status, count), (503, 2))
        self.assertGreater(float(answer.headers["retry-after"]), 0)

    def test_an_unknown_outcome_is_not_reported_as_not_run(self):
        answer, _ = self.send_request(
            "/order/x", NOT_RUN, reset, method="POST", body=b"1"
        )
        self.assertEqual(answer.status, 502)

    def test_a_server_error_is_forwarded_unchanged(self):
        answer, _ = self.send_request("/read/x", FAILED)
        self.assertEqual((answer.status, answer.body), (500, b"oops"))

    def test_the_answer_of_another_request_is_skipped(self):
        foreign = HEAD + b"Wordy-Id: z\r\nContent-Length: 3\r\n\r\nbad"
        answer, count = self.send_request(
            "/order/x", foreign + OK, method="POST", body=b"1"
        )
        self.assertEqual((answer.body, count), (b"ok", 1))

    def test_an_answer_without_a_length_ends_with_its_connection(self):
        answer, _ = self.send_request(
            "/read/x", cut(HEAD + b"Wordy-Id: a\r\n\r\nall of it")
        )
        self.assertEqual(answer.body, b"all of it")

    def test_surplus_bytes_are_not_forwarded(self):
        self.path.answer_all(READS, Answers(OK + b"HTTP/1.1 200 OK\r\n\r\n"))
        with self.path.connect() as caller:
            for _ in range(4):
                answer = caller.exchange("/read/x")
                self.assertEqual((answer.status, answer.body), (200, b"ok"))

    def test_an_early_answer_to_a_long_body_is_used_and_its_connection_dropped(self):
        def early(sock, request):
            sock.sendall(NOT_RUN)
            return False

        body = b"x" * 900_000
        answer, _ = self.send_request("/upload/x", early, OK, method="POST", body=body)
        self.assertEqual(answer.status, 200)
        whole = [r for r in self.path.requests(ORDERS) if r.is_complete]
        self.assertEqual(whole[-1].body, body)

    def test_the_routes_timeout_ends_a_request_at_once(self):
        with eventlet.Timeout(1.0):
            answer, count = self.send_request("/short/x", never)
        self.assertEqual((answer.status, count), (504, 1))

    def test_the_callers_time_left_is_forwarded_and_limits_the_request(self):
        with eventlet.Timeout(1.0):
            answer, _ = self.send_request("/read/x", never, Wordy_Left_Ms="700")
        self.assertEqual(answer.status, 504)
        for request in self.path.requests(READS):
            self.assertLessEqual(int(request.header("Wordy-Left-Ms")), 700)
            self.assertTrue(request.header("Wordy-Server").startswith("reads-"))

    def test_a_delayed_idempotent_request_is_hedged(self):
        answer, count = self.send_request("/read/x", never, OK)
        self.assertEqual((answer.status, count), (200, 2))

    def test_a_delayed_once_only_request_is_not_hedged(self):
        answer, count = self.send_request(
            "/order/x", never, OK, method="POST", body=b"1", Wordy_Left_Ms="900"
        )
        self.assertEqual((answer.status, count), (504, 1))

    def test_a_removed_server_gets_no_new_request(self):
        self.path.answer_all(READS, Answers(OK))
        self.path.remove_server("reads-0")
        eventlet.sleep(2 * WATCH_PAUSE_S)
        with self.path.connect() as caller:
            for _ in range(8):
                caller.exchange("/read/x")
        removed, remaining = self.path.backends[READS]
        paths = [request.path for request in removed.requests]
        self.assertEqual(paths.count("/read/x"), 0)

    def probe_count(self):
        return sum(
            request.path == HEALTH_PATH
            for backend in self.path.backends[READS]
            for request in backend.requests
        )

    def send_reads(self, answer):
        self.path.answer_all(READS, Answers(answer))
        with self.path.connect() as caller:
            for _ in range(6):
                self.assertEqual(caller.exchange("/read/x").status, 200)
                eventlet.sleep(2 * FRESH_REPORT_S)

    def test_servers_without_load_reports_are_not_probed(self):
        with eventlet.Timeout(10.0):
            # A first answer without a load report shows that the server sends none.
            while any(
                b.count_requests("/read/x") == 0 for b in self.path.backends[READS]
            ):
                self.send_reads(OK)
        before = self.probe_count()
        self.send_reads(OK)
        self.assertEqual(self.probe_count(), before)

    def test_servers_with_load_reports_are_probed_before_a_choice(self):
        self.send_reads(
            OK.replace(b"Wordy-Id: a", b"Wordy-Id: a\r\nWordy-Load: 0,0,4,1")
        )
        self.assertGreaterEqual(self.probe_count(), 6)

    def test_a_probe_whose_answer_has_no_length_fails_no_request(self):
        # Guards against a 500 for a request that was sent to no server.
        with_load = OK.replace(b"Wordy-Id: a", b"Wordy-Load: 0,0,4,1\r\nWordy-Id: a")
        without_length = HEAD + b"Wordy-Load: 0,0,4,1\r\n\r\nok"
        for backend in self.path.backends[READS]:
            backend.answers = {
                HEALTH_PATH: cut(without_length),
                "/read/x": Answers(with_load),
            }
        with self.path.connect() as caller:
            for _ in range(4):
                self.assertEqual(caller.exchange("/read/x").status, 200)
                eventlet.sleep(2 * FRESH_REPORT_S)

    def test_an_unresponsive_server_gets_no_request(self):
        with_load = OK.replace(b"Wordy-Id: a", b"Wordy-Id: a\r\nWordy-Load: 0,0,4,3")
        responsive, unresponsive = self.path.backends[ORDERS]
        responsive.answers = {
            HEALTH_PATH: Answers(with_load.replace(b"Wordy-Id: a\r\n", b"")),
            "/order/x": Answers(with_load),
        }
        unresponsive.answers = {HEALTH_PATH: never, "/order/x": never}
        with self.path.connect() as caller:
            for _ in range(6):
                answer = caller.exchange(
                    "/order/x", "a", "POST", b"1", Wordy_Left_Ms="900"
                )
                self.assertEqual(answer.status, 200)
                eventlet.sleep(2 * FRESH_REPORT_S)
        self.assertEqual(unresponsive.count_requests("/order/x"), 0)

    def test_a_server_whose_address_was_reassigned_is_skipped(self):
        foreign = NOT_RUN.replace(b"Wordy-Not-Run", b"Wordy-Server: x\r\nWordy-Not-Run")
        with_load = OK.replace(b"Wordy-Id: a", b"Wordy-Id: a\r\nWordy-Load: 0,0,4,1")
        responsive, reassigned = self.path.backends[READS]
        responsive.answers = {"/read/x": Answers(with_load)}
        reassigned.answers = {"/read/x": Answers(foreign)}
        with self.path.connect() as caller:
            for _ in range(8):
                self.assertEqual(caller.exchange("/read/x").status, 200)
                eventlet.sleep(2 * FULL_SERVER_BACKOFF_S)
        self.assertLessEqual(reassigned.count_requests("/read/x"), 1)

    def test_connections_to_a_server_stay_within_this_instances_share(self):
        # At least 16 instances share the limit of 100 connections.
        share = 100 // 16
        self.path.answer_all(ORDERS, never)
        callers = [self.path.connect() for _ in range(4 * share)]
        for number, caller in enumerate(callers):
            self.addCleanup(caller.close)
            caller.send(request_bytes("/order/x", str(number), "POST", b"1"))
        eventlet.sleep(0.3)
        for backend in self.path.backends[ORDERS]:
            open_now = [r for r in backend.requests if r.path == "/order/x"]
            self.assertLessEqual(len(open_now), share)

    def test_a_request_tries_another_server_if_others_took_the_last_connection(self):
        # It was refused, although nothing had been sent and another server was free.
        pool = self.path.instance._forwarder._runner._pool
        original, addresses = pool.acquire, []

        def acquire(address, *arguments, **options):
            # Probes name no request.
            is_request = "request_id" in options
            if is_request:
                addresses.append(address)
            if is_request and len(addresses) == 1:
                raise AttemptFailed(AttemptEnd.CONNECTION_LIMIT, "all are in use")
            return original(address, *arguments, **options)

        upload = ("POST", b"x" * 1_500_000)
        for path, method, body in (("/short/x", "GET", None), ("/upload/x", *upload)):
            addresses.clear()
            with (
                self.subTest(path),
                mock.patch.object(ConnectionPool, "acquire", staticmethod(acquire)),
            ):
                answer, count = self.send_request(path, OK, method=method, body=body)
                self.assertEqual((answer.status, count), (200, 1))
                self.assertEqual(len(set(addresses)), 2)

    def test_a_busy_instance_leaves_the_count_of_sent_attempts_as_it_is(self):
        # Each one allowed the request a further server beyond its route's limit.
        busy = PeerBusy(AttemptEnd.CONNECTION_LIMIT, "all are in use")
        coordinator = AttemptCoordinator.__new__(AttemptCoordinator)
        coordinator.failures = [busy]
        self.assertFalse(coordinator._is_untried(busy))

    def test_requests_wait_for_no_other_on_a_connection(self):
        self.path.answer_all(ORDERS, Answers(OK))
        with self.path.connect() as caller:
            caller.send(request_bytes("/order/x", "a", "POST", b"1"))
            self.assertEqual(caller.answer().status, 200)

    def test_a_new_instance_uses_a_small_share_of_the_retries(self):
        # The largest deployment has 220 instances, which may all start together.
        self.assertGreaterEqual(self.path.instance._sharer_count(), 220)
