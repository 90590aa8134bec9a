"""Tests with entry instances as processes that are killed, replaced or stopped."""

import signal
import threading
import time
import unittest

import orjson

from berylhaven.client import Client, ClientSettings
from berylhaven.results import Outcome
from standins.fleet import HOST, FleetShape, ProcessFleet, ServiceShape

WAIT_LIMIT_S = 10.0
BOOKINGS = ServiceShape("kivu", "bookings", "transaction", 2, 4)


class ProcessesTest(unittest.TestCase):
    """A non-idempotent call runs at most once and its reported outcome is true."""

    @classmethod
    def setUpClass(cls):
        shape = FleetShape((BOOKINGS,), entry_count=2, service_lines="")
        cls.fleet = cls.enterClassContext(ProcessFleet(shape))
        cls.entries = cls.fleet.entries
        cls.addresses = tuple(f"{HOST}:{entry.ports[0]}" for entry in cls.entries)

    def setUp(self):
        self.wait_until(self.all_peers_are_live)

    def wait_until(self, condition):
        until_s = time.monotonic() + WAIT_LIMIT_S
        while not condition():
            self.assertLess(time.monotonic(), until_s, "condition not met in time")
            time.sleep(0.02)

    def all_peers_are_live(self):
        nonces = {self.nonce(entry) for entry in self.entries}
        return all(
            nonces <= {self.nonce(entry)} | self.live_nonces(entry)
            for entry in self.entries
        )

    def live_nonces(self, entry):
        peers = self.fleet.status(entry)["peers"]
        return {peer["nonce"] for peer in peers if peer["state"] == "live"}

    def nonce(self, entry):
        return self.fleet.status(entry)["instance"]["nonce"]

    def set_faults(self, **changes):
        for row in self.fleet.document["backend_servers"]:
            url = f"http://{row['address']}/faults"
            self.fleet.http.request("POST", url, body=orjson.dumps(changes))

    def runs(self):
        runs = {}
        for row in self.fleet.document["backend_servers"]:
            url = f"http://{row['address']}/runs"
            counted = orjson.loads(self.fleet.http.request("GET", url).data)
            for key, count in counted.items():
                runs[key] = runs.get(key, 0) + count
        return runs

    def book_slowly(self, service_time_s):
        """Start a booking in a thread; return its home instance once it runs."""
        self.set_faults(service_time_s=service_time_s)
        self.addCleanup(self.set_faults, service_time_s=0.002)
        before = set(self.runs())
        client = Client(ClientSettings(self.addresses, timeout_s=1.8))
        results = []

        def book():
            results.append(client.call("bookings", "POST", "/vans", b"van"))

        thread = threading.Thread(target=book)
        thread.start()
        self.wait_until(lambda: set(self.runs()) - before)
        (call_id,) = set(self.runs()) - before
        nonce = call_id.partition("-")[0]
        (home_instance,) = [e for e in self.entries if self.nonce(e) == nonce]
        return thread, results, call_id, home_instance

    def test_the_home_instance_is_killed_and_replaced_on_its_address(self):
        thread, results, call_id, home_instance = self.book_slowly(0.5)
        home_instance.process.kill()
        home_instance.process.wait()
        self.fleet.start_entry(home_instance)
        thread.join()
        self.assertIs(results[0].outcome, Outcome.UNKNOWN)
        self.assertEqual(results[0].call_id, call_id)
        self.fleet.wait_until_ready(home_instance)
        self.set_faults(service_time_s=0.002)
        for address in self.addresses:
            answer = self.repeat(address, call_id)
            self.assertEqual(answer.headers["Berylhaven-Outcome"], "unknown")
        self.assertEqual(self.runs()[call_id], 1)

    def test_the_home_instance_is_stopped_and_resumed_after_the_deadline(self):
        home_instance, other = self.entries
        nonce = self.nonce(home_instance)
        uptime_s = self.fleet.status(home_instance)["instance"]["uptime_s"]
        call_id = f"{nonce}-{uptime_s}-stopped_caller"
        home_instance.process.send_signal(signal.SIGSTOP)
        address = f"{HOST}:{other.ports[0]}"
        try:
            answer = self.repeat(address, call_id, timeout_ms=500)
            self.assertEqual(answer.headers["Berylhaven-Outcome"], "unknown")
            time.sleep(0.5)
        finally:
            home_instance.process.send_signal(signal.SIGCONT)
        # The request waits in the socket of the resumed home instance; its deadline has
        # passed.
        self.wait_until(lambda: self.nonce(home_instance) == nonce)
        answer = self.repeat(f"{HOST}:{home_instance.ports[0]}", call_id + "x")
        self.assertEqual(answer.status, 200)
        self.assertNotIn(call_id, self.runs())

    def repeat(self, address, call_id, timeout_ms=1500):
        url = f"http://{address}/v1/services/bookings/vans"
        headers = {
            "Berylhaven-Call-Id": call_id,
            "Berylhaven-Timeout-Ms": str(timeout_ms),
        }
        return self.fleet.http.request(
            "POST", url, body=b"van", headers=headers, timeout=5.0
        )
