"""Tests against backend servers that send an answer twice on a kept connection."""

import unittest

import eventlet

from berylhaven.gateway.requests._attempt_runner import FULL_SERVER_BACKOFF_S
from berylhaven.gateway.servers._server_probe import FRESH_REPORT_S
from berylhaven.gateway.tests._gateway_path import (
    HEALTH_PATH,
    ID_HEADER,
    ORDERS,
    GatewayPath,
)

PROBE_S = 0.006
WORK_S = 0.02
LOAD_LINE = "Wordy-Load: 0,0,4,1\r\n"
PROBE_ANSWER = f"HTTP/1.1 200 OK\r\n{LOAD_LINE}Content-Length: 2\r\n\r\nok".encode()
REFUSAL = b"HTTP/1.1 503 Full\r\nWordy-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


def success(request_id):
    """Return an answer that names its request in the head and in the body."""
    body = f"done {request_id}"
    return (
        f"HTTP/1.1 200 OK\r\n{ID_HEADER}: {request_id}\r\n{LOAD_LINE}"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def named_refusal(request_id):
    """Return a refusal with the id of its request."""
    return REFUSAL[:-2] + f"{ID_HEADER}: {request_id}\r\n\r\n".encode()


class RepeatingServer:
    """Answers all paths; sends a second copy where the next answer is due."""

    def __init__(self, first_answer, repeated_answer, repeats_at_probes=False):
        self.first_answer = first_answer
        self.repeats_at_probes = repeats_at_probes
        self.repeated_answer = repeated_answer
        # The copies that are still due, by connection.
        self.kept = {}
        self.run_ids = []

    def get(self, path, default):
        return self.answer_probe if path == HEALTH_PATH else self.answer_request

    def answer_probe(self, sock, request):
        if self.repeats_at_probes:
            self.send_kept(request.sock)
        eventlet.sleep(PROBE_S)
        request.sock.sendall(PROBE_ANSWER)

    def answer_request(self, sock, request):
        request_id = request.header(ID_HEADER)
        if self.send_kept(request.sock) or self.first_answer is None:
            self.run_ids.append(request_id)
            eventlet.sleep(WORK_S)
            request.sock.sendall(success(request_id))
        else:
            request.sock.sendall(self.first_answer(request_id))
        self.kept[request.sock] = self.repeated_answer(request_id)

    def send_kept(self, sock):
        """Send the second copy of the last answer; return whether there was one."""
        copy = self.kept.pop(sock, None)
        if copy is not None:
            sock.sendall(copy)
        return copy is not None


def failure(request_id):
    """Return the answer of a server that failed to run a request."""
    head = success(request_id).partition(b"\r\n")[2]
    return b"HTTP/1.1 500 Failed\r\n" + head


class PartRepeatingServer:
    """Sends a part of the previous answer where that to each second request is due."""

    def __init__(self, previous_answer):
        self.previous_answer = previous_answer
        # The last id on each connection.
        self.last_ids = {}
        # The length of the next part; a later connection continues with the next one.
        self.end = 0
        self.sent_count = 0

    def get(self, path, default):
        return default if path == HEALTH_PATH else self.answer

    def answer(self, sock, request):
        request_id = request.header(ID_HEADER)
        last_id = self.last_ids.pop(request.sock, None)
        if last_id is None:
            self.last_ids[request.sock] = request_id
            request.sock.sendall(success(request_id))
            return
        previous = self.previous_answer(last_id)
        part = previous[: self.end % len(previous)]
        self.end += 1
        self.sent_count += 1
        request.sock.sendall(part + failure(request_id))


class RepeatedAnswersTest(unittest.TestCase):
    def setUp(self):
        self.path = GatewayPath()
        self.addCleanup(self.path.stop)

    def set_servers(self, *args, **kwargs):
        servers = []
        for backend in self.path.backends[ORDERS]:
            backend.answers = RepeatingServer(*args, **kwargs)
            servers.append(backend.answers)
        return servers

    def test_a_second_answer_is_not_taken_for_the_answer_to_a_probe(self):
        # Guards against a success with the body of a health check.
        self.path.remove_server("orders-1")
        self.set_servers(None, success, repeats_at_probes=True)
        bodies = []
        with self.path.connect() as caller:
            for number in range(8):
                answer = caller.exchange("/order/x", str(number), "POST", b"1")
                bodies.append(answer.body.decode())
                eventlet.sleep(2 * FRESH_REPORT_S)
        self.assertEqual(bodies, [f"done {number}" for number in range(8)])

    def test_a_repeated_refusal_without_an_id_proves_nothing(self):
        # Guards against "not run" for a request that runs, and against a second run.
        servers = self.set_servers(named_refusal, lambda request_id: REFUSAL)
        statuses = {}
        with self.path.connect() as caller:
            for number in range(6):
                answer = caller.exchange("/order/x", str(number), "POST", b"1")
                statuses[str(number)] = answer.status
                eventlet.sleep(2 * FULL_SERVER_BACKOFF_S)
        run_ids = [run_id for server in servers for run_id in server.run_ids]
        self.assertGreater(len(run_ids), 0)
        self.assertEqual(len(run_ids), len(set(run_ids)))
        refused = {run_id for run_id in run_ids if statuses[run_id] == 503}
        self.assertEqual(refused, set())

    def test_a_repeated_refusal_of_the_same_id_proves_nothing(self):
        # Guards against a second run of a request that its caller sends again with its
        # id after a refusal: the copy names the id that is in flight.
        servers = self.set_servers(named_refusal, named_refusal)
        for number in range(4):
            self.send_until_answered(f"same-{number}")
        run_ids = [run_id for server in servers for run_id in server.run_ids]
        self.assertGreater(len(run_ids), 0)
        self.assertEqual(len(run_ids), len(set(run_ids)))

    def send_until_answered(self, request_id):
        """Send a request up to four times with one id, while it is refused."""
        with self.path.connect() as caller:
            for _ in range(4):
                answer = caller.exchange("/order/x", request_id, "POST", b"1")
                if answer.status != 503:
                    return
                eventlet.sleep(2 * FULL_SERVER_BACKOFF_S)

    def test_an_answer_that_names_its_request_twice_is_its_own(self):
        # Guards against a request that waits until its deadline beside its answer.
        def answer(sock, request):
            line = f"{ID_HEADER.upper()}: {request.header(ID_HEADER)}\r\n".encode()
            head, end, body = success(request.header(ID_HEADER)).partition(b"\r\n\r\n")
            request.sock.sendall(head + b"\r\n" + line + b"\r\n" + body)

        self.path.answer_all(ORDERS, answer)
        with self.path.connect() as caller:
            for number in range(2):
                answer = caller.exchange("/order/x", str(number), "POST", b"1")
                self.assertEqual(answer.body.decode(), f"done {number}")

    def test_a_part_of_a_second_answer_changes_no_answer(self):
        # Guards against a head that begins with the status line of another answer: a
        # success for a failed request, or "not run" for one that runs.
        self.path.remove_server("orders-1")
        server = PartRepeatingServer(lambda request_id: success(request_id))
        self.path.backends[ORDERS][0].answers = server
        self.assert_own_answers(server, len(success("100")))
        server.previous_answer = named_refusal
        self.assert_own_answers(server, len(named_refusal("100")))

    def assert_own_answers(self, server, part_count):
        server.sent_count = 0
        with self.path.connect() as caller:
            for number in range(100, 100 + 3 * part_count):
                sent_count = server.sent_count
                answer = caller.exchange("/order/x", str(number), "POST", b"1")
                is_behind_part = server.sent_count > sent_count
                with self.subTest(end=server.end, is_behind_part=is_behind_part):
                    expected = (500, 502, 504) if is_behind_part else (200,)
                    self.assertIn(answer.status, expected)
        self.assertGreaterEqual(server.sent_count, part_count)
