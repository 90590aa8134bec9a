"""Tests of the client library against entry instances over real sockets."""

import subprocess
import sys
import unittest

import eventlet
import orjson

from berylhaven.client import Client, ClientSettings, NoEntryInstance
from berylhaven.entry.tests._local_fleet import LocalFleet
from berylhaven.results import (
    AnswerNotStored,
    BackendServerShed,
    Outcome,
    UpstreamBroken,
)

THREADS_PROGRAM = """\
import sys, threading
from berylhaven.client import Client, ClientSettings
client = Client(ClientSettings((sys.argv[1],), timeout_s=5.0))
results = []
def call():
    results.append(client.call("bookings", "POST", "/vans", body=b"van"))
threads = [threading.Thread(target=call) for _ in range(8)]
[thread.start() for thread in threads]
[thread.join() for thread in threads]
assert "eventlet" not in sys.modules
print(sum(result.is_answered for result in results))
"""


class ClientTest(unittest.TestCase):
    """The client reports the true outcome, whatever happens to the entry instances."""

    @classmethod
    def setUpClass(cls):
        cls.path = LocalFleet()
        cls.addClassCleanup(cls.path.stop)
        cls.path.wait_until_ready()
        cls.addresses = tuple(f"127.0.0.1:{ports[0]}" for ports in cls.path.ports)

    def setUp(self):
        self.client = Client(ClientSettings(self.addresses, "a", timeout_s=3.0))
        self.bookings = [s for s in self.path.backends.values() if s.name == "bookings"]
        self.addCleanup(self.set_faults, sheds=False, cuts_answer=False)

    def set_faults(self, **changes):
        for server in self.path.backends.values():
            server.faults.set(changes)

    def book(self):
        return self.client.call("bookings", "POST", "/vans", body=b"van")

    def run_count(self, call_id):
        return sum(server.runs[call_id] for server in self.path.backends.values())

    def test_a_call_is_answered(self):
        result = self.book()
        self.assertTrue(result.is_answered)
        self.assertEqual(orjson.loads(result.body)["call_id"], result.call_id)
        self.assertEqual(self.run_count(result.call_id), 1)

    def test_a_shed_call_is_reported_not_run_and_did_not_run(self):
        self.set_faults(sheds=True)
        result = self.book()
        self.assertIs(result.outcome, Outcome.NOT_RUN)
        self.assertEqual(result.result, BackendServerShed.code.number)
        self.assertEqual(self.run_count(result.call_id), 0)

    def test_a_call_that_is_shed_for_a_while_succeeds_with_another_call_id(self):
        self.set_faults(sheds=True)
        eventlet.spawn_after(0.5, self.set_faults, sheds=False)
        result = self.book()
        self.assertTrue(result.is_answered)
        self.assertGreater(result.try_count, 1)

    def test_a_non_idempotent_call_with_a_truncated_answer_is_not_run_again(self):
        self.set_faults(cuts_answer=True)
        result = self.book()
        numbers = (AnswerNotStored.code.number, UpstreamBroken.code.number)
        self.assertIn(result.result, numbers)
        self.assertIsNone(result.body)
        self.assertEqual(self.run_count(result.call_id), 1)

    def test_without_any_entry_instance_a_call_is_reported_not_run(self):
        client = Client(ClientSettings(("127.0.0.1:1",), timeout_s=0.5))
        with self.assertRaises(NoEntryInstance):
            client.entries("bookings")
        result = client.call("bookings", "POST", "/vans")
        self.assertIs(result.outcome, Outcome.NOT_RUN)

    def test_the_locate_answer_is_cached_and_calls_are_spread(self):
        first = self.client.entries("positions")
        self.assertIs(self.client.entries("positions"), first)
        home_nonces = set()
        for _ in range(30):
            result = self.client.call("positions", "GET", "/x", is_idempotent=True)
            home_nonces.add(result.call_id.partition("-")[0])
        local_nonces = {e.call_id_prefix[:8] for e in first if e.data_centre == "a"}
        self.assertEqual(home_nonces, local_nonces)

    def test_operating_system_threads_need_no_eventlet(self):
        command = [sys.executable, "-c", THREADS_PROGRAM, self.addresses[0]]
        done = subprocess.run(command, capture_output=True, text=True, timeout=30)
        self.assertEqual((done.stdout.strip(), done.stderr), ("8", ""))
