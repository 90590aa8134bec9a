"""Tests of querying the load of a backend server."""

import unittest

import eventlet

from berylhaven.backend import ProbeClient, ProbeFailed, ProbeTimeout
from standins._program import serve_socket
from standins.backend_server import BackendServerStandIn


class ProbeTest(unittest.TestCase):
    """A probe returns a load report, or raises the reason for its failure."""

    def serve(self, application):
        listener = eventlet.listen(("127.0.0.1", 0))
        thread = eventlet.spawn(serve_socket, listener, application)
        self.addCleanup(thread.kill)
        return f"127.0.0.1:{listener.getsockname()[1]}"

    def test_the_load_endpoint_is_read(self):
        address = self.serve(BackendServerStandIn("s", slot_count=6))
        report = ProbeClient().probe(address, 5.0)
        self.assertEqual(report.slot_count, 6)
        self.assertEqual(report.running_count, 0)

    def test_a_closed_port_is_a_failure(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        listener.close()
        with self.assertRaises(ProbeFailed) as caught:
            ProbeClient().probe(address, 5.0)
        self.assertNotIsInstance(caught.exception, ProbeTimeout)

    def test_no_answer_is_a_timeout(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        with self.assertRaises(ProbeTimeout):
            ProbeClient().probe(f"127.0.0.1:{listener.getsockname()[1]}", 0.02)

    def test_an_answer_without_a_load_is_a_failure(self):
        def nothing(environ, start_response):
            start_response("200 OK", [])
            return [b""]

        with self.assertRaises(ProbeFailed):
            ProbeClient().probe(self.serve(nothing), 5.0)
