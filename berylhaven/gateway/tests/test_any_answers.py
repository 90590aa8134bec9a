"""Plays random orders of own, repeated, refused and broken answers of servers."""

import random
import unittest

import eventlet

from berylhaven.gateway.tests._gateway_path import (
    HEALTH_PATH,
    ID_HEADER,
    ORDERS,
    GatewayPath,
)

SEEDS = range(4)
CALLER_COUNT = 6
REQUESTS_PER_CALLER = 25
PAUSE_LIMIT_S = 0.06
COPIES_LIMIT = 2


def message(line, body, *headers):
    """Return an answer with a length."""
    lines = [line, *headers, "Wordy-Load: 0,0,8,1", f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


class FaultyServer:
    """Answers all paths, with faults by a seeded generator."""

    def __init__(self, generator):
        self.generator = generator
        # What was answered before, by connection.
        self.earlier = {}
        self.run_ids = []

    def get(self, path, default):
        return self.answer_probe if path == HEALTH_PATH else self.answer

    def answer_probe(self, sock, request):
        self.repeat(request.sock)
        eventlet.sleep(self.generator.uniform(0.0, 0.01))
        self.send(request.sock, message("HTTP/1.1 200 OK", "ok"))

    def answer(self, sock, request):
        request_id = request.header(ID_HEADER)
        name = f"{ID_HEADER}: {request_id}"
        self.repeat(request.sock)
        if self.generator.random() < 0.2:
            refusal = ("HTTP/1.1 503 Full", "", "Wordy-Not-Run: 1")
            self.send(request.sock, message(*refusal, name), message(*refusal))
            return True
        self.run_ids.append(request_id)
        eventlet.sleep(self.generator.uniform(0.0, 0.02))
        success = ("HTTP/1.1 200 OK", f"done {request_id}")
        whole = message(*success, name)
        if self.generator.random() < 0.1:
            request.sock.sendall(whole[: self.generator.randrange(len(whole))])
            return False
        self.send(request.sock, whole, message(*success))
        return True

    def send(self, sock, answer, unnamed=None):
        """Send an answer; keep it, and the same without an id, for later."""
        sock.sendall(answer)
        self.earlier.setdefault(sock, []).extend([answer, unnamed or answer])

    def repeat(self, sock):
        """Send some of the earlier answers where the next one is due."""
        earlier = self.earlier.get(sock)
        if earlier and self.generator.random() < 0.4:
            for _ in range(self.generator.randint(1, COPIES_LIMIT)):
                sock.sendall(self.generator.choice(earlier))


class AnyAnswersTest(unittest.TestCase):
    def test_no_order_of_answers_misleads_a_caller(self):
        # Guards against foreign successes, false refusals and second runs by
        # answers whose request is taken for another one.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(random.Random(seed))

    def play(self, generator):
        path = GatewayPath()
        self.addCleanup(path.stop)
        servers = []
        for backend in path.backends[ORDERS]:
            backend.answers = FaultyServer(generator)
            servers.append(backend.answers)
        answers = {}
        threads = [
            eventlet.spawn(self.call, path, generator, str(number), answers)
            for number in range(CALLER_COUNT)
        ]
        for thread in threads:
            thread.wait()
        run_ids = [run_id for server in servers for run_id in server.run_ids]
        self.assertEqual(len(run_ids), len(set(run_ids)))
        statuses = {request_id: answer.status for request_id, answer in answers.items()}
        self.assertGreater(list(statuses.values()).count(200), len(answers) // 4)
        for request_id, answer in answers.items():
            if answer.status == 200:
                self.assertEqual(answer.body.decode(), f"done {request_id}")
            if answer.status == 503:
                self.assertNotIn(request_id, run_ids)
        path.stop()

    def call(self, path, generator, name, answers):
        with path.connect() as caller:
            for number in range(REQUESTS_PER_CALLER):
                request_id = f"{name}-{number}"
                answers[request_id] = caller.exchange(
                    "/order/x", request_id, "POST", b"1"
                )
                eventlet.sleep(generator.uniform(0.0, PAUSE_LIMIT_S))
