"""Tests that fleets of several processes use different ports."""

import subprocess
import sys
import unittest

PORT_COUNT = 300
RESERVE_PORTS_PROGRAM = f"""
from standins.fleet import free_ports
print(*free_ports({PORT_COUNT}), flush=True)
input()
"""


class FreePortsTest(unittest.TestCase):
    def setUp(self):
        self.processes = []
        self.addCleanup(self.end_processes)

    def end_processes(self):
        for process in self.processes:
            process.communicate(b"\n")

    def reserve_ports(self):
        """Start a process that chooses ports without binding them; return its ports."""
        process = subprocess.Popen(
            [sys.executable, "-c", RESERVE_PORTS_PROGRAM],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.processes.append(process)
        return set(map(int, process.stdout.readline().split()))

    def test_two_processes_never_choose_the_same_port(self):
        first, second = self.reserve_ports(), self.reserve_ports()
        self.assertEqual(len(first), PORT_COUNT)
        self.assertEqual(len(second), PORT_COUNT)
        self.assertFalse(first & second)
