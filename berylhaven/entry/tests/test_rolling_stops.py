"""Overlapping planned stops of entry instances under calls."""

import collections
import contextlib
import random
import socket
import unittest
from unittest import mock

import eventlet
from absl import logging

from berylhaven.entry.tests import _local_fleet
from berylhaven.entry.tests._local_fleet import LocalFleet
from berylhaven.proxy._callers_protocol import CallersProtocol
from berylhaven.proxy.tests._proxy_path import BOOKINGS, POSITIONS, RawCaller, get, post

SEED = 4
PROXY = "[proxy]\nlocate_time_to_live_s = 0.5\ndrain_limit_s = 3\n"
WORK_S = 0.15
CALLER_COUNT = 6
# In each round two of three instances are stopped, the second during the first drain.
ROUNDS = ((0, 1), (2, 0))
GAP_LIMIT_S = 0.6


def is_free(port):
    """Return whether an instance that starts now can listen on a port."""
    try:
        eventlet.listen(("127.0.0.1", port), reuse_port=False).close()
    except OSError:
        return False
    return True


class CountingFleet(LocalFleet):
    """Counts the calls that reach backend servers, by path."""

    def __init__(self):
        self.runs = collections.Counter()
        super().__init__(entry_count=3)

    def serve(self, application):
        def counted(environ, start_response):
            self.runs[environ["PATH_INFO"]] += 1
            return application(environ, start_response)

        return super().serve(counted)


class RollingStopTest(unittest.TestCase):
    """No call that ran is without an answer, and none that is told as not run ran."""

    def setUp(self):
        logging.set_verbosity(logging.ERROR)
        self.sockets = []
        set_up = CallersProtocol.setup

        def set_up_and_record(protocol):
            self.sockets.append(protocol.request)
            set_up(protocol)

        text = _local_fleet.SETTINGS + PROXY
        for patch in (
            mock.patch.object(_local_fleet, "SETTINGS", text),
            mock.patch("berylhaven.membership._drain.GOSSIP_SPREAD_S", 0.3),
            mock.patch.object(CallersProtocol, "setup", set_up_and_record),
        ):
            patch.start()
            self.addCleanup(patch.stop)
        self.fleet = CountingFleet()
        self.addCleanup(self.fleet.stop)
        self.fleet.wait_until_ready()
        for standin in self.fleet.backends.values():
            standin.faults.set({"service_time_s": WORK_S})
        # Answers by the path at the backend server; None for no whole answer.
        self.answers = {}
        self.is_over = False

    def call_repeatedly(self, number):
        """Call one instance after the other, on connections that are kept or new."""
        source = random.Random(SEED + number)
        while not self.is_over:
            port = source.choice(self.fleet.ports)[0]
            with contextlib.suppress(OSError), RawCaller(port) as caller:
                keeps = True
                while keeps and not self.is_over:
                    keeps = self.call(caller, number) and source.random() < 0.8
            eventlet.sleep(0.01)

    def call(self, caller, number):
        """Send a call; return whether its connection can be used again."""
        is_read = len(self.answers) % 2 == 0
        path = f"/{'read' if is_read else 'booking'}-{number}-{len(self.answers)}"
        self.answers[path] = None
        if is_read:
            caller.send(get(POSITIONS + path))
        else:
            caller.send(post(BOOKINGS + path, "Content-Length: 1", body=b"b"))
        answer = caller.answer()
        if not answer.is_whole:
            return False
        self.answers[path] = answer
        return answer.header("connection") != "close"

    def replace(self, index, after_s):
        """Stop an instance as a process would end, and start another one."""
        eventlet.sleep(after_s)
        instance, port = self.fleet.instances[index], self.fleet.ports[index][0]
        instance.leave()
        eventlet.spawn_after(GAP_LIMIT_S, instance.leave)
        instance.wait()
        for sock in self.sockets:
            with contextlib.suppress(OSError):
                if sock.getsockname()[1] == port:
                    sock.shutdown(socket.SHUT_RDWR)
        for own_port in self.fleet.ports[index]:
            self.fleet.wait_until(lambda p=own_port: is_free(p))
        self.fleet.instances[index] = self.fleet.start_entry(index)

    def test_every_call_that_ran_is_answered_in_overlapping_stops(self):
        # Guards against calls that are cut, and against refusals of calls that ran.
        source = random.Random(SEED)
        callers = [
            eventlet.spawn(self.call_repeatedly, number)
            for number in range(CALLER_COUNT)
        ]
        for first, second in ROUNDS:
            gap_s = source.uniform(0.1, GAP_LIMIT_S)
            stops = [
                eventlet.spawn(self.replace, first, 0.0),
                eventlet.spawn(self.replace, second, gap_s),
            ]
            for stop in stops:
                stop.wait()
            self.fleet.wait_until_ready()
        self.is_over = True
        for caller in callers:
            caller.wait()
        ran = {path for path in self.answers if self.fleet.runs[path]}
        self.assertEqual({path for path in ran if self.answers[path] is None}, set())
        whole = {path: answer for path, answer in self.answers.items() if answer}
        outcomes = {p: a.header("Berylhaven-Outcome") for p, a in whole.items()}
        self.assertNotIn("unknown", outcomes.values())
        self.assertEqual({p for p in ran if outcomes[p] != "run"}, set())
        bookings = {path for path in ran if path.startswith("/booking")}
        self.assertEqual({self.fleet.runs[path] for path in bookings}, {1})
        self.assertGreater(len(ran), 100)


if __name__ == "__main__":
    unittest.main()
