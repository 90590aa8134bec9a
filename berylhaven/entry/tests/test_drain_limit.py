"""Calls at the time limit of the drain of an entry instance."""

import itertools
import unittest
from unittest import mock

import eventlet
from absl import logging

from berylhaven.clock import monotonic_s
from berylhaven.http1.tests._raw_backend import answer_ok
from berylhaven.proxy.tests._proxy_path import (
    BOOKINGS,
    POSITIONS,
    ProxyPath,
    get,
    post,
)

LIMIT_S = 3.0
SETTINGS = f"locate_time_to_live_s = 0.5\ndrain_limit_s = {LIMIT_S}\n"
INTERVAL_S = 0.04
WORK_S = 0.3
LONG_WORK_S = 30.0
# A call that is sent this long before the end may expect an answer.
READ_SLACK_S = 0.3
SHORT_DEADLINE = "Berylhaven-Timeout-Ms: 600"
LEAVING, CUT = "215", "238"
# More than the sockets of a loopback connection hold.
LARGE_BYTES = 16_000_000


class LongPath(ProxyPath):
    """Calls may take longer than the drain."""

    catalogue = ProxyPath.catalogue.replace(
        b"deadline_ms = 2000", b"deadline_ms = 20000"
    )


class AnyPath:
    """Answers every path by the same function."""

    def __init__(self, answer):
        self.answer = answer

    def get(self, path, default):
        return self.answer


class DrainLimitTest(unittest.TestCase):
    """Each call that comes before the end has a true answer at the end."""

    def setUp(self):
        logging.set_verbosity(logging.ERROR)
        patch = mock.patch("berylhaven.membership._drain.GOSSIP_SPREAD_S", 0.2)
        patch.start()
        self.addCleanup(patch.stop)
        self.path = LongPath(SETTINGS)
        self.addCleanup(self.path.stop)
        self.run_names = set()
        for backend in self.path.raw.values():
            backend.answers = AnyPath(self.run_call)
        # Names of calls, with the time of sending; and their answers.
        self.sent = {}
        self.answers = {}

    def run_call(self, sock, request):
        name = request.path.lstrip("/")
        self.run_names.add(name)
        eventlet.sleep(LONG_WORK_S if name.startswith("long") else WORK_S)
        answer_ok(sock, request)

    def data(self, name, *lines):
        if len(self.sent) % 2:
            return get(f"{POSITIONS}/{name}", *lines)
        return post(f"{BOOKINGS}/{name}", "Content-Length: 1", *lines, body=b"b")

    def call(self, name, *lines, behind=()):
        """Send a call, and others behind it at once; record what is answered."""
        names = [name, *behind]
        try:
            with self.path.connect() as caller:
                data = b""
                for one in names:
                    data += self.data(one, *lines)
                    self.sent[one] = monotonic_s()
                caller.send(data)
                for one in names:
                    answer = caller.answer()
                    if answer.is_whole:
                        self.answers[one] = answer
                    if answer.header("connection") == "close":
                        # The caller sends those behind it elsewhere.
                        for unread in names[names.index(one) + 1 :]:
                            del self.sent[unread]
                        return
        except OSError:
            # The instance has ended.
            return

    def drain(self, load):
        """Drain the instance under a load; return when it ended."""
        instance = self.path.instances[0]
        instance.leave()
        ended = eventlet.spawn(instance.wait)
        for number in itertools.takewhile(lambda _: not ended.dead, itertools.count()):
            eventlet.spawn(load, str(number))
            eventlet.sleep(INTERVAL_S)
        ended_at_s = monotonic_s()
        # The process would be gone; what it has written still arrives.
        eventlet.sleep(0.01)
        self.path.stop()
        return ended_at_s

    def assert_true_answers(self, ended_at_s):
        due = {n for n, at_s in self.sent.items() if at_s < ended_at_s - READ_SLACK_S}
        taken = due | (self.run_names & self.sent.keys())
        self.assertEqual(taken - self.answers.keys(), set())
        outcomes = {n: a.header("Berylhaven-Outcome") for n, a in self.answers.items()}
        not_run = {name for name, outcome in outcomes.items() if outcome == "not-run"}
        self.assertEqual(not_run & self.run_names, set())
        # Nothing that ran is told otherwise, and only the long calls are uncertain.
        uncertain = {name for name, outcome in outcomes.items() if outcome == "unknown"}
        self.assertEqual({n for n in uncertain if not n.startswith("long")}, set())

    def results(self, names):
        return {self.answers[name].header("Berylhaven-Result") for name in names}

    def test_calls_that_keep_coming_are_answered_or_refused(self):
        # Guards against calls that are taken and cut when the limit is reached.
        def load(name):
            lines = (SHORT_DEADLINE,) if int(name) % 3 else ()
            behind = (f"{name}b", f"{name}c") if int(name) % 5 == 0 else ()
            self.call(name, *lines, behind=behind)

        for name in ("long-1", "long-2"):
            eventlet.spawn(self.call, name)
            eventlet.sleep(INTERVAL_S)
        with mock.patch("berylhaven.proxy._pending_calls.LOG") as log:
            self.assert_true_answers(self.drain(load))
        self.assertEqual(self.results(["long-1", "long-2"]), {CUT})
        self.assertIn(LEAVING, self.results(self.answers))
        # One line for each call that its server was still running.
        lines = [call.args[1] for call in log.warning.call_args_list]
        self.assertEqual(len(lines), 2, lines)
        for service, line in zip((BOOKINGS, POSITIONS), lines, strict=True):
            address = self.path.raw[service.rpartition("/")[2]].address
            self.assertIn(f"{service}/long-", line)
            self.assertIn(f"sent to {address}", line)

    def test_a_request_that_is_still_arriving_is_refused_before_the_end(self):
        # Guards against a process that ends, or waits, while a body is being sent.
        with self.path.connect() as caller:
            caller.send(post(f"{BOOKINGS}/late", "Content-Length: 2", body=b"b"))
            instance = self.path.instances[0]
            self.path.wait_until(lambda: instance._application.pending.count)
            instance.leave()
            began_at_s = monotonic_s()
            instance.wait()
            self.assertLess(monotonic_s() - began_at_s, LIMIT_S)
            answer = caller.answer()
        self.assertEqual(answer.header("Berylhaven-Result"), LEAVING)
        self.assertEqual(answer.header("Berylhaven-Outcome"), "not-run")
        self.assertEqual(self.run_names, set())

    def test_a_slow_reader_gets_the_rest_of_its_answer(self):
        # Guards against answers that are cut with the calls that have none.
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE_BYTES
        backend = self.path.raw["positions"]
        backend.answers = AnyPath(
            lambda sock, _: sock.sendall(head + bytes(LARGE_BYTES))
        )
        with self.path.connect() as caller:
            caller.send(get(f"{POSITIONS}/large"))
            self.path.wait_until(self.path.in_flight_count)
            instance = self.path.instances[0]
            instance.leave()
            with mock.patch("berylhaven.proxy._pending_calls.LOG") as log:
                ended = eventlet.spawn(instance.wait)
                self.path.wait_until(lambda: instance._has_cut_calls)
                self.assertTrue(caller.answer().is_whole)
                ended.wait()
        log.warning.assert_not_called()


if __name__ == "__main__":
    unittest.main()
