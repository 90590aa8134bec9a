"""Tests of the listening socket."""

import unittest

import eventlet

from berylhaven.http1 import serve


class ServeTest(unittest.TestCase):
    """A port belongs to one process."""

    def test_a_port_in_use_is_not_shared(self):
        first = eventlet.listen(("127.0.0.1", 0), reuse_port=True)
        self.addCleanup(first.close)
        port = first.getsockname()[1]
        with self.assertRaises(OSError):
            serve("127.0.0.1", port, lambda *_: [], 8, 1.0)
