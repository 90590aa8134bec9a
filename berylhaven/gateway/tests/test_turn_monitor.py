"""Tests of the metrics and log lines of long turns."""

import socket
import unittest

from berylhaven.clock import ManualClock
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.gateway._turn_monitor import LOG_INTERVAL_S, TurnMonitor


class TurnMonitorTest(unittest.TestCase):
    def setUp(self):
        self.clock = self.enterContext(ManualClock())
        self.lines = []
        self.metrics = GatewayMetrics()
        self.monitor = TurnMonitor(self.metrics, self)

    def write_failure(self, component, event, **fields):
        self.lines.append((component, event, fields))

    def test_a_peer_that_holds_the_hub_again_and_again_leaves_one_line_a_second(self):
        for _ in range(20):
            self.monitor.record(0.5, None)
        self.assertEqual(len(self.lines), 1)
        self.clock.block_s(LOG_INTERVAL_S)
        self.monitor.record(0.5, None)
        self.assertEqual(self.lines[1][2]["unlogged"], 19)

    def test_the_line_names_both_ends_of_the_connection(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        caller = socket.create_connection(listener.getsockname())
        self.addCleanup(caller.close)
        self.monitor.record(0.5, caller)
        fields = self.lines[0][2]
        port = listener.getsockname()[1]
        self.assertEqual(fields["peer"], f"127.0.0.1:{port}")
        self.assertEqual(fields["local"], f"127.0.0.1:{caller.getsockname()[1]}")

    def test_the_metrics_show_turns_and_the_peak_memory(self):
        self.monitor.record(0.03, None)
        text = self.metrics.render("")[0].decode()
        self.assertRegex(text, r'berylhaven_turn_seconds_bucket\{le="0.05"\} 1')
        self.assertRegex(text, r"berylhaven_peak_memory_bytes \d{7,}")
