"""Requests that were passed on to instances that are stopped."""

import unittest
import unittest.mock

import eventlet
import eventlet.event

from berylhaven.clock import monotonic_s
from berylhaven.gateway.members._members import MemberTable
from berylhaven.gateway.tests._gateway_fleet import GatewayFleet, ServerCut
from berylhaven.gateway.tests._gateway_path import ORDERS, configuration, route
from berylhaven.http1.tests._raw_backend import answer_ok
from berylhaven.routes import RequestKind

# The stops take less than the grace of 3 s, since little is pending.
DURATION_S = 3.2
INTERVAL_S = 0.04
LEAVING = (1, 2)
# Longer than the grace, and less than the time in which callers give up.
TIMEOUT_S = 4.5
OUTLASTING_S = 10.0


class PassedOnStopTest(unittest.TestCase):
    def setUp(self):
        routes = (
            route("/read/"),
            route("/order/", RequestKind.ONCE_ONLY, ORDERS, timeout_s=TIMEOUT_S),
        )
        self.fleet = GatewayFleet(4, 3, configuration(routes=routes))
        self.addCleanup(self.fleet.stop)
        cut = ServerCut(False)
        cut.__enter__()
        self.addCleanup(cut.__exit__)
        cut.begin(self.fleet.members[0])
        for number in range(12):
            self.exchange(f"read-{number}", is_order=False)
            self.exchange(f"order-{number}", is_order=True)
            eventlet.sleep(0.05)

    def exchange(self, request_id, is_order):
        if is_order:
            args = "/order/x", request_id, "POST", b"order"
        else:
            args = "/read/x", request_id
        return self.fleet.exchange(0, *args, Wordy_Left_Ms=1500)

    def keep_ready(self):
        """Let the first instance not hear that others are no longer ready."""
        table, merge = self.fleet.members[0].instance._members, MemberTable.merge
        leaving = {self.fleet.members[index].peers_address for index in LEAVING}

        def merge_as_ready(receiver, member, now_s):
            if receiver is table and member.peers_address in leaving:
                member.is_ready = True
            return merge(receiver, member, now_s)

        patch = unittest.mock.patch.object(MemberTable, "merge", merge_as_ready)
        patch.start()
        self.addCleanup(patch.stop)

    def stop_member(self, index, after_s):
        member = self.fleet.members[index]
        eventlet.sleep(after_s)
        member.instance.leave()
        member._threads[0].wait()
        member.stop()

    def test_instances_that_leave_are_noticed_before_gossip_tells_it(self):
        # Guards against refusals while an instance is left that serves the requests.
        self.keep_ready()
        for number, index in enumerate(LEAVING):
            eventlet.spawn(self.stop_member, index, 0.5 * number)
        statuses = []
        began_at_s = monotonic_s()
        while monotonic_s() - began_at_s < DURATION_S:
            number = len(statuses)
            statuses.append(self.exchange(str(number), number % 2 == 0).status)
            eventlet.sleep(INTERVAL_S)
        self.assertEqual(set(statuses), {200}, statuses)

    def work_for(self, work_s):
        """Let orders take a time; send one and return its caller's thread."""
        started = eventlet.event.Event()

        def answer(sock, request):
            started.send()
            eventlet.sleep(work_s)
            answer_ok(sock, request)

        for backend in self.fleet.backends.values():
            backend.answers["/order/long"] = answer
        args = 0, "/order/long", "long", "POST", b"order"
        caller = eventlet.spawn(self.fleet.exchange, *args)
        with eventlet.Timeout(2.0):
            started.wait()
        return caller

    def test_an_order_at_work_at_the_end_of_the_other_instance_is_not_told_as_not_run(
        self,
    ):
        # Guards against a second run by the caller, and against no answer at all.
        caller = self.work_for(OUTLASTING_S)
        (at_work,) = [
            m for m in self.fleet.members[1:] if m.instance._port.pending_count
        ]
        at_work.instance.leave()
        self.assertIn(caller.wait().status, (502, 504))
        self.assertEqual(self.fleet.requests("/order/long"), 1)

    def test_an_instance_that_is_stopped_waits_for_the_others(self):
        # Guards against an end of the process while another one works for it.
        caller = self.work_for(1.0)
        self.fleet.members[0].instance.leave()
        self.assertEqual(caller.wait().status, 200)


if __name__ == "__main__":
    unittest.main()
