"""Tests of the hub that measures and bounds the turns of green threads."""

import socket
import unittest
from unittest import mock

import eventlet

from berylhaven.clock import ManualClock, end_long_turn, set_turn_report
from berylhaven.clock._turn_hub import TURN_LIMIT_S, TurnSocket

# What a thread takes in one pass if its turns are not ended.
MANY_TURNS = 500


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


class ClosedDescriptorTest(unittest.TestCase):
    def test_a_descriptor_that_is_closed_during_a_wait_ends_its_thread_only(self):
        # The error of the thread ended the hub, and with it the process.
        hub = eventlet.hubs.get_hub()
        reader, writer = socket.socketpair()
        self.addCleanup(reader.close)
        self.addCleanup(writer.close)
        thread = eventlet.spawn(reader.recv, 1)
        eventlet.sleep(0.01)
        with mock.patch.object(hub, "squelch_generic_exception") as squelch:
            hub.mark_as_reopened(reader.fileno())
            eventlet.sleep(0.01)
        self.assertTrue(thread.dead)
        squelch.assert_called_once()


class BoundedTurnTest(unittest.TestCase):
    def setUp(self):
        self.clock = self.enterContext(ManualClock())
        self.turn_count = 0
        self.threads = []
        self.addCleanup(self.kill_threads)

    def kill_threads(self):
        for thread in self.threads:
            thread.kill()

    def start(self, work):
        thread = eventlet.spawn(work)
        self.threads.append(thread)
        return thread

    def work_long(self):
        """Take a turn that is longer than the limit."""
        self.turn_count += 1
        self.clock.block_s(2 * TURN_LIMIT_S)

    def others_turns(self, pass_count):
        """Return how many long turns were taken in some passes of the hub."""
        began_at = self.turn_count
        for _ in range(pass_count):
            eventlet.sleep(0)
        return self.turn_count - began_at

    def test_a_new_thread_does_not_inherit_the_turn_of_one_that_has_ended(self):
        # It would wait behind all threads whose turns were ended, at its first read.
        hub = eventlet.hubs.get_hub()
        turns_s = []
        works = (self.work_long, lambda: turns_s.append(hub.clock() - hub.turn_began_s))
        # The timers of threads that start at once have no order.
        for start_s, work in enumerate(works, 1):
            self.threads.append(eventlet.spawn_after(start_s / 1_000, work))
        self.clock.advance_s(0.005)
        self.assertEqual(turns_s, [0.0])

    def test_readers_that_always_find_input_take_one_turn_a_pass_together(self):
        def read_without_end():
            reader, writer = socket.socketpair()
            for _ in range(MANY_TURNS):
                writer.send(b"x")
                reader.recv(1)
                self.work_long()

        for _ in range(10):
            self.start(read_without_end)
        eventlet.sleep(0)
        self.assertLessEqual(self.others_turns(20), 40)
        self.assertGreaterEqual(self.others_turns(20), 10)

    def test_a_port_whose_queue_of_connections_never_empties_lets_others_run(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        callers = [socket.create_connection(listener.getsockname()) for _ in range(20)]

        def accept_all():
            for _ in range(len(callers)):
                callers.append(listener.accept()[0])
                self.work_long()

        self.start(accept_all)
        self.assertLessEqual(self.others_turns(3), 6)
        for caller in callers:
            caller.close()

    def test_a_writer_whose_peer_reads_at_once_lets_others_run(self):
        reader, writer = socket.socketpair()

        def write_without_end():
            for _ in range(MANY_TURNS):
                writer.send(b"x")
                reader.fd.recv(1)
                self.work_long()

        self.start(write_without_end)
        self.assertLessEqual(self.others_turns(3), 6)

    def test_a_parser_that_reads_nothing_lets_others_run(self):
        def parse_without_end():
            for _ in range(MANY_TURNS):
                self.work_long()
                end_long_turn()

        self.start(parse_without_end)
        self.assertLessEqual(self.others_turns(3), 6)

    def test_a_thread_is_killed_while_its_ended_turn_waits(self):
        def parse_without_end():
            for _ in range(MANY_TURNS):
                self.work_long()
                end_long_turn()

        threads = [self.start(parse_without_end) for _ in range(3)]
        self.others_turns(3)
        for thread in threads:
            thread.kill()
        self.assertEqual(self.others_turns(3), 0)

    def test_a_timeout_is_raised_while_an_ended_turn_waits(self):
        def parse_for_a_while():
            with eventlet.Timeout(10 * TURN_LIMIT_S, False):
                for _ in range(MANY_TURNS):
                    self.work_long()
                    end_long_turn()
            return "timed out"

        self.assertEqual(self.start(parse_for_a_while).wait(), "timed out")

    def test_a_short_turn_is_not_ended(self):
        order = []

        def read():
            reader, writer = socket.socketpair()
            for _ in range(3):
                writer.send(b"x")
                order.append(reader.recv(1))
            order.append("end")

        thread = self.start(read)
        self.start(lambda: order.append("other"))
        thread.wait()
        self.assertEqual([item for item in order if item != "other"][:3], [b"x"] * 3)
        self.assertNotIn("other", order[order.index(b"x") : order.index("end")])
