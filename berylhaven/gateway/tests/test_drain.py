"""Tests of the end of the intake and of the process in a drain."""

import math
import unittest

import eventlet
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from berylhaven.clock import WAKE_UP_INTERVAL_S, LoopLateness, monotonic_s
from berylhaven.gateway.callers._answer_queue import LINGER_TIMEOUT_S
from berylhaven.gateway.callers._drain import (
    EARLY_LIMIT_S,
    LAST_ANSWER_MARGIN_S,
    LATE_WAKE_UPS,
    SERVING_RATIO,
    STARVED_LATENESS_S,
    STOP_MARGIN_S,
    STOP_RATIO,
    WRITING_S,
    Drain,
    DrainRefusal,
)
from berylhaven.gateway.tests._gateway_path import (
    ID_HEADER,
    ORDERS,
    READS,
    GatewayPath,
    request_bytes,
)

# The grace of the settings of GatewayPath.
GRACE_S = 3.0
BEGAN_AT_S = 100.0
INTERVAL_S = 0.05
WORK_S = 0.3
SLOW_WORK_S = 1.6
# More than the sockets of a loopback connection hold.
LARGE_BYTES = 16_000_000
# Less than the instance's socket holds, and more than the caller's with its buffer.
BUFFERED_BYTES = 2_000_000
SMALL_BUFFER_BYTES = 32_768
DEADLINE_MS = "700"


# Generating numbers takes long on a busy machine.
PURE = settings(deadline=None, suppress_health_check=[HealthCheck.too_slow])


def new_drain(grace_s, lateness_s=0.0, unnoticed_s=0.0):
    """Return a drain whose signal was sent at BEGAN_AT_S, and noticed later."""
    lateness = LoopLateness(BEGAN_AT_S)
    lateness.record(BEGAN_AT_S - lateness_s, BEGAN_AT_S)
    drain = Drain(lateness)
    drain.begin(BEGAN_AT_S + unnoticed_s, grace_s)
    return drain


class DrainTest(unittest.TestCase):
    @PURE
    @given(
        grace_s=st.floats(1.0, 60.0),
        received_s=st.floats(0.0, 60.0),
        time_limit_s=st.floats(0.0, 60.0),
        lateness_s=st.floats(0.0, 2.0),
    )
    def test_what_is_taken_late_is_due_before_the_process_ends(
        self, grace_s, received_s, time_limit_s, lateness_s
    ):
        # Guards against requests that are cut at the end of a planned stop.
        drain = new_drain(grace_s, lateness_s)
        due_at_s = BEGAN_AT_S + received_s + time_limit_s
        try:
            drain.check_intake(BEGAN_AT_S + received_s, due_at_s)
        except DrainRefusal:
            return
        if received_s > EARLY_LIMIT_S or lateness_s > STARVED_LATENESS_S:
            self.assertFalse(drain.has_ended(due_at_s + lateness_s, pending_count=1))
            self.assertFalse(drain.gives_up(due_at_s, due_at_s))

    @PURE
    @given(
        grace_s=st.floats(1.0, 60.0),
        sent_s=st.floats(0.0, 60.0),
        time_limit_s=st.floats(0.0, 60.0),
        lateness_s=st.floats(0.0, 2.0),
    )
    def test_what_is_sent_late_is_due_before_it_is_given_up(
        self, grace_s, sent_s, time_limit_s, lateness_s
    ):
        # Guards against work that begins after a long wait and cannot be answered.
        drain = new_drain(grace_s, lateness_s)
        due_at_s = BEGAN_AT_S + sent_s + time_limit_s
        try:
            drain.check_sending(BEGAN_AT_S + sent_s, due_at_s)
        except DrainRefusal:
            return
        if sent_s > SERVING_RATIO * grace_s:
            self.assertFalse(drain.gives_up(due_at_s, due_at_s))

    @PURE
    @given(
        grace_s=st.floats(3.0, 60.0),
        time_limit_s=st.floats(0.0, 90.0),
        lateness_s=st.floats(0.0, 2.0),
    )
    def test_requests_are_given_up_in_the_last_sixth_and_before_the_end(
        self, grace_s, time_limit_s, lateness_s
    ):
        # Guards against requests that are broken off early, or end without an answer.
        drain = new_drain(grace_s, lateness_s)
        due_at_s = BEGAN_AT_S + time_limit_s
        before_last_part_s = BEGAN_AT_S + 0.999 * 5 / 6 * grace_s
        self.assertFalse(drain.gives_up(before_last_part_s, due_at_s))
        margin_s = min(STOP_MARGIN_S + lateness_s, STOP_RATIO * grace_s)
        end_s = BEGAN_AT_S + grace_s - max(STOP_MARGIN_S, margin_s)
        self.assertFalse(drain.has_ended(end_s - WRITING_S, pending_count=1))
        self.assertTrue(drain.gives_up(end_s - 0.999 * WRITING_S, due_at_s))
        self.assertTrue(drain.has_ended(end_s + 0.001, pending_count=1))

    @PURE
    @given(
        grace_s=st.floats(3.0, 60.0),
        unnoticed_s=st.floats(0.0, 5.0),
        received_s=st.floats(0.0, 60.0),
        time_limit_s=st.floats(0.0, 60.0),
    )
    def test_the_grace_counts_from_the_earliest_time_of_the_signal(
        self, grace_s, unnoticed_s, received_s, time_limit_s
    ):
        # Guards against a process that is killed with requests at work, since it has
        # noticed its signal late.
        drain = new_drain(grace_s, unnoticed_s=unnoticed_s)
        end_s = BEGAN_AT_S + grace_s
        self.assertTrue(drain.has_ended(end_s - 0.999 * STOP_MARGIN_S, 1))
        self.assertTrue(drain.gives_up(end_s - 0.999 * STOP_MARGIN_S, math.inf))
        self.assertTrue(drain.closes_idle(BEGAN_AT_S + 1.001 * 5 / 6 * grace_s))
        due_at_s = BEGAN_AT_S + received_s + time_limit_s
        try:
            drain.check_intake(BEGAN_AT_S + received_s, due_at_s)
        except DrainRefusal:
            return
        self.assertTrue(received_s < EARLY_LIMIT_S or due_at_s < end_s)

    @PURE
    @given(
        grace_s=st.floats(6.0, 60.0),
        unnoticed_s=st.floats(0.0, 2.0),
        time_limit_s=st.floats(0.0, 90.0),
        lateness_s=st.floats(0.0, 2.0),
    )
    def test_a_late_notice_gives_nothing_up_before_the_last_sixth_after_it(
        self, grace_s, unnoticed_s, time_limit_s, lateness_s
    ):
        # Guards against requests that are broken off early, since the signal was sent
        # shortly before it was noticed.
        drain = new_drain(grace_s, lateness_s, unnoticed_s)
        earliest_s = min(
            BEGAN_AT_S + unnoticed_s + 5 / 6 * grace_s,
            BEGAN_AT_S + grace_s - max(STOP_MARGIN_S, STOP_RATIO * grace_s) - WRITING_S,
        )
        due_at_s = BEGAN_AT_S + time_limit_s
        self.assertFalse(drain.gives_up(earliest_s - 0.001, due_at_s))

    @PURE
    @given(
        grace_s=st.floats(3.0, 60.0),
        unnoticed_s=st.floats(0.0, 2.0),
        lateness_s=st.floats(0.0, 2.0),
        waited_s=st.floats(0.0, 60.0),
    )
    def test_a_late_notice_leaves_callers_the_time_to_learn_of_the_stop(
        self, grace_s, unnoticed_s, lateness_s, waited_s
    ):
        # Guards against an instance that is gone while callers still have its address,
        # since it counts the time for them from before it has told anyone.
        drain = new_drain(grace_s, lateness_s, unnoticed_s)
        noticed_s = BEGAN_AT_S + unnoticed_s
        closes_s = min(
            noticed_s + SERVING_RATIO * grace_s, BEGAN_AT_S + 5 / 6 * grace_s
        )
        self.assertFalse(drain.has_ended(closes_s - 0.001, pending_count=0))
        self.assertFalse(drain.closes_idle(closes_s - 0.001))
        self.assertTrue(drain.has_ended(closes_s + 0.001, pending_count=0))
        # Whatever is given up is given up by the steps from then on.
        now_s = BEGAN_AT_S + waited_s
        if drain.gives_up(now_s, math.inf) or drain.has_ended(now_s, pending_count=1):
            self.assertTrue(drain.closes_idle(now_s + 0.001))

    @PURE
    @given(
        grace_s=st.floats(6.0, 60.0),
        lateness_s=st.floats(0.0, 2.0),
        unnoticed_s=st.floats(0.0, 2.0),
        wake_up_count=st.integers(0, 40),
    )
    def test_margins_follow_the_highest_lateness_of_the_drain(
        self, grace_s, lateness_s, unnoticed_s, wake_up_count
    ):
        # Guards against margins that are short at the end of a drain, since the
        # lateness at its begin has faded.
        lateness = LoopLateness(BEGAN_AT_S)
        drain = Drain(lateness)
        noticed_s = BEGAN_AT_S + unnoticed_s
        drain.begin(noticed_s, grace_s)
        lateness.record(noticed_s - lateness_s, noticed_s)
        for number in range(wake_up_count):
            lateness.record(noticed_s + number, noticed_s + number)
        highest_s = max(lateness_s, unnoticed_s - WAKE_UP_INTERVAL_S)
        margin_s = max(STOP_MARGIN_S, min(STOP_MARGIN_S + highest_s, grace_s / 12))
        end_s = BEGAN_AT_S + grace_s
        self.assertTrue(drain.has_ended(end_s - 0.999 * margin_s, pending_count=1))
        late_s = end_s - 0.999 * (LAST_ANSWER_MARGIN_S + LATE_WAKE_UPS * highest_s)
        with self.assertRaises(DrainRefusal):
            drain.check_sending(end_s - 0.1, late_s)

    def test_the_first_signal_counts(self):
        drain = new_drain(GRACE_S)
        drain.begin(BEGAN_AT_S + 2.0, GRACE_S)
        self.assertTrue(drain.has_ended(BEGAN_AT_S + GRACE_S, pending_count=1))


class DrainedInstanceTest(unittest.TestCase):
    def setUp(self):
        self.path = GatewayPath()
        self.addCleanup(self.path.stop)
        self.run_ids = set()
        self.path.answer_all(ORDERS, self.run_order)

    def run_order(self, sock, request):
        self.run_ids.add(request.header(ID_HEADER))
        eventlet.sleep(WORK_S)
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    def run_slowly(self, sock, request):
        eventlet.sleep(SLOW_WORK_S)
        self.run_order(sock, request)

    def send_order(self, number, answers, body=b"x"):
        try:
            caller = self.path.connect()
        except OSError:
            # The instance has ended.
            return
        with caller:
            caller.send(
                request_bytes(
                    "/order/x", str(number), "POST", body, Wordy_Left_Ms=DEADLINE_MS
                )
            )
            try:
                answers[str(number)] = caller.answer()
            except OSError:
                answers[str(number)] = None

    def test_every_request_that_runs_in_a_drain_is_answered(self):
        # Guards against the end of the process while taken requests are at work.
        answers = {}
        threads = []
        self.path.instance.leave()
        began_at_s = monotonic_s()
        while monotonic_s() - began_at_s < GRACE_S:
            threads.append(eventlet.spawn(self.send_order, len(threads), answers))
            eventlet.sleep(INTERVAL_S)
        for thread in threads:
            thread.wait()
        self.assertGreater(len(self.run_ids), 0)
        cut = {run_id for run_id in self.run_ids if answers[run_id] is None}
        self.assertEqual(cut, set())
        refused = {i: a for i, a in answers.items() if a and a.status == 503}
        self.assertEqual(refused.keys() & self.run_ids, set())

    def test_a_late_request_is_refused_before_its_body_is_read(self):
        # Guards against a refusal that waits until a slow body was read.
        other = self.path.connect()
        self.addCleanup(other.close)
        self.path.answer_all(ORDERS, self.run_slowly)
        # A request at work keeps the instance from an earlier end.
        self.path.instance.leave()
        other.send(request_bytes("/order/x", "other", "POST", b"x"))
        eventlet.sleep(SLOW_WORK_S)
        with self.path.connect() as caller:
            head = request_bytes(
                "/order/x", "late", "POST", Content_Length="9", Wordy_Left_Ms="1000"
            )
            caller.send(head)
            answer = caller.answer()
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.headers["retry-after"], "0.000")
        self.assertEqual(answer.headers["connection"], "close")
        self.assertNotIn("late", self.run_ids)

    def test_a_slow_reader_gets_its_whole_last_answer(self):
        # Guards against an answer that is cut by another request behind it.
        body = b"x" * LARGE_BYTES
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE_BYTES
        self.path.answer_all(READS, lambda sock, _: sock.sendall(head + body))
        with self.path.connect() as caller:
            self.path.instance.leave()
            caller.send(request_bytes("/read/large", "large"))
            eventlet.sleep(0.5)
            caller.send(request_bytes("/read/next", "next"))
            # Longer than a connection is read after its last answer.
            eventlet.sleep(LINGER_TIMEOUT_S + 0.2)
            answer = caller.answer()
        self.assertEqual(len(answer.body), LARGE_BYTES)

    def test_an_answer_on_its_way_is_not_cut_by_the_next_request(self):
        # Guards against the close of connections on which a caller still receives.
        body = b"x" * BUFFERED_BYTES
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.path.answer_all(READS, lambda sock, _: sock.sendall(head + body))
        with self.path.connect(SMALL_BUFFER_BYTES) as caller:
            caller.send(request_bytes("/read/large", "large"))
            eventlet.sleep(0.3)
            self.assertEqual(self.path.instance._port.pending_count, 0)
            self.path.instance.leave()
            # Connections without pending requests are closed meanwhile.
            eventlet.sleep(0.7 * GRACE_S)
            caller.send(request_bytes("/read/next", "next"))
            answer = caller.answer()
            self.assertEqual(len(answer.body), BUFFERED_BYTES)
            # The next one is due too late.
            self.assertEqual(caller.answer().status, 503)
        with eventlet.Timeout(0.1 * GRACE_S):
            self.path.waiter.wait()

    def test_a_request_whose_body_is_still_arriving_is_answered(self):
        # Guards against a close of connections that are idle but for a body.
        with self.path.connect() as caller:
            self.path.instance.leave()
            eventlet.sleep(0.3 * GRACE_S)
            data = request_bytes("/order/x", "slow", "POST", b"body")
            caller.send(data[:-1])
            # Connections without pending requests are closed meanwhile.
            eventlet.sleep(0.4 * GRACE_S)
            caller.send(data[-1:])
            # It is due too late now.
            self.assertEqual(caller.answer().status, 503)

    def test_a_request_behind_the_last_answer_is_not_started(self):
        # Guards against a run of a request that its caller sends again elsewhere.
        self.path.answer_all(READS, self.run_order)
        data = request_bytes("/order/x", "behind", "POST", b"body")
        with self.path.connect() as caller:
            caller.send(request_bytes("/read/x", "first") + data[:-1])
            self.path.instance.leave()
            self.assertEqual(caller.answer().headers["connection"], "close")
            caller.send(data[-1:])
            eventlet.sleep(WORK_S)
        self.assertEqual(self.run_ids, {"first"})
