"""Tests that a stopped instance sends and writes nothing any more."""

import os
import unittest

import eventlet

from berylhaven.gateway.servers._reach_monitor import CHECK_INTERVAL_S
from berylhaven.gateway.tests._gateway_path import READS, GatewayPath

# Several checks of servers that did not answer, each after a backoff.
OBSERVED_S = 8 * CHECK_INTERVAL_S


class StoppedInstanceTest(unittest.TestCase):
    def setUp(self):
        self.stopped = GatewayPath()
        self.stop = self.stopped.stop
        self.addCleanup(lambda: self.stop())

    def stop_now(self):
        self.stop()
        self.stop = lambda: None

    def test_a_server_that_takes_an_address_over_gets_no_probe(self):
        # Guards against probes at servers that a stopped instance was never told of.
        backends = self.stopped.backends[READS]
        for backend in backends:
            backend.stop()
        with self.stopped.connect() as caller:
            self.assertEqual(caller.exchange("/read/x").status, 503)
        self.stop_now()
        listeners = []
        for backend in backends:
            host, _, port = backend.address.rpartition(":")
            listener = eventlet.listen((host, int(port)), reuse_port=False)
            self.addCleanup(listener.close)
            listener.setblocking(False)
            listeners.append(listener)
        eventlet.sleep(OBSERVED_S)
        for listener in listeners:
            with self.assertRaises(BlockingIOError):
                listener.accept()

    def test_a_caller_that_takes_the_descriptor_of_a_log_over_gets_no_400(self):
        # Guards against log lines of a stopped instance before a caller's request.
        other = GatewayPath()
        self.addCleanup(other.stop)
        descriptor = self.stopped.writer.fileno()
        self.stop_now()
        # No other socket gets the number.
        with open(os.devnull, "rb") as null:
            os.dup2(null.fileno(), descriptor)
        self.addCleanup(os.close, descriptor)
        with other.connect() as caller:
            os.dup2(caller.sock.fileno(), descriptor)
            self.stopped.instance._event_log.write_failure("fleet", "servers reached")
            self.assertEqual(caller.exchange("/read/x").status, 200)


if __name__ == "__main__":
    unittest.main()
