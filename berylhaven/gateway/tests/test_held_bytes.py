"""Tests of the account of held bytes, its decisions and refusals."""

import gc
import socket
import struct
import unittest

import eventlet
from hypothesis import given
from hypothesis import strategies as st

from berylhaven.clock import monotonic_s
from berylhaven.gateway.callers._held_bytes import (
    HELD_LIMIT_BYTES,
    HeldBytes,
    NoRoom,
)
from berylhaven.gateway.tests._gateway_path import (
    ORDERS,
    READS,
    GatewayPath,
    request_bytes,
)
from berylhaven.http1.tests._raw_backend import answers_raw
from berylhaven.overload import (
    Admission,
    ExpectedSize,
    HeldKind,
    ReleaseRate,
    UploadLimit,
    answer_kind,
    decide_admission,
    room_bytes,
)

EXPORT_BYTES = 540_000
UPLOAD_BYTES = 360_000


def room_of(held, kind):
    """Return how many bytes of a kind fit into an account."""
    return int(room_bytes(kind, held.held_bytes, held.limit_bytes))


class RefusalTest(unittest.TestCase):
    """A full account refuses bodies before they are read, and nothing else."""

    def setUp(self):
        self.path = GatewayPath()
        self.addCleanup(self.path.stop)
        held = self.path.instance.held
        self.held = held
        size_bytes = int(
            room_bytes(HeldKind.LARGE_BODY, held.held_bytes, held.limit_bytes)
        )
        self.reservation = held.add(HeldKind.LARGE_BODY, size_bytes)

    def test_an_upload_is_refused_before_its_body_is_read(self):
        """A caller that awaits 100 Continue must not send a body that has no room."""
        head = request_bytes("/upload/1", "a", "POST", None, Expect="100-continue")
        head = head[:-2] + b"Content-Length: 360000\r\n\r\n"
        with self.path.connect() as caller:
            caller.send(head)
            answer = caller.answer()
            self.assertEqual(answer.status, 503)
            self.assertGreater(float(answer.headers["retry-after"]), 0)
            self.assertIsNone(caller.answer())
        self.assertEqual(self.path.requests(ORDERS), [])

    def test_small_bodies_and_answers_are_served(self):
        with self.path.connect() as caller:
            answer = caller.exchange("/order/1", "a", "POST", b"x" * 1_000)
            self.assertEqual(answer.status, 200)
            self.assertEqual(caller.exchange("/read/1", "b").status, 200)

    def test_a_chunked_body_is_refused_once_it_is_large(self):
        """Its size is not known in advance; it must not be buffered without room."""
        head = request_bytes("/upload/1", "a", "POST", Transfer_Encoding="chunked")
        with self.path.connect() as caller:
            caller.send(head + b"10\r\n" + b"x" * 16 + b"\r\n0\r\n\r\n")
            self.assertEqual(caller.answer().status, 200)
            caller.send(head + b"%x\r\n" % 360_000 + b"x" * 70_000)
            self.assertEqual(caller.answer().status, 503)
        self.assertEqual(len(self.path.requests(ORDERS)), 1)

    def test_uploads_are_served_once_there_is_room(self):
        self.reservation.release()
        body = b"x" * 360_000
        with self.path.connect() as caller:
            self.assertEqual(
                caller.exchange("/upload/1", "a", "POST", body).status, 200
            )
        self.assertEqual(self.path.requests(ORDERS)[0].body, body)

    def test_a_download_without_room_for_its_answer_is_not_sent(self):
        """Its answer would otherwise wait at the server and hold a slot."""
        held = self.held
        size_bytes = int(
            room_bytes(HeldKind.LARGE_ANSWER, held.held_bytes, held.limit_bytes)
        )
        reservation = held.add(HeldKind.LARGE_ANSWER, size_bytes)
        forwarder = self.path.instance._forwarder
        with self.path.connect() as caller:
            self.assertEqual(caller.exchange("/read/1", "a").status, 200)
            for expected in forwarder._expected_sizes.values():
                expected.record(EXPORT_BYTES, monotonic_s())
            answer = caller.exchange("/read/2", "b")
            self.assertEqual(answer.status, 503)
            self.assertIn("retry-after", answer.headers)
        self.assertEqual([r.path for r in self.path.requests(READS)], ["/read/1"])
        reservation.release()


class StalledBodyTest(unittest.TestCase):
    """Callers that announce bodies and send nothing leave room for others."""

    def test_a_small_body_is_served_beside_many_that_do_not_come(self):
        path = GatewayPath()
        self.addCleanup(path.stop)
        head = request_bytes("/order/1", "a", "POST")
        for framing in (b"Content-Length: 60000", b"Transfer-Encoding: chunked"):
            for _ in range(60):
                caller = path.connect()
                self.addCleanup(caller.close)
                caller.send(head[:-2] + framing + b"\r\n\r\n")
        eventlet.sleep(0.2)
        with path.connect() as caller:
            answer = caller.exchange("/order/2", "b", "POST", b"x" * 60_000)
            self.assertEqual(answer.status, 200, answer.body)


class LargeUploadTest(unittest.TestCase):
    """Uploads that are sent on as they come."""

    CALLER_COUNT = 8
    BODY_BYTES = 1_500_000

    def setUp(self):
        self.path = GatewayPath()
        self.addCleanup(self.path.stop)

    def test_uploads_that_are_not_kept_are_all_taken(self):
        """Each took 1 MB for its first part, so that the fifth was refused."""
        body = b"x" * self.BODY_BYTES
        callers = [self.path.connect() for _ in range(self.CALLER_COUNT)]
        threads = []
        for number, caller in enumerate(callers):
            self.addCleanup(caller.close)
            arguments = ("/upload/1", f"u{number}", "POST", body)
            threads.append(eventlet.spawn(caller.exchange, *arguments))
        self.assertEqual({thread.wait().status for thread in threads}, {200})
        received = {len(request.body) for request in self.path.requests(ORDERS)}
        self.assertEqual(received, {self.BODY_BYTES})


class ReleaseTest(unittest.TestCase):
    """What is held is released when the caller or the server ends."""

    def setUp(self):
        self.path = GatewayPath()
        self.addCleanup(self.path.stop)
        self.held = self.path.instance.held

    def _await(self, condition):
        with eventlet.Timeout(5.0):
            while not condition():
                eventlet.sleep(0.02)

    def test_a_caller_that_leaves_with_a_full_pipeline_releases_everything(self):
        """Its requests and answers would otherwise be held for ever."""
        body = b"x" * 1_000_000
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.path.answer_all(READS, answers_raw(head + body))
        caller = self.path.connect()
        caller.send(request_bytes("/read/1") * 40)
        self._await(lambda: self.path.instance._port.pending_count >= 32)
        linger = struct.pack("ii", 1, 0)
        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        caller.close()
        self._await(lambda: not self.path.instance._port.pending_count)
        gc.collect()
        self._await(lambda: not self.held.reserved_bytes)

    def test_a_server_that_ends_under_an_upload_gets_fewer_bytes_afterwards(self):
        """The next server would otherwise get as many uploads and end too."""
        uploads = self.path.instance._forwarder._runner._uploads
        former_bytes = uploads.limit_bytes(ORDERS)

        def end(sock, request):
            for backend in self.path.backends[ORDERS]:
                backend.thread.kill()
                backend.listener.close()
            sock.shutdown(socket.SHUT_RDWR)
            return False

        self.path.answer_all(ORDERS, end)
        with self.path.connect() as caller:
            answer = caller.exchange("/upload/1", "a", "POST", b"x" * UPLOAD_BYTES)
            self.assertEqual(answer.status, 502)
        self._await(lambda: uploads.limit_bytes(ORDERS) < former_bytes)
        self.assertEqual(uploads.limit_bytes(ORDERS), UPLOAD_BYTES // 2)
        self.assertFalse(uploads._in_flight_bytes)
        gc.collect()
        self._await(lambda: not self.held.reserved_bytes)


class ReleasingLog:
    """Releases a reservation while a line is written, as a finalizer does."""

    def __init__(self):
        self.reservation = None

    def write_failure(self, category, event, **fields):
        reservation, self.reservation = self.reservation, None
        if reservation is not None:
            reservation.release()


class HeldBytesTest(unittest.TestCase):
    def test_a_release_during_the_log_line_of_another_one_raises_nothing(self):
        # Guards against a 500 in place of an answer that a server has given.
        log = ReleasingLog()
        held = HeldBytes(1_600_000, log)
        body = held.admit(HeldKind.LARGE_BODY, 700_000)
        answer = held.admit(HeldKind.LARGE_ANSWER, 700_000)
        for kind in (HeldKind.LARGE_BODY, HeldKind.LARGE_ANSWER):
            with self.assertRaises(NoRoom):
                held.admit(kind, 1_000_000)
        log.reservation = answer
        body.release()
        self.assertEqual(held.reserved_bytes, 0)


class UploadLimitTest(unittest.TestCase):
    def test_a_server_that_ended_under_uploads_gets_half_as_many(self):
        """Without the limit, the next server gets the same uploads and ends too."""
        limit = UploadLimit()
        self.assertTrue(limit.admits(UPLOAD_BYTES, 10 * UPLOAD_BYTES))
        limit = limit.after_crash(10 * UPLOAD_BYTES)
        self.assertEqual(limit.limit_bytes, 5 * UPLOAD_BYTES)
        self.assertTrue(limit.admits(UPLOAD_BYTES, 4 * UPLOAD_BYTES))
        self.assertFalse(limit.admits(UPLOAD_BYTES, 5 * UPLOAD_BYTES))

    @given(st.lists(st.one_of(st.integers(0, 10**8), st.none())))
    def test_a_single_upload_is_always_admitted(self, events):
        limit = UploadLimit()
        for held_bytes in events:
            if held_bytes is None:
                limit = limit.after_answer(UPLOAD_BYTES)
            else:
                limit = limit.after_crash(held_bytes)
            self.assertTrue(limit.admits(10**9, 0))
            self.assertGreater(limit.limit_bytes, 0)


class DecideAdmissionTest(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.sampled_from(list(HeldKind)), st.integers(0, 300_000)))
    )
    def test_admitted_items_keep_to_the_limit_and_no_kind_starves(self, items):
        """One kind must not take the room that is guaranteed to another."""
        limit_bytes = 1_600_000
        held = dict.fromkeys(HeldKind, 0)
        single = dict.fromkeys(HeldKind, 0)
        for kind, size_bytes in items:
            decision = decide_admission(kind, size_bytes, held, limit_bytes, 0.0, 0.0)
            if decision.admission is Admission.ADMIT:
                if not held[kind]:
                    single[kind] = size_bytes
                held[kind] += size_bytes
        # Only the first item of a kind may exceed what is left.
        self.assertLessEqual(sum(held.values()) - sum(single.values()), limit_bytes)
        for kind in HeldKind:
            if not held[kind]:
                decision = decide_admission(kind, 1, held, limit_bytes, 0.0, 0.0)
                self.assertIs(decision.admission, Admission.ADMIT)

    def test_a_wait_is_only_as_long_as_the_release_takes(self):
        held = dict.fromkeys(HeldKind, 0) | {HeldKind.LARGE_BODY: 800_000}
        arguments = (HeldKind.LARGE_BODY, 100_000, held, 1_600_000)
        waits = decide_admission(*arguments, 1_000_000.0, 0.2)
        self.assertIs(waits.admission, Admission.WAIT)
        refused = decide_admission(*arguments, 100_000.0, 0.2)
        self.assertIs(refused.admission, Admission.REFUSE)
        self.assertAlmostEqual(refused.return_s, 1.0)

    def test_bytes_released_at_an_earlier_time_are_counted(self):
        # The exponential overflowed, and the finalizer left the bytes in the account.
        rate = ReleaseRate()
        rate.record(10, 1e6)
        rate.record(10, 0.0)
        self.assertGreater(rate.per_s(0.0), 0.0)

    def test_the_expected_size_follows_the_largest_answers(self):
        expected = ExpectedSize()
        expected.record(EXPORT_BYTES, 0.0)
        expected.record(1_000, 0.0)
        self.assertGreater(expected.size_bytes(0.0), 0.8 * EXPORT_BYTES)
        for _ in range(200):
            expected.record(1_000, 0.0)
        self.assertLess(expected.size_bytes(0.0), 2_000)

    def test_requests_are_sent_again_a_second_after_one_server_sent_large_answers(self):
        # Requests were refused for lack of room, so that no answer corrected the size.
        expected = ExpectedSize()
        expected.record(24_000_000, 0.0)
        room = room_bytes(
            HeldKind.LARGE_ANSWER, dict.fromkeys(HeldKind, 0), HELD_LIMIT_BYTES
        )
        self.assertLess(5 * expected.size_bytes(1.0), room)
        # Still one that waits for room, since a small answer never does.
        self.assertIs(answer_kind(expected.size_bytes(60.0)), HeldKind.LARGE_ANSWER)
