"""Tests of answers to probes that have no end."""

import unittest
from unittest import mock

import eventlet

from berylhaven.gateway import ServerEntry
from berylhaven.gateway.servers._server_probe import (
    SKIPPED_LIMIT_BYTES,
    ServerProber,
)
from berylhaven.gateway.tests._gateway_path import ORDERS, FakeDialect
from berylhaven.http1 import ConnectionPool

HEAD_LIMIT_BYTES = 1_000
# What the sockets and the buffers of both sides hold besides what is read.
IN_TRANSIT_BYTES = 8_000_000
OTHER_REQUEST = b"HTTP/1.1 200 OK\r\nWordy-Id: b\r\n"
CHUNKED = OTHER_REQUEST + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "large chunks": (CHUNKED, b"10000\r\n" + b"x" * 0x10000 + b"\r\n"),
    "chunks of two bytes": (CHUNKED, b"2\r\nxx\r\n" * 10_000),
    "chunks with extensions": (CHUNKED, (b"1;" + b"e" * 4_000 + b"\r\nx\r\n") * 20),
    "a length": (
        OTHER_REQUEST + b"Content-Length: 1000000000000\r\n\r\n",
        b"x" * 0x10000,
    ),
}


class ProbeAnswerTest(unittest.TestCase):
    def setUp(self):
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.pool = ConnectionPool(lambda address: 8, HEAD_LIMIT_BYTES)
        evacuations = mock.Mock(**{"is_evacuated.return_value": False})
        self.metrics = mock.Mock()
        self.signals = mock.Mock()
        self.prober = ServerProber(
            self.pool,
            FakeDialect(),
            self.signals,
            self.metrics,
            mock.Mock(),
            evacuations,
        )
        entry = ServerEntry("orders-0", ORDERS, address, "here", 4, False)
        self.server = mock.Mock(entry=entry)

    def serve(self, begin, piece):
        """Answer one probe with pieces until the connection is closed."""
        sock, _ = self.listener.accept()
        sock.recv(HEAD_LIMIT_BYTES)
        self.sent_bytes = 0
        try:
            sock.sendall(begin)
            while piece:
                sock.sendall(piece)
                self.sent_bytes += len(piece)
                eventlet.sleep(0)
        except OSError:
            pass
        sock.close()

    def test_an_endless_answer_to_another_request_is_cut_off(self):
        """Its bytes were read until the probe's timeout, and no failure was noted."""
        for what, (begin, piece) in ENDLESS.items():
            with self.subTest(what):
                self.server.reset_mock()
                self.metrics.reset_mock()
                thread = eventlet.spawn(self.serve, begin, piece)
                self.prober.check([self.server], "/health")
                with eventlet.Timeout(1.0):
                    thread.wait()
                self.assertLess(self.sent_bytes, IN_TRANSIT_BYTES)
                self.server.record_probe_failure.assert_called_once()
                self.metrics.record_cut_answer.assert_called_once_with(ORDERS, "probe")

    def test_a_second_copy_of_an_ordinary_answer_is_skipped(self):
        """Servers that repeat answers are otherwise sound."""
        body = b"x" * (SKIPPED_LIMIT_BYTES // 2)
        copy = OTHER_REQUEST + b"Content-Length: %d\r\n\r\n" % len(body) + body
        own = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        eventlet.spawn(self.serve, copy + own, b"")
        self.prober.check([self.server], "/health")
        self.signals.record.assert_called_once()
        self.server.record_attempt.assert_not_called()
