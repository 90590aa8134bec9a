"""Tests against servers that break off within an answer."""

import socket
import struct
import unittest

import eventlet

from berylhaven.gateway.tests._gateway_path import (
    ID_HEADER,
    ORDERS,
    GatewayPath,
    request_bytes,
)

BODY = b"twelve bytes"
HEAD = (
    f"HTTP/1.1 200 OK\r\n{ID_HEADER}: a\r\nContent-Length: {len(BODY)}\r\n"
    "Note: x\r\n\r\n"
).encode()
HEAD_WITHOUT_LENGTH = f"HTTP/1.1 200 OK\r\n{ID_HEADER}: a\r\n\r\n".encode()
EARLY_BYTES = 1_200_000
# More than the sockets on the way hold, so that the body is still sent at the reset.
UPLOAD_BYTES = 32_000_000
UPLOAD_COUNT = 12
PAUSE_S = 0.05
# A linger time of zero makes a close reset the connection.
NO_LINGER = struct.pack("ii", 1, 0)


def cut(data, is_reset):
    """Return an answer that ends after these bytes."""

    def answer(sock, request):
        request.sock.sendall(data)
        if is_reset:
            request.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        return False

    return answer


def answer_without_length(sock, request):
    """Send the half of an answer while the body is sent, then reset the connection."""
    sock.sendall(HEAD_WITHOUT_LENGTH + BODY[: len(BODY) // 2])
    eventlet.sleep(PAUSE_S)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    return False


class CutAnswersTest(unittest.TestCase):
    def setUp(self):
        self.path = GatewayPath()
        self.addCleanup(self.path.stop)

    def assert_no_success(self, caller, data, is_reset):
        """Send a request whose answer is cut; its caller must not take it as whole."""
        run_count = len(self.path.requests(ORDERS))
        self.path.answer_all(ORDERS, cut(data, is_reset))
        answer = caller.exchange("/order/x", "a", "POST", b"1")
        has_run = len(self.path.requests(ORDERS)) > run_count
        with self.subTest(sent=data, is_reset=is_reset):
            # A refusal promises that the request has not run.
            self.assertEqual(answer.status, 502 if has_run else 503)
        return has_run

    def test_an_answer_that_ends_within_its_head_is_no_answer(self):
        # Guards against a success with an empty or short body.
        sent_count = 0
        with self.path.connect() as caller:
            for end in range(len(HEAD)):
                for is_reset in (False, True):
                    sent_count += self.assert_no_success(caller, HEAD[:end], is_reset)
        self.assertGreater(sent_count, len(HEAD))

    def test_an_answer_that_ends_within_its_body_is_no_answer(self):
        # Guards against a success with a short body that is framed as whole.
        sent_count = 0
        with self.path.connect() as caller:
            for end in range(len(BODY)):
                for is_reset in (False, True):
                    sent_count += self.assert_no_success(
                        caller, HEAD + BODY[:end], is_reset
                    )
        self.assertGreater(sent_count, len(BODY))

    def test_an_answer_that_is_reset_while_the_body_is_sent_is_no_answer(self):
        # Guards against a reset that only the sender of the body learns of.
        for backend in self.path.backends[ORDERS]:
            early = (EARLY_BYTES, answer_without_length)
            backend.early_answers["/upload/x"] = early
        data = request_bytes("/upload/x", "a", "POST", b"x" * UPLOAD_BYTES)
        statuses = set()
        for _ in range(UPLOAD_COUNT):
            with self.path.connect() as caller:
                sender = eventlet.spawn(self.send, caller, data)
                statuses.add(caller.answer().status)
                sender.kill()
        self.assertEqual(statuses - {502, 503}, set())
        self.assertGreater(len(self.path.requests(ORDERS)), UPLOAD_COUNT // 2)

    def send(self, caller, data):
        try:
            caller.send(data)
        except OSError:
            # The rest of the body is not read after the answer.
            return
