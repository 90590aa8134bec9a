"""Tests against servers that answer before they have read the body of a request."""

import contextlib
import io
import unittest
from unittest import mock

import eventlet
import eventlet.event
import eventlet.semaphore

from berylhaven.gateway.tests._gateway_path import (
    HOST,
    ID_HEADER,
    ORDERS,
    READS,
    GatewayPath,
    request_bytes,
)
from berylhaven.http1 import RequestBody

EARLY_BYTES = 1_200_000
PAUSE_S = 0.2
EARLY = (
    f"HTTP/1.1 200 OK\r\n{ID_HEADER}: up\r\nContent-Length: 6\r\n\r\nstored".encode()
)
PREAMBLE_BYTES = 64
RECORD_BYTES = 512
# More than the sockets on the way hold.
RECORD_COUNT = 64_000
# The part of a body that is sent before its thread ends, longer than a small body.
SENT_BYTES = 20_000
PROMPT_S = 1.0
REJECTION = (
    f"HTTP/1.1 503 X\r\n{ID_HEADER}: long\r\nWordy-Not-Run: 1\r\n"
    "Content-Length: 0\r\n\r\n".encode()
)


def answer_early(sock, request):
    """Answer, and read the rest of the body later."""
    sock.sendall(EARLY)
    eventlet.sleep(PAUSE_S)


def archive():
    """Return a body of records each of which begins with the head of a request."""
    head = (
        f"POST /order/archived HTTP/1.1\r\nHost: {HOST}\r\n{ID_HEADER}: old\r\nNote: "
    )
    padding = "-" * (RECORD_BYTES - len(head) - 4)
    return b"p" * PREAMBLE_BYTES + f"{head}{padding}\r\n\r\n".encode() * RECORD_COUNT


class EarlyAnswersTest(unittest.TestCase):
    def setUp(self):
        self.path = GatewayPath()
        self.addCleanup(self.path.stop)
        for backend in self.path.backends[ORDERS]:
            backend.early_answers["/upload/x"] = (EARLY_BYTES, answer_early)

    def upload(self, caller):
        """Send an upload from a green thread, since its end may never be read."""

        def send():
            try:
                caller.send(request_bytes("/upload/x", "up", "POST", archive()))
            except OSError:
                # The connection was closed after the early answer.
                return

        return eventlet.spawn(send)

    def assert_nothing_else_runs(self):
        eventlet.sleep(0.3)
        paths = {request.path for request in self.path.requests(ORDERS)}
        self.assertEqual(paths, {"/upload/x"})

    def test_the_unread_rest_of_a_body_is_not_read_as_requests(self):
        # Guards against requests that no caller sent.
        with self.path.connect() as caller:
            sender = self.upload(caller)
            answer = caller.answer()
            self.assertEqual((answer.status, answer.body), (200, b"stored"))
            self.assertEqual(answer.headers["connection"], "close")
            self.assert_nothing_else_runs()
            self.assertIsNone(caller.answer())
            sender.kill()

    def test_an_early_answer_that_waits_for_an_earlier_one_ends_the_input(self):
        # Guards against reading on while the answer that closes is not yet written.
        release = eventlet.event.Event()

        def answer(sock, request):
            release.wait()
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        self.path.answer_all(READS, answer)
        with self.path.connect() as caller:
            caller.send(request_bytes("/read/slow", "slow"))
            sender = self.upload(caller)
            with eventlet.Timeout(2.0):
                while not self.path.requests(ORDERS):
                    eventlet.sleep(0.01)
            self.assert_nothing_else_runs()
            release.send()
            self.assertEqual([caller.answer().body for _ in "ab"], [b"ok", b"stored"])
            self.assertIsNone(caller.answer())
            sender.kill()


class InterruptedBodyTest(unittest.TestCase):
    """The thread that sends a body ends by an error that it does not expect."""

    def setUp(self):
        self.path = GatewayPath()
        self.addCleanup(self.path.stop)
        self.rejected = eventlet.semaphore.Semaphore(0)

        def break_off(body, size_bytes):
            yield b"x" * SENT_BYTES
            if self.is_rejected_early:
                self.rejected.acquire()
            raise RuntimeError("reentrant call")

        self.is_rejected_early = False
        self.enterContext(mock.patch.object(RequestBody, "pieces", break_off))
        # The traceback of the green thread.
        self.traceback = self.enterContext(contextlib.redirect_stderr(io.StringIO()))

    def send_long(self):
        """Send a long idempotent request, and return its answer."""
        with self.path.connect() as caller:
            return caller.exchange("/read/long", "long", "POST", b"x" * SENT_BYTES * 2)

    def test_a_connection_on_which_a_body_is_due_is_not_used_again(self):
        # Guards against requests and probes that a server reads as the rest of a body.
        def reject(sock, request):
            # The server reads the rest of the body later.
            sock.sendall(REJECTION)
            self.rejected.release()

        self.is_rejected_early = True
        for backend in self.path.backends[READS]:
            backend.early_answers["/read/long"] = (1, reject)
        self.assertEqual(self.send_long().status, 503)
        with self.path.connect() as caller:
            for number in range(8):
                caller.exchange("/read/x", f"short-{number}")
        received = [r.body for r in self.path.requests(READS) if r.path == "/read/long"]
        self.assertEqual([body.strip(b"x") for body in received], [b""] * len(received))
        self.assertIn("RuntimeError", self.traceback.getvalue())

    def test_the_attempt_ends_with_the_thread_that_sends_its_body(self):
        # Guards against a wait until the deadline for the answer to a part of a body.
        with eventlet.Timeout(PROMPT_S):
            self.assertEqual(self.send_long().status, 502)
