"""Tests of the ports with short requests, against senders that keep to no limit."""

import contextlib
import socket
import unittest

import eventlet
from greenlet import GreenletExit

from berylhaven.http1 import answer_bytes, serve

LIMIT_BYTES = 100_000
TIMEOUT_S = 0.3
CONNECTIONS_LIMIT = 20
# Beyond this, a sender that is refused has filled the buffers of the connection alone.
BUFFERS_BYTES = 20_000_000
POST = b"POST / HTTP/1.1\r\nHost: a\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


def echo(environ, start_response):
    """Answer with the body of the request."""
    return answer_bytes(start_response, "200 OK", environ["wsgi.input"].read())


class BoundedProtocolTest(unittest.TestCase):
    def setUp(self):
        self.connections = []
        self.senders = []
        self.address = self.serve(LIMIT_BYTES)

    def stop(self, thread):
        """Stop a server, and wait for the end of connections that are not blocked."""
        for sender in self.senders:
            sender.kill()
        for connection in self.connections:
            connection.close()
        thread.kill()
        with contextlib.suppress(GreenletExit), eventlet.Timeout(3.0, False):
            thread.wait()

    def serve(self, body_limit_bytes, timeout_s=TIMEOUT_S):
        listener = eventlet.listen(("127.0.0.1", 0))
        address = listener.getsockname()
        listener.close()
        thread = serve(
            *address,
            echo,
            CONNECTIONS_LIMIT,
            timeout_s,
            body_limit_bytes=body_limit_bytes,
        )
        self.addCleanup(self.stop, thread)
        eventlet.sleep(0)
        return address

    def connect(self, address=None):
        connection = socket.create_connection(address or self.address)
        connection.settimeout(5.0)
        # A socket that is not referred to any more is closed.
        self.connections.append(connection)
        return connection

    def exchange(self, request, address=None):
        """Send bytes, and return what is received until the connection is closed."""
        connection = self.connect(address)
        connection.sendall(request)
        received = b""
        while data := connection.recv(65_536):
            received += data
        return received

    def assert_status(self, status, request, address=None):
        answer = self.exchange(request, address)
        self.assertTrue(answer.startswith(b"HTTP/1.1 %d " % status), answer)
        self.assertEqual(answer.count(b"HTTP/1.1 4"), 1)

    def test_bodies_over_the_limit_are_refused(self):
        head = POST + b"Content-Length: %d\r\n\r\n"
        self.assert_status(413, head % (LIMIT_BYTES + 1))
        self.assert_status(413, head % 10**15)
        chunk = b"%x\r\n%b\r\n" % (LIMIT_BYTES + 1, bytes(LIMIT_BYTES + 1))
        self.assert_status(413, CHUNKED + chunk)
        without_bodies = self.serve(0)
        self.assert_status(413, head % 1, without_bodies)
        self.assert_status(413, CHUNKED + b"1\r\na\r\n", without_bodies)

    def test_a_sender_without_end_is_cut_off(self):
        for limit_bytes in (0, LIMIT_BYTES):
            address = self.serve(limit_bytes)
            for endless in (b"2\r\nab\r\n" * 4_096, b"10000\r\n%b\r\n" % bytes(65_536)):
                with self.subTest(limit_bytes, size=len(endless)):
                    connection = self.connect(address)
                    connection.sendall(CHUNKED)
                    sent_bytes = 0
                    with contextlib.suppress(ConnectionError):
                        while sent_bytes <= BUFFERS_BYTES:
                            connection.sendall(endless)
                            sent_bytes += len(endless)
                    self.assertLess(sent_bytes, BUFFERS_BYTES)

    def test_malformed_requests_are_refused(self):
        for request in (
            b"no request\r\n\r\n",
            POST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
            POST + b"Content-Length: -1\r\n\r\n",
            POST + b"Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n",
            POST + b"A : b\r\n\r\n",
            CHUNKED + b"-1\r\n",
            CHUNKED + b"1\r\nabc",
        ):
            with self.subTest(request):
                self.assert_status(400, request)
        self.assert_status(431, POST + b"A: %b\r\n\r\n" % (b"a" * 20_000))

    def test_slow_senders_are_refused(self):
        for request in (b"POST", POST, POST + b"Content-Length: 9\r\n\r\n", CHUNKED):
            with self.subTest(request):
                self.assert_status(408, request)

    def test_a_sender_of_single_bytes_is_refused(self):
        for start in (POST + b"A: ", POST + b"Content-Length: 900\r\n\r\n"):
            with self.subTest(start), contextlib.suppress(ConnectionError):
                connection = self.connect()
                connection.sendall(start)
                for _ in range(400):
                    connection.sendall(b"a")
                    eventlet.sleep(TIMEOUT_S / 10)
                    connection.setblocking(False)
                    with contextlib.suppress(BlockingIOError):
                        self.assertTrue(connection.recv(99).startswith(b"HTTP/1.1 408"))
                        break
                    connection.settimeout(5.0)
                else:
                    self.fail("the sender was never refused")

    def test_a_connection_serves_sound_requests_of_all_framings(self):
        connection = self.connect()
        for request, body in (
            (b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", b""),
            (POST + b"Content-Length: 3\r\n\r\nabc", b"abc"),
            (CHUNKED + b"1\r\nd\r\n2\r\nef\r\n0\r\n\r\n", b"def"),
            (CHUNKED + b"0\r\n\r\n", b""),
            (POST + b"Content-Length: 100000\r\n\r\n" + bytes(100_000), bytes(100_000)),
        ):
            connection.sendall(request)
            reader = connection.makefile("rb")
            self.assertEqual(reader.readline(), b"HTTP/1.1 200 OK\r\n")
            head = list(iter(reader.readline, b"\r\n"))
            self.assertIn(b"Content-Length: %d\r\n" % len(body), head)
            self.assertEqual(reader.read(len(body)), body)
        connection.sendall(POST + b"Content-Length: 1\r\nExpect: 100-continue\r\n\r\n")
        self.assertTrue(connection.recv(99).startswith(b"HTTP/1.1 100 "))
        connection.sendall(b"x")
        self.assertTrue(connection.recv(999).startswith(b"HTTP/1.1 200 "))

    def test_the_bodies_of_a_port_have_a_limit_together(self):
        # Each lacks one byte, so all are held until they are late.
        head = POST + b"Content-Length: %d\r\n\r\n" % LIMIT_BYTES
        connections = [self.connect() for _ in range(10)]
        for connection in connections:
            connection.sendall(head + bytes(LIMIT_BYTES - 1))
        answers = [connection.recv(99) for connection in connections]
        statuses = [answer.split()[1] for answer in answers]
        self.assertEqual(set(statuses), {b"503", b"408"})
        # What was held is free again.
        answer = self.exchange(
            POST
            + b"Connection: close\r\nContent-Length: 100000\r\n\r\n"
            + bytes(100_000)
        )
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 "))

    def test_connections_that_wait_for_their_peers_lock_nobody_out(self):
        # Longer than a test waits for an answer.
        address = self.serve(LIMIT_BYTES, timeout_s=30.0)
        # The answers are more than the buffers of a connection take.
        pipelined = (POST + b"Content-Length: 60000\r\n\r\n" + bytes(60_000)) * 200
        for sent in (b"", b"GE", POST + b"Content-Length: 9\r\n\r\n", pipelined):
            with self.subTest(sent[:99]):
                for _ in range(CONNECTIONS_LIMIT):
                    connection = self.connect(address)
                    self.senders.append(eventlet.spawn(connection.sendall, sent))
                request = b"GET / HTTP/1.0\r\n\r\n"
                answer = self.exchange(request, address)
                self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer)
