"""Tests that nothing reaches the servers of an evacuated data centre."""

import unittest
import unittest.mock

import eventlet
import eventlet.event
from eventlet.greenio import GreenSocket

from berylhaven.clock import monotonic_s
from berylhaven.clock._turn_hub import TURN_LIMIT_S
from berylhaven.gateway import (
    DataCentreEvacuated,
    DataCentreReturned,
    ServerEntry,
    SourceUnavailable,
)
from berylhaven.gateway.requests import _attempt_runner
from berylhaven.gateway.servers import _server_chooser
from berylhaven.gateway.servers._server_record import ServerRecord
from berylhaven.gateway.tests._gateway_fleet import GatewayFleet
from berylhaven.gateway.tests._gateway_path import (
    ANSWER_TIMEOUT_S,
    ORDERS,
    READS,
    GatewayPath,
    request_bytes,
)
from berylhaven.http1 import UpstreamConnection
from berylhaven.http1.tests._raw_backend import answer_ok
from berylhaven.overload import StartDecision

# The page's bound for an instance in contact with the store or a relay.
COMPLIANCE_LIMIT_S = 1.0
INSTANCE_COUNT = 20


def wait_until(condition):
    """Wait until a condition holds."""
    with eventlet.Timeout(ANSWER_TIMEOUT_S):
        while not condition():
            eventlet.sleep(0.01)


class EvacuationPathTest(unittest.TestCase):
    """One instance; the first server of each service is here, the second one there."""

    def setUp(self):
        self.path = GatewayPath()
        self.addCleanup(self.path.stop)
        self.table = self.path.instance._table
        there = [
            ServerEntry(
                f"{name}-1", name, backends[1].address, "there", 4, False, 0.0, 1
            )
            for name, backends in self.path.backends.items()
        ]
        self.path.source.put(*there)
        wait_until(lambda: len(self.table.in_data_centre("there")) == 2)

    def evacuate(self, *data_centres):
        self.path.source.put(*map(DataCentreEvacuated, data_centres))
        is_evacuated = self.table.evacuations.is_evacuated
        wait_until(lambda: all(map(is_evacuated, data_centres)))

    def received(self, index):
        """Return the paths of the requests and probes that servers have received."""
        return [
            request.path
            for pair in self.path.backends.values()
            for request in pair[index].requests
        ]

    def statuses(self, count=10):
        with self.path.connect() as caller:
            return [
                caller.exchange(path, method=method, body=body).status
                for _ in range(count)
                for path, method, body in (
                    ("/read/x", "GET", None),
                    ("/order/x", "POST", b"o"),
                )
            ]

    def test_under_load_a_data_centre_is_evacuated_and_returned(self):
        started, may_end = eventlet.event.Event(), eventlet.event.Event()

        def slow(sock, request):
            started.send()
            may_end.wait()
            answer_ok(sock, request)

        here = self.path.backends[ORDERS][0]
        here.answers = {"/order/slow": slow}
        # Without the other data centre, the request runs here.
        self.evacuate("there")
        caller = self.path.connect()
        self.addCleanup(caller.close)
        caller.send(request_bytes("/order/slow", "slow", "POST", b"order"))
        started.wait()
        self.path.source.put(DataCentreReturned("there"))
        wait_until(lambda: not self.table.evacuations.data_centres)
        self.assertEqual(set(self.statuses()), {200})
        self.evacuate("here")
        pool = self.path.instance._forwarder._runner._pool
        self.assertEqual(
            pool.counts(self.path.backends[READS][0].address).open_count, 0
        )
        before = self.received(0)
        self.assertEqual(set(self.statuses()), {200})
        may_end.send()
        self.assertEqual(caller.answer().status, 200)
        self.assertEqual(pool.counts(here.address).open_count, 0)
        self.assertEqual(self.received(0), before)
        with unittest.mock.patch.object(ServerRecord, "record_possible_cold") as cold:
            self.path.source.put(DataCentreReturned("here"))
            wait_until(lambda: not self.table.evacuations.data_centres)
        self.assertEqual(cold.call_count, 2)
        self.statuses()
        self.assertGreater(len(self.received(0)), len(before))

    def test_a_request_chosen_before_an_evacuation_is_not_sent_after_it(self):
        open_connection = UpstreamConnection.open
        evacuated = []

        def open_during_evacuation(connection, timeout_s):
            open_connection(connection, timeout_s)
            if not evacuated:
                # Whatever is sent first on this connection, a probe or a request.
                address = connection.address
                entries = [r.entry for r in self.table.records()]
                (entry,) = [e for e in entries if e.address == address]
                evacuated.append(entry)
                self.table.evacuations.evacuate(entry.data_centre)

        for reports_load in (True, False):
            # A server without load reports is sent a request without a probe before.
            for record in self.table.records():
                record.reports_load = reports_load
            with (
                self.subTest(reports_load=reports_load),
                unittest.mock.patch.object(
                    UpstreamConnection, "open", open_during_evacuation
                ),
            ):
                before = [self.received(0), self.received(1)]
                with self.path.connect() as caller:
                    answer = caller.exchange("/order/x", method="POST", body=b"o")
                self.assertEqual(answer.status, 200)
                (entry,) = evacuated
                index = 0 if entry.data_centre == "here" else 1
                self.assertEqual(self.received(index), before[index])
                others = self.received(1 - index)
                self.assertGreater(len(others), len(before[1 - index]))
            self.table.evacuations.request_return(evacuated.pop().data_centre)
            self.table.evacuations.pop_returned(monotonic_s(), 0.0)
            for record in self.table.records():
                self.path.instance._forwarder._runner._pool.close_idle(
                    record.entry.address
                )

    def test_no_turn_ends_between_the_last_check_and_the_send(self):
        # A send ended a turn that had taken long, and the evacuation arrived then.
        note_request, send_loop = (
            UpstreamConnection.note_request,
            GreenSocket._send_loop,
        )
        evacuated, was_evacuated_at_send = [], []

        def evacuate():
            self.table.evacuations.evacuate(evacuated[0].data_centre)

        def take_long(connection, request_id):
            note_request(connection, request_id)
            if not evacuated:
                records = self.table.records()
                evacuated.extend(
                    r.entry for r in records if r.entry.address == connection.address
                )
                eventlet.spawn(evacuate)
                end_s = monotonic_s() + 2 * TURN_LIMIT_S
                while monotonic_s() < end_s:
                    pass

        def record_send(sock, *arguments):
            if evacuated and not was_evacuated_at_send:
                data_centre = evacuated[0].data_centre
                was_evacuated_at_send.append(
                    self.table.evacuations.is_evacuated(data_centre)
                )
            return send_loop(sock, *arguments)

        with (
            unittest.mock.patch.object(UpstreamConnection, "note_request", take_long),
            unittest.mock.patch.object(GreenSocket, "_send_loop", record_send),
            self.path.connect() as caller,
        ):
            answer = caller.exchange("/order/x", method="POST", body=b"o")
        self.assertEqual(answer.status, 200)
        self.assertEqual(was_evacuated_at_send, [False])

    def test_a_request_that_waited_for_a_slot_is_sent_elsewhere(self):
        before = []

        def evacuate_during_wait(duration_s):
            before.append(self.received(0))
            self.table.evacuations.evacuate("here")

        decisions = [StartDecision.WAIT, StartDecision.SEND]
        with (
            unittest.mock.patch.object(
                _server_chooser, "decide_start", side_effect=decisions
            ),
            unittest.mock.patch.object(
                _attempt_runner, "sleep_s", evacuate_during_wait
            ),
            self.path.connect() as caller,
        ):
            answer = caller.exchange("/order/x", method="POST", body=b"o")
        self.assertEqual(answer.status, 200)
        self.assertEqual(before, [self.received(0)])

    def test_a_late_request_is_not_hedged_to_an_evacuated_data_centre(self):
        self.evacuate("there")
        before = self.received(1)
        self.path.backends[READS][0].answers = {
            "/read/late": lambda sock, request: sock.recv(1) and False
        }
        with self.path.connect() as caller:
            answer = caller.exchange("/read/late", Wordy_Left_Ms="900")
        self.assertEqual(answer.status, 504)
        self.assertEqual(self.received(1), before)

    def test_without_other_servers_requests_are_refused_at_once(self):
        self.evacuate("here", "there")
        before = self.received(0) + self.received(1)
        began_at_s = monotonic_s()
        with self.path.connect() as caller:
            answer = caller.exchange("/order/x", method="POST", body=b"o")
        self.assertLess(monotonic_s() - began_at_s, 0.1)
        self.assertEqual(answer.status, 503)
        self.assertGreaterEqual(float(answer.headers["retry-after"]), 1.0)
        self.assertEqual(self.received(0) + self.received(1), before)
        self.assertTrue(self.path.instance.is_ready)

    def test_a_server_that_ends_after_the_evacuation_is_not_queried(self):
        started, may_end = eventlet.event.Event(), eventlet.event.Event()

        def end(sock, request):
            started.send()
            may_end.wait()
            return False

        self.evacuate("there")
        self.path.backends[ORDERS][0].answers = {"/order/end": end}
        with self.path.connect() as caller:
            caller.send(request_bytes("/order/end", "end", "POST", b"order"))
            started.wait()
            self.evacuate("here")
            before = self.received(0)
            may_end.send()
            self.assertEqual(caller.answer().status, 502)
        eventlet.sleep(0.1)
        self.assertEqual(self.received(0), before)


class EvacuationFleetTest(unittest.TestCase):
    def evacuated_count(self, fleet):
        return sum(
            member.instance._table.evacuations.is_evacuated("here")
            for member in fleet.members
        )

    def test_all_instances_comply_in_time_and_also_those_that_start_later(self):
        fleet = GatewayFleet(INSTANCE_COUNT, 2)
        self.addCleanup(fleet.stop)
        # The instances know which of them are relays.
        eventlet.sleep(2.0)
        fleet.source.snapshot.append(DataCentreEvacuated("here"))
        fleet.source.put(DataCentreEvacuated("here"))
        began_at_s = monotonic_s()
        wait_until(lambda: self.evacuated_count(fleet) == INSTANCE_COUNT)
        self.assertLess(monotonic_s() - began_at_s, COMPLIANCE_LIMIT_S)
        before = sum(len(b.requests) for b in fleet.backends.values())
        # As another instance passes a request on that its own servers do not answer.
        answer = fleet.exchange(
            1, "/read/hop", "hop", Berylhaven_Passed_On="2", Wordy_Left_Ms=1000
        )
        self.assertEqual(answer.status, 503)
        # A new instance reads the snapshot of a peer while the store is down.
        fleet.source.failure = SourceUnavailable("down")
        fleet.add_member()
        self.assertEqual(self.evacuated_count(fleet), INSTANCE_COUNT + 1)
        self.assertEqual(fleet.exchange(-1, "/read/x", "x").status, 503)
        after = sum(len(b.requests) for b in fleet.backends.values())
        self.assertEqual(after, before)


if __name__ == "__main__":
    unittest.main()
