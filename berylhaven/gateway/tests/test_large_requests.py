"""Tests of requests whose bodies are too large to be kept for another attempt."""

import unittest
from unittest import mock

import eventlet

from berylhaven.gateway.requests._forwarder import REPLAYABLE_BODY_LIMIT_BYTES
from berylhaven.gateway.tests._gateway_path import (
    HOST,
    ID_HEADER,
    READS,
    GatewayPath,
    configuration,
    route,
)
from berylhaven.http1 import UpstreamConnection

OBJECTIVE_S = 0.2
# Later than a hedge is due, within the time limit of a connection.
OPEN_DELAY_S = 0.2
BODY = b"0123456789abcdef" * 80_000
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
FAILED = b"HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\noops"


def chunked_request():
    """Return the bytes of an idempotent request with its body in one chunk."""
    head = (
        f"POST /read/x HTTP/1.1\r\nHost: {HOST}\r\n{ID_HEADER}: a\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    return head.encode() + b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY)


def answer_late(sock, request):
    """Answer after a hedge is due, and after a late connection is open."""
    eventlet.sleep(2 * OBJECTIVE_S)
    sock.sendall(OK)


class LargeRequestsTest(unittest.TestCase):
    def setUp(self):
        self.assertGreater(len(BODY), REPLAYABLE_BODY_LIMIT_BYTES)
        routes = (route("/read/", latency_objective_s=OBJECTIVE_S, attempt_limit=3),)
        self.path = GatewayPath(configuration(routes=routes))
        self.addCleanup(self.path.stop)

    def send(self):
        """Return the status of a request, and for each server if it got it whole."""
        with self.path.connect() as caller:
            caller.send(chunked_request())
            status = caller.answer().status
        eventlet.sleep(OPEN_DELAY_S)
        return status, [request.body == BODY for request in self.path.requests(READS)]

    def test_a_late_request_is_not_hedged_without_its_body(self):
        # Guards against a second server that runs the request with an empty body.
        self.path.answer_all(READS, answer_late)
        self.assertEqual(self.send(), (200, [True]))

    def test_a_server_error_is_not_followed_by_an_attempt_without_the_body(self):
        # Guards against the same after an answer, which is no failed attempt.
        self.path.answer_all(READS, lambda sock, request: sock.sendall(FAILED))
        self.assertEqual(self.send(), (500, [True]))

    def test_of_two_attempts_that_connect_at_once_one_sends_the_body(self):
        # Guards against two attempts that each send a part of one body.
        open_connection = UpstreamConnection.open
        opening = []

        def open_late(connection, timeout_s):
            opening.append(connection)
            if len(opening) == 1:
                eventlet.sleep(OPEN_DELAY_S)
            open_connection(connection, timeout_s)

        self.path.answer_all(READS, answer_late)
        with mock.patch.object(UpstreamConnection, "open", open_late):
            self.assertEqual(self.send(), (200, [True]))
        self.assertEqual(len(opening), 2)
