"""Tests of the hub that measures the turns of green threads."""

import socket
import unittest

import eventlet

from berylhaven.clock import ManualClock, set_turn_report
from berylhaven.clock._turn_hub import TurnSocket


class ReportedTurnTest(unittest.TestCase):
    def setUp(self):
        self.reports = []
        set_turn_report(lambda turn_s, sock: self.reports.append((turn_s, sock)))
        self.addCleanup(set_turn_report, lambda turn_s, sock: None)
        self.enterContext(ManualClock())

    def run_turn(self, duration_s, sock=None):
        def work():
            if sock is not None:
                sock.recv(1)
            eventlet.hubs.get_hub().clock.block_s(duration_s)
            eventlet.sleep(0)

        eventlet.spawn(work).wait()

    def test_a_turn_in_which_no_other_thread_runs_is_reported_with_its_socket(self):
        reader, writer = socket.socketpair()
        self.addCleanup(reader.close)
        self.addCleanup(writer.close)
        self.assertIsInstance(reader, TurnSocket)
        writer.sendall(b"x")
        self.run_turn(2.0, reader)
        self.assertIn((2.0, reader), self.reports)

    def test_a_wait_is_not_part_of_a_turn(self):
        clock = eventlet.hubs.get_hub().clock
        thread = eventlet.spawn(eventlet.sleep, 5.0)
        clock.advance_s(0.0)
        clock.advance_s(5.0)
        thread.wait()
        # Of the thread that waits there is none; this test has advanced the clock.
        self.assertEqual([turn_s for turn_s, _ in self.reports], [5.0])
