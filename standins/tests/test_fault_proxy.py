"""Tests of the proxy that injects connection faults."""

import unittest

import eventlet

from standins.fault_proxy import FaultProxy

ANSWER_TIMEOUT_S = 2.0
NO_ANSWER_WAIT_S = 0.2


class FaultProxyTest(unittest.TestCase):
    """An echo server behind a fault proxy."""

    def setUp(self):
        target = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(target.close)
        self.spawn(self.echo, target)
        host, port = target.getsockname()
        self.proxy = FaultProxy(f"{host}:{port}")
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.spawn(self.proxy.serve, self.listener)

    def spawn(self, function, *arguments):
        thread = eventlet.spawn(function, *arguments)
        self.addCleanup(thread.kill)

    def echo(self, listener):
        while True:
            sock, _ = listener.accept()
            eventlet.spawn(self.echo_one, sock)

    def echo_one(self, sock):
        try:
            while chunk := sock.recv(100):
                sock.sendall(chunk)
        except OSError:
            pass
        finally:
            sock.close()

    def connect(self):
        sock = eventlet.connect(self.listener.getsockname())
        self.addCleanup(sock.close)
        return sock

    def echo_of(self, sock, timeout_s=ANSWER_TIMEOUT_S):
        """Send three bytes and return their echo; None if none is received in time."""
        sock.sendall(b"abc")
        return self.receive(sock, timeout_s)

    def receive(self, sock, timeout_s=ANSWER_TIMEOUT_S):
        sock.settimeout(timeout_s)
        try:
            return sock.recv(3)
        except TimeoutError:
            return None

    def post(self, **faults):
        """Set faults as a request to the control port does."""
        before = self.proxy.faults.as_dict()
        self.proxy.faults.set(faults)
        self.proxy.disturb_open_connections(before)

    def test_bytes_are_forwarded_both_ways_without_faults(self):
        self.assertEqual(self.echo_of(self.connect()), b"abc")

    def test_held_bytes_are_delivered_after_release(self):
        for direction in ("onward", "back", "both"):
            with self.subTest(direction):
                sock = self.connect()
                self.post(held_way=direction)
                self.assertIsNone(self.echo_of(sock, NO_ANSWER_WAIT_S))
                self.post(held_way="")
                self.assertEqual(self.receive(sock), b"abc")

    def test_reset_closes_only_open_connections(self):
        sock = self.connect()
        self.assertEqual(self.echo_of(sock), b"abc")
        self.post(reset_count=1)
        eventlet.sleep(NO_ANSWER_WAIT_S)
        # The read methods of the green socket report a reset as an ordinary end of
        # the stream, so the underlying socket is read.
        with self.assertRaises(ConnectionResetError):
            sock.fd.recv(3)
        self.assertEqual(self.echo_of(self.connect()), b"abc")

    def test_silenced_connections_stay_silent_and_new_ones_work(self):
        sock = self.connect()
        self.assertEqual(self.echo_of(sock), b"abc")
        self.post(silence_count=1)
        self.assertIsNone(self.echo_of(sock, NO_ANSWER_WAIT_S))
        self.assertEqual(self.echo_of(self.connect()), b"abc")
