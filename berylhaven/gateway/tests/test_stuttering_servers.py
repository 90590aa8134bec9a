"""Plays servers that send answers a second time, late, in parts and in any framing."""

import collections
import random
import unittest

import eventlet
import eventlet.semaphore

from berylhaven.gateway.tests._gateway_path import (
    HEALTH_PATH,
    ID_HEADER,
    ORDERS,
    READS,
    GatewayPath,
    configuration,
    route,
)
from berylhaven.routes import RequestKind

SEEDS = range(2)
CALLER_COUNT = 10
REQUESTS_PER_CALLER = 24
PAUSE_LIMIT_S = 0.08
LATE_LIMIT_S = 1.0
WORK_LIMIT_S = 0.03
# Longer than the delay of a hedge.
LONG_WORK_S = 0.12
PIECE_PAUSE_S = 0.002
SEAL = "Wordy-Seal"
OPTIONS = ("copies", "unnamed copies", "parts")


class StutteringServer:
    """Answers all paths; sends copies at once, late, or where the next is due."""

    def __init__(self, generator, options=OPTIONS):
        self.generator = generator
        self.options = options
        # What was sent on a connection, for copies of it.
        self.earlier = collections.defaultdict(list)
        # Connections whose last answer is ended by their close.
        self.ended = set()
        self.locks = collections.defaultdict(eventlet.semaphore.Semaphore)
        # The statuses and bodies that were given to each request.
        self.given = collections.defaultdict(set)
        self.run_ids = []

    def get(self, path, default):
        return self.answer_probe if path == HEALTH_PATH else self.answer

    def answer_probe(self, sock, request):
        self.stutter(request.sock)
        eventlet.sleep(self.generator.uniform(0.0, 0.012))
        return self.send(request.sock, ("200 OK", "ok", None), False)

    def answer(self, sock, request):
        request_id = request.header(ID_HEADER)
        self.stutter(request.sock)
        draw = self.generator.random()
        if draw < 0.15:
            return self.send(request.sock, ("503 Full", "", request_id), False)
        self.run_ids.append(request_id)
        is_long = request.head.startswith(b"GET ") and self.generator.random() < 0.1
        work_s = LONG_WORK_S if is_long else self.generator.uniform(0.0, WORK_LIMIT_S)
        eventlet.sleep(work_s)
        status = "500 Failed" if draw < 0.25 else "200 OK"
        body = f"{status} {request_id} {self.generator.randrange(10**9)}"
        self.given[request_id].add((int(status[:3]), body))
        is_open_ended = (
            request.head.startswith(b"GET ") and self.generator.random() < 0.05
        )
        return self.send(request.sock, (status, body, request_id), is_open_ended)

    def message(self, status, body, request_id, is_open_ended=False):
        """Return the bytes of an answer, in one of the framings."""
        lines = [f"HTTP/1.1 {status}", "Wordy-Load: 0,0,8,1"]
        if status.startswith("503"):
            lines.append("Wordy-Not-Run: 1")
        elif body != "ok":
            lines.append(f"{SEAL}: {body}")
        if request_id is not None:
            lines.append(f"{ID_HEADER}: {request_id}")
        if is_open_ended:
            return "\r\n".join([*lines, "", body]).encode()
        if body and self.generator.random() < 0.3:
            end = self.generator.randrange(1, len(body) + 1)
            lines.append("Transfer-Encoding: chunked")
            chunks = [chunk for chunk in (body[:end], body[end:]) if chunk]
            text = "".join(f"{len(chunk):x}\r\n{chunk}\r\n" for chunk in chunks)
            return "\r\n".join([*lines, "", text + "0\r\n\r\n"]).encode()
        lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", body]).encode()

    def send(self, sock, answer, is_open_ended):
        """Send an answer, and perhaps a copy later; return whether to go on."""
        if is_open_ended:
            # What follows would be part of the body.
            self.ended.add(sock)
        self.write(sock, self.message(*answer, is_open_ended))
        if is_open_ended:
            return False
        copies = self.earlier[sock]
        copies.append(self.message(*answer))
        if "unnamed copies" in self.options:
            copies.append(self.message(*answer[:2], None))
        if self.generator.random() < 0.3:
            late_s = LATE_LIMIT_S * self.generator.random() ** 3
            eventlet.spawn_after(late_s, self.stutter, sock, 1.0)
        return True

    def stutter(self, sock, share=0.3):
        """Send some of the earlier answers once more, the last one perhaps in part."""
        earlier = self.earlier[sock][-6:]
        if not earlier or not self.options or self.generator.random() > share:
            return
        if sock in self.ended:
            return
        copy = self.generator.choice(earlier)
        if "parts" in self.options and self.generator.random() < 0.3:
            copy = copy[: self.generator.randrange(len(copy))]
        self.write(sock, copy)

    def write(self, sock, data):
        """Write whole, or in two pieces; the connection may have been closed."""
        split = self.generator.randrange(len(data) + 1)
        with self.locks[sock]:
            try:
                if self.generator.random() < 0.3:
                    sock.sendall(data[:split])
                    eventlet.sleep(PIECE_PAUSE_S)
                    data = data[split:]
                sock.sendall(data)
            except OSError:
                self.earlier[sock].clear()


def play(seed, options=OPTIONS, requests_per_caller=REQUESTS_PER_CALLER):
    """Return the numbers of answers by judgement, of one run of callers."""
    generator = random.Random(seed)
    routes = (
        route("/read/", timeout_s=1.0, latency_objective_s=0.1),
        route("/order/", RequestKind.ONCE_ONLY, ORDERS, timeout_s=1.0),
    )
    path = GatewayPath(configuration(routes=routes))
    servers = []
    for backend in path.backends[READS] + path.backends[ORDERS]:
        backend.answers = StutteringServer(generator, options)
        servers.append(backend.answers)
    answers = {}

    def call(name):
        with path.connect() as caller:
            for number in range(requests_per_caller):
                if generator.random() < 0.5:
                    request_id = f"r{name}-{number}"
                    answer = caller.exchange("/read/x", request_id)
                else:
                    request_id = f"o{name}-{number}"
                    answer = caller.exchange("/order/x", request_id, "POST", b"1")
                answers[request_id] = answer
                eventlet.sleep(generator.uniform(0.0, PAUSE_LIMIT_S))

    try:
        for thread in [eventlet.spawn(call, name) for name in range(CALLER_COUNT)]:
            thread.wait()
    finally:
        path.stop()
    return judge(servers, answers)


def judge(servers, answers):
    """Return the numbers of answers by judgement."""
    run_counts = collections.Counter(run_id for s in servers for run_id in s.run_ids)
    counts = collections.Counter()
    for request_id, answer in answers.items():
        given = set().union(*(server.given[request_id] for server in servers))
        body = answer.body.decode()
        is_sealed = SEAL.lower() in answer.headers
        counts[f"status {answer.status}"] += 1
        if (answer.status == 200 or is_sealed) and (answer.status, body) not in given:
            counts["mixed"] += 1
        is_once_only = request_id.startswith("o")
        if is_once_only and answer.status == 503 and run_counts[request_id]:
            counts["false refusal"] += 1
        if is_once_only and run_counts[request_id] > 1:
            counts["second run"] += 1
    return counts


class StutteringServersTest(unittest.TestCase):
    def test_no_second_answer_reaches_a_caller(self):
        # Guards against foreign or partial answers, false refusals and second runs.
        for seed in SEEDS:
            counts = play(seed)
            with self.subTest(seed=seed, counts=dict(counts)):
                misled = [counts[k] for k in ("mixed", "false refusal", "second run")]
                self.assertEqual(misled, [0, 0, 0])
                answer_count = CALLER_COUNT * REQUESTS_PER_CALLER
                self.assertGreater(counts["status 200"], answer_count // 3)
