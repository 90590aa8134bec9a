"""Tests of servers that announce the end of a connection and read on."""

import unittest

import eventlet

from berylhaven.gateway.tests._gateway_path import (
    HEALTH_PATH,
    ORDERS,
    READS,
    GatewayPath,
)

REQUEST_COUNT = 12
# With a period that the numbers of requests and probes do not share.
CLOSING_PERIOD = 3
# Longer than a load report is fresh.
PAUSE_S = 0.06


class AnnouncingServer:
    """Announces the end of each connection in its third answer, and keeps it open."""

    def __init__(self, close_line):
        self.close_line = close_line
        # The number of answers by connection.
        self.counts = {}
        self.announced = set()
        self.late_requests = []
        self.closing_paths = set()

    def get(self, path, default):
        return self.answer

    def answer(self, sock, request):
        connection = request.sock
        if connection in self.announced:
            self.late_requests.append(request.path)
        count = self.counts[connection] = self.counts.get(connection, 0) + 1
        line = "HTTP/1.1 200 OK"
        lines = ["Content-Length: 2", "Wordy-Load: 0,0,8,1"]
        if count == CLOSING_PERIOD:
            self.announced.add(connection)
            self.closing_paths.add(request.path)
            if self.close_line.startswith("HTTP"):
                line = self.close_line
            else:
                lines.append(self.close_line)
        sock.sendall("\r\n".join([line, *lines, "", "ok"]).encode())


class AnnouncedCloseTest(unittest.TestCase):
    def test_nothing_is_sent_behind_an_announced_end(self):
        # Guards against requests on a connection that their server no longer reads.
        closing_paths = set()
        for close_line in ("Connection: close", "HTTP/1.0 200 OK"):
            with self.subTest(close_line):
                path = GatewayPath()
                self.addCleanup(path.stop)
                servers = []
                for backend in path.backends[READS] + path.backends[ORDERS]:
                    backend.answers = AnnouncingServer(close_line)
                    servers.append(backend.answers)
                with path.connect() as caller:
                    for number in range(REQUEST_COUNT):
                        name = f"r{number}"
                        read = caller.exchange("/read/x", name)
                        order = caller.exchange("/order/x", f"o{name}", "POST", b"1")
                        self.assertEqual((read.status, order.status), (200, 200))
                        self.assertNotIn("connection", read.headers)
                        eventlet.sleep(PAUSE_S)
                for server in servers:
                    self.assertEqual(server.late_requests, [])
                    closing_paths |= server.closing_paths
        # Requests and probes have got such an answer.
        self.assertIn(HEALTH_PATH, closing_paths)
        self.assertGreater(len(closing_paths), 1)
