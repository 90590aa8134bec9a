"""Tests that the process at the other end of a connection is found."""

import os
import pathlib
import socket
import unittest
import unittest.mock

import eventlet

from standins import fault_proxy

OTHER_PID = 1


class SocketOwnerTest(unittest.TestCase):
    def setUp(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        self.caller = socket.create_connection(listener.getsockname())
        self.addCleanup(self.caller.close)
        self.accepted, _ = listener.accept()
        self.addCleanup(self.accepted.close)

    def test_the_list_of_all_connections_is_not_read(self):
        # Guards against a cut that takes seconds beside thousands of connections.
        with unittest.mock.patch.object(
            pathlib.Path, "read_text", side_effect=AssertionError("a list was read")
        ):
            self.assertTrue(fault_proxy._is_of(self.accepted, [os.getpid()]))
            self.assertFalse(fault_proxy._is_of(self.accepted, [OTHER_PID]))

    def test_a_closed_connection_is_of_no_process(self):
        # Guards against a cut of what another process has opened meanwhile.
        self.caller.close()
        eventlet.sleep(0.05)
        self.assertFalse(fault_proxy._is_of(self.accepted, [os.getpid()]))


if __name__ == "__main__":
    unittest.main()
