"""Tests of the never_answers fault of the stand-in backend server."""

import unittest

import eventlet
import urllib3

from standins._program import serve_socket
from standins.backend_server import BackendServerStandIn


class HeldCallsTest(unittest.TestCase):
    """A held call ends with a closed connection, never with an answer."""

    def test_a_held_call_gets_no_answer_when_the_fault_ends(self):
        standin = BackendServerStandIn("held")
        listener = eventlet.listen(("127.0.0.1", 0))
        thread = eventlet.spawn(serve_socket, listener, standin)
        self.addCleanup(thread.kill)
        standin.faults.set({"never_answers": True})
        url = f"http://127.0.0.1:{listener.getsockname()[1]}/x"
        eventlet.spawn_after(0.1, standin.faults.set, {"never_answers": False})
        with self.assertRaises(urllib3.exceptions.HTTPError):
            urllib3.PoolManager(retries=False).request("GET", url, timeout=5.0)
