"""Tests of the end of a drain: what is answered, refused and given up."""

import unittest

import eventlet
import eventlet.patcher
from eventlet.hubs import get_hub

from berylhaven.clock import WAKE_UP_INTERVAL_S, ManualClock, monotonic_s
from berylhaven.gateway.tests._gateway_path import (
    ID_HEADER,
    ORDERS,
    READS,
    GatewayPath,
    request_bytes,
)

# Its sockets can be used in a callback of the hub, which must not wait.
plain_socket = eventlet.patcher.original("socket")
real_sleep_s = eventlet.patcher.original("time").sleep
# The grace of the settings of GatewayPath.
GRACE_S = 3.0
# In the part of the drain in which each request is taken.
TAKEN_AFTER_S = 1.1
# When connections without pending requests are closed.
IDLE_CLOSED_AFTER_S = 0.6 * GRACE_S
# Work that ends after the process.
LONG_WORK_S = 4.0
# Two such answers do not fit into the account of held bytes.
LARGE_BYTES = 5_000_000
# More than is read before a request is sent to a server.
UPLOAD_BYTES = 1_200_000
# A server that works until then is waited for.
LAST_PART_S = 5 / 6 * GRACE_S
STEP_S = 0.05
# What is sent over sockets goes through several green threads in each step.
HUB_TURNS_PER_STEP = 40
REAL_PAUSE_S = 0.000_2


class DrainEndTest(unittest.TestCase):
    def setUp(self):
        self.path = GatewayPath()
        self.addCleanup(self.path.stop)
        self.clock = ManualClock(monotonic_s())
        self.enterContext(self.clock)
        self.run_ids = []
        for service in (READS, ORDERS):
            self.path.answer_all(service, self.run_request)

    def run_request(self, sock, request):
        self.run_ids.append(request.header(ID_HEADER))
        if request.path.endswith("/long"):
            eventlet.sleep(LONG_WORK_S)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    def answer_large(self, sock, request):
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BYTES}\r\n\r\n"
        sock.sendall(head.encode() + b"x" * LARGE_BYTES)

    def await_wake_up(self):
        """Let time pass until the main loop has just recorded a wake-up."""
        while self.path.instance._lateness.woke_at_s < monotonic_s():
            self.pass_s(STEP_S)

    def start_drain(self):
        """Begin the drain by a signal that was sent just now."""
        self.await_wake_up()
        self.path.instance.leave()
        self.began_at_s = monotonic_s()

    def pass_s(self, duration_s):
        """Let time pass in small steps, so that the hub is not late."""
        end_s = monotonic_s() + duration_s
        while monotonic_s() < end_s:
            self.clock.advance_s(min(STEP_S, end_s - monotonic_s()))
            self.turn()

    def turn(self):
        for _ in range(HUB_TURNS_PER_STEP):
            eventlet.sleep(0)
            # On a busy machine the kernel delivers later what was sent.
            real_sleep_s(REAL_PAUSE_S)

    def result_of(self, function, *args, **kwargs):
        """Return what a function returns that waits while time passes."""
        thread = eventlet.spawn(function, *args, **kwargs)
        self.turn()
        while not thread.dead:
            self.pass_s(STEP_S)
        return thread.wait()

    def answer(self, caller):
        return self.result_of(caller.answer)

    def await_end(self):
        while not self.path.waiter.dead:
            self.pass_s(STEP_S)

    def drained_s(self):
        return monotonic_s() - self.began_at_s

    def connect_plain(self, caller):
        host, _, port = self.path.callers_address.rpartition(":")
        caller.connect((host, int(port)))

    def send_late(self, caller):
        """Send a request after the hub has polled sockets, and come back late."""
        caller.sock.fd.send(request_bytes("/read/x", "second"))
        self.clock.block_s(IDLE_CLOSED_AFTER_S - TAKEN_AFTER_S + 0.2)

    def test_a_request_that_is_given_up_while_its_body_arrives_is_the_last(self):
        # Guards against bytes of a body that are taken for requests.
        self.start_drain()
        self.pass_s(TAKEN_AFTER_S)
        upload = request_bytes("/order/x", "up", "POST", Content_Length=UPLOAD_BYTES)
        inner = request_bytes("/read/x", "inner")
        with self.path.connect() as caller:
            caller.send(upload + bytes(UPLOAD_BYTES - len(inner)))
            answer = self.answer(caller)
            self.assertEqual(answer.status, 504)
            self.assertGreaterEqual(self.drained_s(), LAST_PART_S)
            self.assertEqual(answer.headers["connection"], "close")
            caller.send(inner)
            self.turn()
        self.assertNotIn("inner", self.run_ids)
        text = self.path.instance.metrics.render("")[0].decode()
        closed = 'berylhaven_caller_connections_closed_total{reason="unread-body"} 1'
        self.assertIn(closed, text)

    def test_an_answer_behind_a_longer_one_is_written_before_the_end(self):
        # Guards against the loss of answers that wait for another one.
        self.start_drain()
        self.pass_s(TAKEN_AFTER_S)
        with self.path.connect() as caller:
            caller.send(request_bytes("/read/long", "long"))
            caller.send(request_bytes("/order/x", "behind", "POST", b"x"))
            first = self.answer(caller)
            self.assertIsNotNone(first)
            self.assertEqual(first.status, 504)
            self.assertGreaterEqual(self.drained_s(), LAST_PART_S)
            second = self.answer(caller)
        self.assertEqual((second.status, second.body), (200, b"ok"))
        self.assertEqual(set(self.run_ids), {"behind", "long"})

    def test_a_request_that_no_server_got_is_refused_at_the_end(self):
        # Guards against a connection that ends although nothing of the request ran.
        self.start_drain()
        head = request_bytes("/order/x", "cut", "POST", Content_Length="9")
        with self.path.connect() as caller:
            caller.send(head + b"part")
            answer = self.answer(caller)
        self.assertIsNotNone(answer)
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.headers["connection"], "close")
        self.assertEqual(self.run_ids, [])

    def test_input_that_was_received_is_read_before_its_connection_is_closed(self):
        # Guards against unread requests at a starved instance that closes idle callers.
        with self.path.connect() as caller:
            first = self.result_of(caller.exchange, "/read/x", "first")
            self.assertEqual(first.status, 200)
            self.start_drain()
            self.pass_s(TAKEN_AFTER_S)
            # The main loop is due, and wakes up right after the late callback.
            self.clock.block_s(0.15)
            get_hub().schedule_call_global(-1.0, self.send_late, caller)
            answer = self.answer(caller)
        self.assertIsNotNone(answer)
        self.assertEqual(answer.headers["connection"], "close")

    def test_a_new_connection_is_read_before_the_instance_ends_early(self):
        # Guards against unread requests on connections that a starved instance has not
        # accepted when nothing else is pending.
        caller = plain_socket.socket()
        self.addCleanup(caller.close)

        def connect_late():
            self.connect_plain(caller)
            caller.sendall(request_bytes("/read/x"))
            self.clock.block_s(IDLE_CLOSED_AFTER_S - TAKEN_AFTER_S + 0.2)

        self.start_drain()
        self.pass_s(TAKEN_AFTER_S)
        # The main loop is due, and wakes up right after the late callback.
        self.clock.block_s(0.15)
        get_hub().schedule_call_global(-1.0, connect_late)
        self.await_end()
        caller.setblocking(False)
        # An instance that is so late cannot know that the work would end in time.
        self.assertEqual(caller.recv(12), b"HTTP/1.1 503")
        self.assertEqual(self.run_ids, [])

    def test_an_answer_that_arrived_is_not_given_up_by_a_late_instance(self):
        # Guards against complete answers that are replaced at the end of the grace.
        servers = []

        def keep_waiting(sock, request):
            servers.append(sock)
            eventlet.sleep(LONG_WORK_S)

        def answer_late():
            head = f"HTTP/1.1 200 OK\r\n{ID_HEADER}: a\r\nContent-Length: 2\r\n\r\n"
            servers[0].fd.send(head.encode() + b"ok")
            self.clock.block_s(GRACE_S - 0.4 - self.drained_s())

        self.path.answer_all(ORDERS, keep_waiting)
        self.start_drain()
        self.pass_s(TAKEN_AFTER_S)
        with self.path.connect() as caller:
            caller.send(request_bytes("/order/x", method="POST", body=b"x"))
            self.pass_s(0.2)
            # The main loop is due, and wakes up right after the late callback.
            self.clock.block_s(0.15)
            get_hub().schedule_call_global(-1.0, answer_late)
            answer = self.answer(caller)
        self.assertEqual((answer.status, answer.body), (200, b"ok"))

    def test_what_is_given_up_in_the_last_step_is_answered(self):
        # Guards against a process that is so late that it ends before the answers of
        # the requests that it has just given up are written.
        self.start_drain()
        self.pass_s(TAKEN_AFTER_S)
        callers = [plain_socket.socket() for _ in range(3)]
        for number, caller in enumerate(callers):
            self.addCleanup(caller.close)
            self.connect_plain(caller)
            caller.sendall(request_bytes("/read/long", str(number)))
        while len(self.run_ids) < len(callers):
            self.turn()
        # The main loop is due, and wakes up right after the late callback.
        self.clock.block_s(0.15)
        get_hub().schedule_call_global(
            -1.0, lambda: self.clock.block_s(GRACE_S - 0.25 - self.drained_s())
        )
        self.await_end()
        self.assertLess(self.drained_s(), GRACE_S)
        for caller in callers:
            caller.setblocking(False)
            self.assertEqual(caller.recv(12), b"HTTP/1.1 504")

    def test_an_instance_that_is_late_while_it_answers_ends_at_once(self):
        # Guards against a process that is killed, since it takes the time before it
        # reads and writes for the time after that, and sleeps again.
        self.path.answer_all(READS, self.answer_large)
        self.start_drain()
        with self.path.connect() as caller:
            # Its answer is not read, so that it is pending for the whole drain.
            caller.send(request_bytes("/read/large", "large"))
            self.pass_s(IDLE_CLOSED_AFTER_S + STEP_S)
            self.await_wake_up()
            self.clock.block_s(WAKE_UP_INTERVAL_S)
            hub, left_s = get_hub(), GRACE_S - 0.25 - self.drained_s()
            # The main loop is due, and the later callback runs after it.
            hub.schedule_call_global(
                -1.0, hub.schedule_call_global, 0, self.clock.block_s, left_s
            )
            self.turn()
            self.assertTrue(self.path.waiter.dead)

    def test_an_instance_that_notices_its_signal_late_ends_within_its_grace(self):
        # Guards against a process that is killed with requests at work, since it counts
        # its grace from the time at which it has noticed the signal.
        self.path.answer_all(READS, self.answer_large)
        with self.path.connect() as caller:
            # Its answer is not read, so that it is pending for the whole drain.
            caller.send(request_bytes("/read/large", "large"))
            self.await_wake_up()
            signal_s = monotonic_s()
            self.clock.block_s(0.8)
            self.path.instance.leave()
            self.await_end()
        ended_after_s = monotonic_s() - signal_s
        self.assertGreaterEqual(ended_after_s, LAST_PART_S)
        self.assertLess(ended_after_s, GRACE_S)

    def test_a_late_instance_takes_only_what_is_due_in_time(self):
        # Guards against requests that a starved instance takes and cannot answer.
        self.clock.block_s(0.6)
        self.pass_s(0.2)
        self.start_drain()
        with self.path.connect() as caller:
            answer = self.result_of(caller.exchange, "/order/x", "long", "POST", b"x")
            self.assertEqual(answer.status, 503)
        with self.path.connect() as caller:
            answer = self.result_of(
                caller.exchange,
                "/order/x",
                "short",
                "POST",
                b"x",
                Wordy_Left_Ms="500",
            )
            self.assertEqual(answer.status, 200)
        self.assertEqual(self.run_ids, ["short"])

    def test_no_attempt_begins_that_may_outlast_the_instance(self):
        # Guards against a late repeat that is cut when the process ends.
        def refuse_late(sock, request):
            self.run_ids.append(request.header(ID_HEADER))
            eventlet.sleep(IDLE_CLOSED_AFTER_S - TAKEN_AFTER_S + 0.1)
            sock.sendall(
                b"HTTP/1.1 503 Full\r\nWordy-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
            )

        self.path.answer_all(ORDERS, refuse_late)
        self.start_drain()
        self.pass_s(TAKEN_AFTER_S)
        with self.path.connect() as caller:
            answer = self.result_of(caller.exchange, "/order/x", "once", "POST", b"x")
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.run_ids, ["once"])

    def test_an_answer_that_waits_for_room_is_read_before_the_end(self):
        # Guards against answers that are lost behind others that callers read slowly.
        self.path.answer_all(READS, self.answer_large)
        callers = [self.path.connect() for _ in range(3)]
        self.start_drain()
        self.pass_s(TAKEN_AFTER_S)
        for number, caller in enumerate(callers):
            self.addCleanup(caller.close)
            caller.send(request_bytes("/read/large", str(number)))
        # None of the callers reads before idle connections are closed.
        self.pass_s(IDLE_CLOSED_AFTER_S - TAKEN_AFTER_S + 0.2)
        sizes = [len(self.answer(caller).body) for caller in callers]
        self.assertEqual(sizes, [LARGE_BYTES] * 3)
