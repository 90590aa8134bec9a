"""Tests of servers that send bytes without end, until the instance closes."""

import unittest

import eventlet

from berylhaven.gateway.tests._gateway_path import ORDERS, GatewayPath

HEAD = b"HTTP/1.1 200 OK\r\n"
PIECE_BYTES = 65_536
# Half of the memory of the smallest instance.
SENT_LIMIT_BYTES = 76_000_000
CLOSED_WITHIN_S = 10.0

ENDLESS = {
    "no answer at all": (b"", b"x" * PIECE_BYTES),
    "a head": (HEAD, b"X-Filler: x\r\n" * 5_000),
    "a header field": (HEAD + b"X-Filler: ", b"x" * PIECE_BYTES),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000),
    "a body without a length": (HEAD + b"\r\n", b"x" * PIECE_BYTES),
    "a chunked body": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"x" * PIECE_BYTES + b"\r\n",
    ),
    "the size of a chunk": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"0" * PIECE_BYTES,
    ),
    "trailers": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-Filler: x\r\n" * 5_000,
    ),
}


class EndlessAnswerTest(unittest.TestCase):
    def setUp(self):
        self.path = GatewayPath()
        self.addCleanup(self.path.stop)

    def sends_without_end(self, begin, piece):
        """Return an answer function that counts what it could send."""
        self.sent_bytes = 0
        self.is_closed = eventlet.event.Event()

        def answer(sock, request):
            try:
                sock.sendall(begin)
                while True:
                    sock.sendall(piece)
                    self.sent_bytes += len(piece)
                    eventlet.sleep(0)
            except OSError:
                self.is_closed.send()
                raise

        return answer

    def test_bytes_without_end_are_cut_off_and_no_success(self):
        for what, (begin, piece) in ENDLESS.items():
            with self.subTest(what):
                self.path.answer_all(ORDERS, self.sends_without_end(begin, piece))
                with eventlet.Timeout(CLOSED_WITHIN_S):
                    with self.path.connect() as caller:
                        answer = caller.exchange("/order/1", method="POST", body=b"x")
                    self.is_closed.wait()
                # The request may have run, so it must not be reported as not run.
                self.assertIn(answer.status, (502, 504))
                self.assertLess(self.sent_bytes, SENT_LIMIT_BYTES)
