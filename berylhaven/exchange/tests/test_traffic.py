"""Tests of the traffic counters and of the rate limit."""

import socket
import unittest

import eventlet

from berylhaven.exchange import (
    EXCHANGE_BYTES_PER_S,
    MESSAGE_FLOOR_BYTES,
    PeerAnswer,
    PeerClient,
    PeersApplication,
    PeerTraffic,
)
from berylhaven.http1 import serve


class Echo:
    """Returns the request body."""

    def answer(self, request):
        return PeerAnswer(request.body)


class PeerTrafficTest(unittest.TestCase):
    """The counted sizes equal the bytes on the wire."""

    def setUp(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        self.port = listener.getsockname()[1]
        listener.close()
        self.traffic = PeerTraffic()
        application = PeersApplication({"/v1/echo": Echo()}, self.traffic)
        limit_bytes = PeersApplication.BODY_LIMIT_BYTES
        thread = serve(
            "127.0.0.1", self.port, application, 8, 5.0, body_limit_bytes=limit_bytes
        )
        self.addCleanup(thread.kill)
        eventlet.sleep(0)

    def test_the_server_counts_the_bytes_of_the_socket(self):
        body = b'{"x": 1}'
        request = (
            f"POST /v1/echo?a=b HTTP/1.1\r\nHost: 127.0.0.1:{self.port}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        with socket.create_connection(("127.0.0.1", self.port)) as connection:
            connection.sendall(request)
            connection.settimeout(5.0)
            answer = b""
            while not answer.endswith(body):
                answer += connection.recv(65536)
        self.assertEqual(self.traffic.received_bytes, len(request))
        self.assertEqual(self.traffic.sent_bytes, len(answer))

    def test_the_client_counts_what_the_server_counts(self):
        client_traffic = PeerTraffic()
        client = PeerClient(client_traffic)
        client.request("POST", f"127.0.0.1:{self.port}", "/v1/echo", b"[1, 2]")
        self.assertEqual(client_traffic.sent_bytes, self.traffic.received_bytes)
        self.assertEqual(client_traffic.received_bytes, self.traffic.sent_bytes)

    def test_the_limit_follows_what_was_spent(self):
        traffic = PeerTraffic()
        before = traffic.message_limit_bytes(0.0)
        traffic.record_sent(100_000)
        self.assertEqual(traffic.message_limit_bytes(0.0), MESSAGE_FLOOR_BYTES)
        self.assertFalse(traffic.allows_urgent(0.0))
        later_s = 100_000 / EXCHANGE_BYTES_PER_S
        self.assertEqual(traffic.message_limit_bytes(later_s + 1.0), before)
        self.assertTrue(traffic.allows_urgent(later_s))
