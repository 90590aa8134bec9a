"""Tests of what follows when a backend server refuses, fails, or answers strangely."""

import unittest

import eventlet

from berylhaven.gateway._attempt_runner import FULL_SERVER_BACKOFF_S
from berylhaven.gateway._fleet_follower import WATCH_GAP_S
from berylhaven.gateway._server_probe import REPORT_FRESHNESS_S
from berylhaven.gateway.tests._gateway_path import (
    HEALTH_PATH,
    ORDERS,
    READS,
    GatewayPath,
    configuration,
    request_bytes,
    route,
)
from berylhaven.routes import RequestKind

HEAD = b"HTTP/1.1 200 OK\r\n"
OK = HEAD + b"Wordy-Id: a\r\nContent-Length: 2\r\n\r\nok"
NOT_RUN = b"HTTP/1.1 503 Full\r\nWordy-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
FAILED = b"HTTP/1.1 500 Broken\r\nContent-Length: 4\r\n\r\noops"


class Answers:
    """Answers the requests of a service one after another, the last one for ever."""

    def __init__(self, *answers):
        self.answers = list(answers)

    def __call__(self, sock, request):
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if callable(answer):
            return answer(sock, request)
        sock.sendall(answer)
        return True


def reset(sock, request):
    """Break the connection without an answer."""
    return False


def cut(data):
    """Answer with some bytes and close."""

    def answer(sock, request):
        sock.sendall(data)
        return False

    return answer


def never(sock, request):
    """Answer nothing until the other side closes."""
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

    def ask(self, path, *answers, method="GET", body=None, **headers):
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
                # A server that said it is full is passed over for a moment.
                eventlet.sleep(2 * FULL_SERVER_BACKOFF_S)
                before = len(self.path.requests(READS))
                answer, count = self.ask("/read/x", first, OK)
                self.assertEqual((answer.status, answer.body), (200, b"ok"))
                self.assertEqual(count - before, 2)

    def test_a_once_only_request_is_sent_again_only_if_it_did_not_run(self):
        answer, count = self.ask("/order/x", NOT_RUN, OK, method="POST", body=b"1")
        self.assertEqual((answer.status, count), (200, 2))

    def test_a_once_only_request_is_not_repeated_after_an_unknown_end(self):
        for first, status in ((reset, 502), (FAILED, 500)):
            with self.subTest(first):
                before = len(self.path.requests(ORDERS))
                answer, count = self.ask(
                    "/order/x", first, OK, method="POST", body=b"1"
                )
                self.assertEqual(answer.status, status)
                self.assertEqual(count - before, 1)

    def test_a_refusal_by_all_servers_says_not_run_and_when_to_come_back(self):
        answer, count = self.ask("/order/x", NOT_RUN, method="POST", body=b"1")
        self.assertEqual((answer.status, count), (503, 2))
        self.assertGreater(float(answer.headers["retry-after"]), 0)

    def test_an_unknown_end_is_never_told_as_not_run(self):
        answer, _ = self.ask("/order/x", NOT_RUN, reset, method="POST", body=b"1")
        self.assertEqual(answer.status, 502)

    def test_a_servers_failure_is_passed_on_unchanged(self):
        answer, _ = self.ask("/read/x", FAILED)
        self.assertEqual((answer.status, answer.body), (500, b"oops"))

    def test_the_answer_of_another_request_is_passed_over(self):
        foreign = HEAD + b"Wordy-Id: z\r\nContent-Length: 3\r\n\r\nbad"
        answer, count = self.ask("/order/x", foreign + OK, method="POST", body=b"1")
        self.assertEqual((answer.body, count), (b"ok", 1))

    def test_an_answer_without_a_length_ends_with_its_connection(self):
        answer, _ = self.ask("/read/x", cut(HEAD + b"Wordy-Id: a\r\n\r\nall of it"))
        self.assertEqual(answer.body, b"all of it")

    def test_surplus_bytes_reach_nobody(self):
        self.path.answer_all(READS, Answers(OK + b"HTTP/1.1 200 OK\r\n\r\n"))
        with self.path.connect() as caller:
            for _ in range(4):
                answer = caller.exchange("/read/x")
                self.assertEqual((answer.status, answer.body), (200, b"ok"))

    def test_an_early_answer_to_a_long_body_is_taken_and_its_connection_dropped(self):
        def early(sock, request):
            sock.sendall(NOT_RUN)
            return False

        body = b"x" * 900_000
        answer, _ = self.ask("/upload/x", early, OK, method="POST", body=body)
        self.assertEqual(answer.status, 200)
        whole = [r for r in self.path.requests(ORDERS) if r.is_whole]
        self.assertEqual(whole[-1].body, body)

    def test_the_routes_timeout_ends_a_request_at_once(self):
        with eventlet.Timeout(1.0):
            answer, count = self.ask("/short/x", never)
        self.assertEqual((answer.status, count), (504, 1))

    def test_the_callers_time_left_is_handed_on_and_ends_the_request(self):
        with eventlet.Timeout(1.0):
            answer, _ = self.ask("/read/x", never, Wordy_Left_Ms="700")
        self.assertEqual(answer.status, 504)
        for request in self.path.requests(READS):
            self.assertLessEqual(int(request.header("Wordy-Left-Ms")), 700)
            self.assertTrue(request.header("Wordy-Server").startswith("reads-"))

    def test_a_late_idempotent_request_is_sent_to_a_second_server(self):
        answer, count = self.ask("/read/x", never, OK)
        self.assertEqual((answer.status, count), (200, 2))

    def test_a_late_once_only_request_is_waited_for(self):
        answer, count = self.ask(
            "/order/x", never, OK, method="POST", body=b"1", Wordy_Left_Ms="900"
        )
        self.assertEqual((answer.status, count), (504, 1))

    def test_a_server_that_left_gets_no_new_request(self):
        self.path.answer_all(READS, Answers(OK))
        self.path.remove_server("reads-0")
        eventlet.sleep(2 * WATCH_GAP_S)
        with self.path.connect() as caller:
            for _ in range(8):
                caller.exchange("/read/x")
        gone, staying = self.path.backends[READS]
        paths = [request.path for request in gone.requests]
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
                eventlet.sleep(2 * REPORT_FRESHNESS_S)

    def test_servers_that_tell_no_load_are_not_probed(self):
        with eventlet.Timeout(10.0):
            # A server is known to tell no load from its first answer on.
            while any(b.requests_of("/read/x") == 0 for b in self.path.backends[READS]):
                self.send_reads(OK)
        before = self.probe_count()
        self.send_reads(OK)
        self.assertEqual(self.probe_count(), before)

    def test_servers_that_tell_their_load_are_probed_before_a_choice(self):
        self.send_reads(
            OK.replace(b"Wordy-Id: a", b"Wordy-Id: a\r\nWordy-Load: 0,0,4,1")
        )
        self.assertGreaterEqual(self.probe_count(), 6)

    def test_a_server_that_answers_no_probe_gets_no_request(self):
        told = OK.replace(b"Wordy-Id: a", b"Wordy-Id: a\r\nWordy-Load: 0,0,4,3")
        sound, silent = self.path.backends[ORDERS]
        sound.answers = {HEALTH_PATH: Answers(told), "/order/x": Answers(told)}
        silent.answers = {HEALTH_PATH: never, "/order/x": never}
        with self.path.connect() as caller:
            for _ in range(6):
                answer = caller.exchange(
                    "/order/x", "a", "POST", b"1", Wordy_Left_Ms="900"
                )
                self.assertEqual(answer.status, 200)
                eventlet.sleep(2 * REPORT_FRESHNESS_S)
        self.assertEqual(silent.requests_of("/order/x"), 0)

    def test_a_server_whose_address_another_has_taken_is_passed_over(self):
        foreign = NOT_RUN.replace(b"Wordy-Not-Run", b"Wordy-Server: x\r\nWordy-Not-Run")
        told = OK.replace(b"Wordy-Id: a", b"Wordy-Id: a\r\nWordy-Load: 0,0,4,1")
        sound, taken = self.path.backends[READS]
        sound.answers = {"/read/x": Answers(told)}
        taken.answers = {"/read/x": Answers(foreign)}
        with self.path.connect() as caller:
            for _ in range(8):
                self.assertEqual(caller.exchange("/read/x").status, 200)
                eventlet.sleep(2 * FULL_SERVER_BACKOFF_S)
        self.assertLessEqual(taken.requests_of("/read/x"), 1)

    def test_no_more_connections_than_this_instances_part_go_to_a_server(self):
        # 100 connections are shared by 16 instances at least.
        part = 100 // 16
        self.path.answer_all(ORDERS, never)
        callers = [self.path.connect() for _ in range(4 * part)]
        for number, caller in enumerate(callers):
            self.addCleanup(caller.close)
            caller.send(request_bytes("/order/x", str(number), "POST", b"1"))
        eventlet.sleep(0.3)
        for backend in self.path.backends[ORDERS]:
            open_now = [r for r in backend.requests if r.path == "/order/x"]
            self.assertLessEqual(len(open_now), part)

    def test_requests_wait_for_no_other_on_a_connection(self):
        self.path.answer_all(ORDERS, Answers(OK))
        with self.path.connect() as caller:
            caller.send(request_bytes("/order/x", "a", "POST", b"1"))
            self.assertEqual(caller.answer().status, 200)

    def test_an_instance_that_has_just_started_takes_a_small_part_of_the_retries(self):
        # The largest deployment has 220 instances, which may all start at once.
        self.assertGreaterEqual(self.path.instance._sharer_count(), 220)
