"""Tests of a port whose connections can't be accepted for a while."""

import errno
import unittest

import eventlet

from berylhaven.http1._retrying_listener import RetryingListener

ANSWER_TIMEOUT_S = 2.0


class FailingListener:
    """Raises errors instead of accepting the first connections."""

    def __init__(self, sock, *codes):
        self.sock = sock
        self.codes = list(codes)

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def accept(self):
        if self.codes:
            code = self.codes.pop(0)
            raise OSError(code, errno.errorcode[code])
        return self.sock.accept()


def application(environ, start_response):
    start_response("200 OK", [("Content-Length", "0")])
    return []


class RetryingListenerTest(unittest.TestCase):
    def setUp(self):
        self.changes = []

    def listener(self, *codes):
        sock = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(sock.close)
        return RetryingListener(FailingListener(sock, *codes), self.record)

    def record(self, error):
        self.changes.append(error and error.errno)

    def test_a_server_accepts_again_after_it_ran_out_of_descriptors(self):
        # Guards against a port that is closed for good by one error of accept.
        listener = self.listener(errno.EMFILE, errno.EMFILE, errno.ENOBUFS)
        server = eventlet.spawn(
            eventlet.wsgi.server, listener, application, log_output=False
        )
        self.addCleanup(server.kill)
        with eventlet.Timeout(ANSWER_TIMEOUT_S):
            caller = eventlet.connect(listener.getsockname())
            caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            self.assertTrue(caller.recv(1_000).startswith(b"HTTP/1.1 200"))
        caller.close()
        self.assertEqual(self.changes, [errno.EMFILE, None])

    def test_a_connection_that_ends_before_it_is_accepted_is_no_failure(self):
        listener = self.listener(errno.ECONNABORTED, errno.ECONNRESET)
        caller = eventlet.connect(listener.getsockname())
        with eventlet.Timeout(ANSWER_TIMEOUT_S):
            accepted, _ = listener.accept()
        accepted.close()
        caller.close()
        self.assertEqual(self.changes, [])

    def test_a_closed_listener_ends_its_server(self):
        listener = self.listener(errno.EBADF)
        with self.assertRaises(OSError):
            listener.accept()
