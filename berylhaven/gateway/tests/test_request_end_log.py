"""Tests of the log lines about requests that are left unanswered."""

import re
import unittest
import unittest.mock

import eventlet

from berylhaven.gateway.tests._gateway_path import READS, GatewayPath, request_bytes

SLOW_WORK_S = 1.0
# More than the sockets of a loopback connection hold.
LARGE_BYTES = 16_000_000
LINES_BYTES = 65_536


class RequestEndRecordsTest(unittest.TestCase):
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

    def test_requests_that_their_caller_leaves_are_recorded_outside_a_drain(self):
        # Guards against lost requests without a line while no instance is stopped.
        self.path.answer_all(READS, lambda sock, _: eventlet.sleep(SLOW_WORK_S))
        with self.path.connect() as caller:
            caller.send(request_bytes("/read/slow", "left"))
            eventlet.sleep(0.2)
        eventlet.sleep(0.1)
        [line] = self.lines("unanswered")
        self.assertIn("request=left stage=sent", line)
        self.assertIn('ended_by=caller reason="the caller closed its connection"', line)
        self.assertRegex(line, r"due_in_s=[0-9.]+ .*lateness_s=[0-9.e-]+")
        self.assertNotIn("drained_s", line)
        self.assert_counted("sent", "caller_closed")

    def test_a_connection_that_an_internal_error_ends_is_recorded(self):
        # Guards against errors that the WSGI server discards.
        self.path.answer_all(READS, lambda sock, _: eventlet.sleep(SLOW_WORK_S))
        with self.path.connect() as caller:
            caller.send(request_bytes("/read/slow", "ended"))
            eventlet.sleep(0.1)
            target = "berylhaven.gateway.callers._caller_connection.read_head"
            with unittest.mock.patch(target, side_effect=ZeroDivisionError):
                caller.send(request_bytes("/read/x", "failed"))
                eventlet.sleep(0.1)
        [fault, line] = self.lines("fault", "unanswered")
        self.assertIn("error=ZeroDivisionError", fault)
        self.assertIn("request=ended", line)
        self.assertIn("ended_by=instance", line)
        self.assert_counted("sent", "internal_error")

    def assert_counted(self, stage, reason):
        text = self.path.instance.metrics.render("")[0].decode()
        labels = f'{{reason="{reason}",stage="{stage}"}}'
        self.assertIn(f"berylhaven_requests_unanswered_total{labels} 1", text)

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
