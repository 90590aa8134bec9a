"""Tests of leaving entry instances over real sockets."""

import unittest
from unittest import mock

import eventlet
from absl import logging

from berylhaven.entry.tests import _local_fleet
from berylhaven.entry.tests._local_fleet import LocalFleet

# Short times, since the tests wait for them; the stages of the drain are the same.
SETTINGS = _local_fleet.SETTINGS + "[proxy]\nlocate_time_to_live_s = 0.5\n"


class EntryLeavingTest(unittest.TestCase):
    """A leaving instance breaks no call, and callers move to other instances."""

    def setUp(self):
        logging.set_verbosity(logging.ERROR)
        for target, value in (
            (f"{_local_fleet.__name__}.SETTINGS", SETTINGS),
            ("berylhaven.membership._drain.GOSSIP_SPREAD_S", 1.0),
        ):
            patch = mock.patch(target, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.fleet = LocalFleet(entry_count=3)
        self.addCleanup(self.fleet.stop)
        self.fleet.wait_until_ready()

    def leave(self, index):
        self.fleet.instances[index].leave()
        return eventlet.spawn(self.fleet.instances[index].wait)

    def located(self, index):
        found = self.fleet.locate(index, "positions")["entry_instances"]
        return {entry["address"] for entry in found}

    def address(self, index):
        return f"127.0.0.1:{self.fleet.ports[index][0]}"

    def test_it_is_no_longer_located_and_serves_until_its_last_call_ends(self):
        for standin in self.fleet.backends.values():
            standin.faults.set({"service_time_s": 1.8})
        in_flight = eventlet.spawn(self.fleet.get, 0, "/v1/services/positions/x")
        gate = self.fleet.instances[0]._context.gate
        self.fleet.wait_until(lambda: gate.in_flight_count)
        for standin in self.fleet.backends.values():
            standin.faults.set({"service_time_s": 0.002})
        ended = self.leave(0)
        self.fleet.wait_until(
            lambda: all(self.address(0) not in self.located(i) for i in (1, 2))
        )
        # A caller with an earlier locate answer still calls the instance and is served.
        self.assertEqual(self.fleet.get(0, "/v1/services/positions/y").status, 200)
        self.assertEqual(self.fleet.get(0, "/v1/health", port=2).status, 503)
        self.assertEqual(in_flight.wait().status, 200)
        ended.wait()
        status = self.fleet.instances[0].status()["drain"]
        self.assertEqual(status["stage"], "done")
        self.assertEqual(status["calls_in_flight"], 0)

    def test_all_instances_are_replaced_in_turn_without_a_broken_call(self):
        broken = []
        served = []
        is_over = []

        def call_repeatedly():
            known = []
            while not is_over:
                if not known or len(served) % 10 == 0:
                    known = self._locate_from_any(known)
                url = f"http://{known[0]}/v1/services/positions/x"
                try:
                    answer = self.fleet.http.request("GET", url, timeout=5.0)
                    (served if answer.status == 200 else broken).append(answer.data)
                except Exception as error:
                    broken.append(repr(error))
                    known = []
                eventlet.sleep(0.01)

        callers = [eventlet.spawn(call_repeatedly) for _ in range(3)]
        for index in range(3):
            self.leave(index).wait()
            self.fleet.instances[index] = self.fleet.start_entry(index)
            self.fleet.wait_until_ready()
        is_over.append(True)
        for caller in callers:
            caller.wait()
        self.assertEqual(broken, [])
        self.assertGreater(len(served), 100)

    def _locate_from_any(self, known):
        addresses = [*known, *(self.address(index) for index in range(3))]
        for address in addresses:
            url = f"http://{address}/v1/entries?service=positions&data_centre=a"
            try:
                answer = self.fleet.http.request("GET", url, timeout=2.0)
            except Exception:
                continue
            if answer.status == 200 and answer.json()["entry_instances"]:
                return [e["address"] for e in answer.json()["entry_instances"]]
        raise AssertionError("no instance answered the locate request")
