"""Tests of the log lines about requests that a drain leaves unanswered."""

import re
import unittest

import eventlet

from berylhaven.gateway.tests._gateway_path import READS, GatewayPath, request_bytes

SLOW_WORK_S = 1.0
# More than the sockets of a loopback connection hold.
LARGE_BYTES = 16_000_000
LINES_BYTES = 65_536


class DrainRecordsTest(unittest.TestCase):
    def setUp(self):
        self.path = GatewayPath()
        self.addCleanup(self.path.stop)

    def lines(self, *events):
        """Return the log lines of these events that were written so far."""
        starts = tuple(f"event={event}" for event in events)
        self.path.reader.setblocking(False)
        text = self.path.reader.recv(LINES_BYTES).decode()
        return [line for line in text.splitlines() if line.split()[2] in starts]

    def test_requests_that_end_with_their_connection_are_told_apart(self):
        # Guards against lost requests of which the log tells neither stage nor server.
        def answer(sock, request):
            if request.path == "/read/slow":
                eventlet.sleep(SLOW_WORK_S)
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        self.path.answer_all(READS, answer)
        with self.path.connect() as caller:
            caller.send(request_bytes("/read/slow", "first"))
            caller.send(request_bytes("/read/x", "second"))
            eventlet.sleep(0.2)
            self.path.instance.leave()
        eventlet.sleep(0.2)
        first, second = self.lines("unanswered")
        self.assertIn("request=first stage=sent", first)
        self.assertIn("request=second stage=answered", second)
        self.assertIn("position=0", first)
        self.assertIn("position=1", second)
        for line in first, second:
            self.assertRegex(line, r"sent_s_ago=0\.\d+ sent_to=reads-[01]")
            self.assertIn('reason="the caller closed its connection"', line)
        self.assertTrue(re.search(r"answered_s_ago=0\.\d+", second))

    def test_a_request_that_ends_with_the_process_is_recorded_once(self):
        # Guards against a second line that gives the caller as the reason.
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BYTES}\r\n\r\n".encode()
        self.path.answer_all(
            READS, lambda sock, _: sock.sendall(head + bytes(LARGE_BYTES))
        )
        with self.path.connect() as caller:
            caller.send(request_bytes("/read/large", "large"))
            eventlet.sleep(0.2)
            self.path.instance.leave()
            self.path.waiter.wait()
            eventlet.sleep(0.1)
        [line] = self.lines("unanswered")
        self.assertIn("request=large stage=answered", line)
        self.assertIn('reason="the instance stops"', line)

    def test_the_begin_and_the_end_tell_how_late_the_hub_is(self):
        # Guards against a starved process that looks like any other in the log.
        self.path.instance.leave()
        self.path.waiter.wait()
        lines = self.lines("drain", "stop")
        self.assertEqual(len(lines), 2)
        for line in lines:
            self.assertRegex(line, r"lateness_s=[0-9.e-]+")
        self.assertIn(
            "pending=0 unsent=0 sent=0 received=0 answered=0 unread=0", lines[1]
        )
