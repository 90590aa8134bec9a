"""Tests of gateways, store and servers as processes on loopback."""

import signal
import unittest
from unittest import mock

import eventlet
import urllib3

from standins.gateway_callers import GatewayCallers, broken_promises
from standins.gateway_fleet import (
    GRACE_S,
    ORDERS,
    READS,
    ROUTES_HOST,
    GatewayFleet,
    wait_until,
)


class GatewayFleetTest(unittest.TestCase):
    def setUp(self):
        self.fleet = GatewayFleet()
        self.fleet.__enter__()
        self.addCleanup(self.fleet.stop)

    def test_kills_drains_losses_and_changes_break_no_promise(self):
        first, second, third = self.fleet.gateways
        wait_until(lambda: len(self.fleet.locate(first)) == 3)
        callers = GatewayCallers(self.fleet)
        eventlet.sleep(1.0)
        self.fleet.set_faults(self.fleet.servers[ORDERS][0], lose_share=0.3)
        self.fleet.set_faults(self.fleet.servers[READS][0], fail_share=0.5)
        second.process.kill()
        self.fleet.publish(2, timeout_s=1.5)
        eventlet.sleep(1.0)
        third.process.send_signal(signal.SIGTERM)
        self.fleet.set_faults(self.fleet.store, refuse_status=503)
        eventlet.sleep(1.0)
        wait_until(lambda: third.process.poll() is not None, GRACE_S)
        wait_until(lambda: self.fleet.locate(first) == [first.address()])
        self.fleet.set_faults(self.fleet.store, refuse_status=0)
        self.fleet.start_gateway(second)
        self.fleet.wait_until_ready(second)
        eventlet.sleep(0.5)
        callers.stop()
        self.assertEqual(third.process.returncode, 0)
        self.assertEqual(broken_promises(self.fleet, callers.answers), {})
        statuses = [status for _, status in callers.answers.values()]
        self.assertGreater(statuses.count(200), 0.8 * len(statuses))

    def test_broken_promise_is_detected(self):
        """The check detects each kind of violation in fabricated answers."""
        answers = {"a": ("order", 503), "b": ("read", "foreign"), "c": ("order", 200)}
        with mock.patch.object(GatewayFleet, "runs", return_value={"a": 1, "d": 2}):
            found = broken_promises(self.fleet, answers)
        expected = ("doubled", "foreign answer", "false not-run", "answered unrun")
        self.assertEqual(found, dict.fromkeys(expected, 1))

    def test_start_without_store_uses_configuration_of_peers(self):
        first, second, _ = self.fleet.gateways
        second.process.kill()
        second.process.wait()
        self.fleet.set_faults(self.fleet.store, refuse_status=503)
        self.fleet.start_gateway(second)
        self.fleet.wait_until_ready(second)
        pool = urllib3.PoolManager(retries=False, timeout=3.0)
        headers = {"Host": ROUTES_HOST, "X-Request-Id": "a", "X-Deadline-Ms": "2000"}
        answer = pool.request(
            "GET", f"http://{second.address()}/read/x", headers=headers
        )
        self.assertEqual(answer.status, 200)
        self.assertIn('event="server chosen"', self.fleet.log_text(second))
