"""Tests of leaving entry instances over real sockets."""

import unittest
from unittest import mock

import eventlet
from absl import logging

from berylhaven.entry.tests import _local_fleet
from berylhaven.entry.tests._local_fleet import LocalFleet

# Short times, since the tests wait for them; the stages are the same.
SETTINGS = _local_fleet.SETTINGS + "[proxy]\nlocate_time_to_live_s = 0.5\n"


class EntryLeavingTest(unittest.TestCase):
    """An instance that leaves breaks no call, and callers stop coming."""

    def setUp(self):
        logging.set_verbosity(logging.ERROR)
        for target, value in (
            (f"{_local_fleet.__name__}.SETTINGS", SETTINGS),
            ("berylhaven.membership._drain.GOSSIP_SPREAD_S", 1.0),
        ):
            patch = mock.patch(target, value)
            patch.start()
            self.addCleanup(patch.stop)
        self.path = LocalFleet(entry_count=3)
        self.addCleanup(self.path.stop)
        self.path.wait_until_ready()

    def leave(self, index):
        self.path.instances[index].leave()
        return eventlet.spawn(self.path.instances[index].wait)

    def located(self, index):
        found = self.path.locate(index, "positions")["entry_instances"]
        return {entry["address"] for entry in found}

    def address(self, index):
        return f"127.0.0.1:{self.path.ports[index][0]}"

    def test_it_is_located_no_more_and_serves_until_its_last_call_ends(self):
        for standin in self.path.backends.values():
            standin.faults.set({"service_time_s": 1.8})
        in_flight = eventlet.spawn(self.path.get, 0, "/v1/services/positions/x")
        gate = self.path.instances[0]._context.gate
        self.path.wait_until(lambda: gate.in_flight_count)
        for standin in self.path.backends.values():
            standin.faults.set({"service_time_s": 0.002})
        ended = self.leave(0)
        self.path.wait_until(
            lambda: all(self.address(0) not in self.located(i) for i in (1, 2))
        )
        # A caller with an answer from before still comes, and is served.
        self.assertEqual(self.path.get(0, "/v1/services/positions/y").status, 200)
        self.assertEqual(self.path.get(0, "/v1/health", port=2).status, 503)
        self.assertEqual(in_flight.wait().status, 200)
        ended.wait()
        status = self.path.instances[0].status()["drain"]
        self.assertEqual(status["stage"], "done")
        self.assertEqual(status["calls_in_flight"], 0)

    def test_all_are_replaced_one_by_one_with_no_call_broken(self):
        broken = []
        served = []
        is_over = []

        def call_again_and_again():
            known = []
            while not is_over:
                if not known or len(served) % 10 == 0:
                    known = self._locate_anywhere(known)
                url = f"http://{known[0]}/v1/services/positions/x"
                try:
                    answer = self.path.http.request("GET", url, timeout=5.0)
                    (served if answer.status == 200 else broken).append(answer.data)
                except Exception as error:
                    broken.append(repr(error))
                    known = []
                eventlet.sleep(0.01)

        callers = [eventlet.spawn(call_again_and_again) for _ in range(3)]
        for index in range(3):
            self.leave(index).wait()
            self.path.instances[index] = self.path.start_entry(index)
            self.path.wait_until_ready()
        is_over.append(True)
        for caller in callers:
            caller.wait()
        self.assertEqual(broken, [])
        self.assertGreater(len(served), 100)

    def _locate_anywhere(self, known):
        addresses = [*known, *(self.address(index) for index in range(3))]
        for address in addresses:
            url = f"http://{address}/v1/entries?service=positions&data_centre=a"
            try:
                answer = self.path.http.request("GET", url, timeout=2.0)
            except Exception:
                continue
            if answer.status == 200 and answer.json()["entry_instances"]:
                return [e["address"] for e in answer.json()["entry_instances"]]
        raise AssertionError("nobody answers")
