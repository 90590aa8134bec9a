"""A test of a drain that begins while the account of held bytes is full."""

import collections
import unittest

import eventlet

from berylhaven.clock import monotonic_s
from berylhaven.gateway.tests._gateway_path import (
    ID_HEADER,
    ORDERS,
    READS,
    GatewayPath,
    configuration,
    request_bytes,
    route,
)
from berylhaven.overload import HeldKind
from berylhaven.routes import RequestKind

# The grace of the settings of GatewayPath.
GRACE_S = 3.0
HELD_LIMIT_BYTES = 8_000_000
# More than the sockets of a connection hold, and more than the share of large answers.
UNREAD_BYTES = 6_000_000
SMALL_BUFFER_BYTES = 32_768
# Finds room only once more is admitted for last answers.
WAITING_BYTES = 3_000_000
WAITING_COUNT = 4
UPLOAD_BYTES = 360_000
UPLOAD_COUNT = 6
PIPELINING_CALLERS = 10
PIPELINED_COUNT = 20
WORK_S = {"/read/x": 0.5, "/upload/x": 0.3, "/small/x": 0.01}


class DrainMemoryTest(unittest.TestCase):
    def setUp(self):
        limits = {"timeout_s": 10.0, "latency_objective_s": 5.0}
        routes = [
            route("/read/", **limits),
            route("/small/", **limits),
            route("/upload/", RequestKind.UPLOAD, ORDERS, **limits),
        ]
        memory = f"[memory]\nheld_limit_bytes = {HELD_LIMIT_BYTES}\n"
        self.path = GatewayPath(configuration(routes=routes), extra_settings=memory)
        self.addCleanup(self.path.stop)
        self.run_ids = set()
        self.answers = {}
        for service in (READS, ORDERS):
            self.path.answer_all(service, self.run_request)

    def run_request(self, sock, request):
        request_id = request.header(ID_HEADER)
        if request_id != "unread":
            self.run_ids.add(request_id)
        eventlet.sleep(WORK_S.get(request.path, 0.0))
        body = b"x" * int(request.header("Size") or 2)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        sock.sendall(body)

    def read_answers(self, caller, request_ids):
        """Read answers until the end of the connection."""
        for request_id in request_ids:
            try:
                answer = caller.answer()
            except OSError:
                return
            if answer is None:
                return
            size_bytes = int(answer.headers["content-length"])
            status = answer.status if len(answer.body) == size_bytes else "cut"
            self.answers[request_id] = status

    def send(self, request_ids, path, size_bytes=None, body=None):
        """Send requests on a new connection and return it."""
        caller = self.path.connect(SMALL_BUFFER_BYTES)
        self.addCleanup(caller.close)
        method = "GET" if body is None else "POST"
        headers = {} if size_bytes is None else {"Size": size_bytes}
        data = b"".join(
            request_bytes(path, request_id, method, body, **headers)
            for request_id in request_ids
        )
        caller.send(data)
        return caller

    def begin(self, request_ids, *args, **kwargs):
        """Send requests on a new connection; return the thread that reads answers."""
        caller = self.send(request_ids, *args, **kwargs)
        return eventlet.spawn(self.read_answers, caller, request_ids)

    def test_what_was_accepted_at_the_limit_is_answered_before_the_end(self):
        # Guards against answers that wait for room until the process ends.
        held = self.path.instance.held
        readers = []
        self.send(["unread"], "/read/first", UNREAD_BYTES)
        # Sent before the sizes of answers are known, so that they wait at servers.
        for number in range(WAITING_COUNT):
            name = f"waiting-{number}"
            readers.append(self.begin([name], "/read/x", WAITING_BYTES))
        eventlet.sleep(1.0)
        self.assertEqual(held.held_bytes[HeldKind.LARGE_ANSWER], UNREAD_BYTES)
        self.assertEqual(self.answers, {})
        for number in range(UPLOAD_COUNT):
            body = b"u" * UPLOAD_BYTES
            readers.append(self.begin([f"upload-{number}"], "/upload/x", body=body))
        for number in range(PIPELINING_CALLERS):
            names = [f"small-{number}-{index}" for index in range(PIPELINED_COUNT)]
            readers.append(self.begin(names, "/small/x"))
        eventlet.sleep(0.1)
        began_at_s = monotonic_s()
        self.path.instance.leave()
        self.path.waiter.wait()
        self.assertLess(monotonic_s() - began_at_s, GRACE_S)
        for reader in readers:
            reader.wait()
        statuses = collections.Counter(self.answers.values())
        unanswered = {i for i in self.run_ids if self.answers.get(i) != 200}
        self.assertEqual(unanswered, set(), statuses)
        refused = {i for i, status in self.answers.items() if status == 503}
        self.assertEqual(refused & self.run_ids, set())
        self.assertEqual(set(statuses) - {200, 503}, set())
        # Others have room while large answers have none.
        self.assertGreater(statuses[200], WAITING_COUNT)
        self.assertEqual(
            [self.answers.get(f"waiting-{n}") for n in range(WAITING_COUNT)],
            [200] * WAITING_COUNT,
        )


if __name__ == "__main__":
    unittest.main()
