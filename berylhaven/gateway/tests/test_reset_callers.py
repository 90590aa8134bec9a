"""Tests of callers that reset their connections with requests on the way."""

import socket
import struct
import unittest

import eventlet

from berylhaven.gateway.callers._answer_queue import PIPELINE_LIMIT
from berylhaven.gateway.tests._gateway_path import READS, GatewayPath, request_bytes

REQUEST_COUNT = 1_000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ResetCallerTest(unittest.TestCase):
    def test_requests_that_were_received_before_a_reset_are_not_run_after_it(self):
        # Thousands of requests in the kernel kept the servers busy for seconds.
        path = GatewayPath()
        self.addCleanup(path.stop)
        caller = path.connect()
        for number in range(REQUEST_COUNT):
            caller.send(request_bytes("/read/x", str(number)))
        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        caller.close()
        eventlet.sleep(0.1)
        before_count = len(path.requests(READS))
        eventlet.sleep(1.0)
        sent_count = len(path.requests(READS)) - before_count
        self.assertLessEqual(sent_count, PIPELINE_LIMIT)
