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
NO_STATUSES = ("000", "099", "20", "2000", "-20", "+200", "0200")
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


def end_without_length(status):
    """Return an early answer whose stream ends in order before the reset."""

    def answer(sock, request):
        head = f"HTTP/1.1 {status} X\r\n{ID_HEADER}: a\r\n\r\n"
        sock.sendall(head.encode() + BODY[: len(BODY) // 2])
        sock.shutdown(socket.SHUT_WR)
        eventlet.sleep(PAUSE_S)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        return False

    return answer


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
        statuses = self.upload(answer_without_length, UPLOAD_COUNT)
        self.assertEqual(statuses - {502, 503}, set())
        self.assertGreater(len(self.path.requests(ORDERS)), UPLOAD_COUNT // 2)

    def test_a_success_that_ends_while_the_body_is_sent_is_no_answer(self):
        # Guards against a part of an answer that looks whole, since the end of a killed
        # server looks like that of an answer.
        statuses = self.upload(end_without_length(200), 2)
        self.assertEqual(statuses - {502, 503}, set())

    def test_a_failure_that_ends_while_the_body_is_sent_is_passed_on(self):
        # Guards against rejections of uploads that are hidden from their callers.
        self.assertEqual(self.upload(end_without_length(413), 2), {413})

    def upload(self, early_answer, count):
        """Return the statuses of uploads that servers answer before their end."""
        for backend in self.path.backends[ORDERS]:
            backend.early_answers["/upload/x"] = (EARLY_BYTES, early_answer)
        data = request_bytes("/upload/x", "a", "POST", b"x" * UPLOAD_BYTES)
        statuses = set()
        for _ in range(count):
            with self.path.connect() as caller:
                sender = eventlet.spawn(self.send, caller, data)
                statuses.add(caller.answer().status)
                sender.kill()
        return statuses

    def test_a_status_that_http_does_not_have_is_no_answer(self):
        # Guards against the status 000 of a server in trouble.
        for status in (*NO_STATUSES, "1e2", ""):
            data = f"HTTP/1.1 {status} X\r\n{ID_HEADER}: a\r\nContent-Length: 0\r\n\r\n"
            with self.subTest(status), self.path.connect() as caller:
                self.assert_no_success(caller, data.encode(), False)

    def send(self, caller, data):
        try:
            caller.send(data)
        except OSError:
            # The rest of the body is not read after the answer.
            return
