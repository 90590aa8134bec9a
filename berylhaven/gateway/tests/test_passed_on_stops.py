"""Requests that were passed on to instances that are stopped."""

import unittest
import unittest.mock

import eventlet

from berylhaven.clock import monotonic_s
from berylhaven.gateway.members._members import MemberTable
from berylhaven.gateway.tests._gateway_fleet import GatewayFleet, ServerCut

# The stops take less than the grace of 3 s, since little is pending.
DURATION_S = 3.2
INTERVAL_S = 0.04
LEAVING = (1, 2)


class PassedOnStopTest(unittest.TestCase):
    def setUp(self):
        self.fleet = GatewayFleet(4, 3)
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


if __name__ == "__main__":
    unittest.main()
