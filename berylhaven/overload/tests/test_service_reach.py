"""Tests of how an instance knows that it does not reach the servers of a service."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from berylhaven.overload import Reach, ServiceReach

SERVERS = tuple(f"s{n}" for n in range(16))
# The platform's bound on the time until callers of a cut instance are served.
CUT_LIMIT_S = 3.0


def failing(servers, at_s=0.0):
    """Return the reach after some servers failed."""
    reach = ServiceReach()
    for server in servers:
        reach.record_silence(server, at_s)
    return reach


class ServiceReachTest(unittest.TestCase):
    def test_without_failures_all_are_reached(self):
        self.assertIs(ServiceReach().state(SERVERS, 0.0), Reach.MOST)

    def test_no_server_is_reached_once_several_failed_and_none_answered(self):
        reach = failing(SERVERS[:3])
        self.assertIs(reach.state(SERVERS, 0.0), Reach.MOST)
        self.assertIs(reach.state(SERVERS, 0.3), Reach.NONE)

    def test_a_few_failed_servers_are_no_cut_while_others_answer(self):
        reach = failing(SERVERS[:3])
        reach.record_answer("s9", 0.1)
        self.assertIs(reach.state(SERVERS, 0.5), Reach.MOST)

    def test_half_of_the_servers_silent_means_that_few_are_reached(self):
        reach = failing(SERVERS[:8])
        reach.record_answer("s9", 0.1)
        self.assertIs(reach.state(SERVERS, 0.5), Reach.FEW)

    def test_one_answer_ends_a_cut_at_once(self):
        reach = failing(SERVERS[:5])
        self.assertIs(reach.state(SERVERS, 1.0), Reach.NONE)
        reach.record_answer("s2", 1.0)
        self.assertIs(reach.state(SERVERS, 1.0), Reach.MOST)

    def test_a_service_of_one_or_two_servers_can_be_cut_off_too(self):
        for count in (1, 2):
            reach = failing(SERVERS[:count])
            self.assertIs(reach.state(SERVERS[:count], 0.3), Reach.NONE)

    def test_removed_servers_and_old_failures_do_not_count(self):
        reach = failing(SERVERS[:5])
        self.assertIs(reach.state(SERVERS[5:], 0.3), Reach.MOST)
        reach = failing(SERVERS[:5])
        self.assertIs(reach.state(SERVERS, 10.0), Reach.MOST)

    def test_a_service_without_servers_is_not_cut_off(self):
        self.assertIs(failing(SERVERS[:3]).state((), 0.3), Reach.MOST)

    @given(
        st.lists(
            st.tuples(st.sampled_from(SERVERS), st.booleans(), st.floats(0.0, 0.5)),
            max_size=40,
        )
    )
    def test_after_any_history_a_cut_is_noticed_in_time_and_its_end_at_once(
        self, events
    ):
        reach, now_s = ServiceReach(), 0.0
        for server, is_answer, pause_s in events:
            now_s += pause_s
            record = reach.record_answer if is_answer else reach.record_silence
            record(server, now_s)
            reach.state(SERVERS, now_s)
        began_at_s = now_s
        number = 0
        while reach.state(SERVERS, now_s) is not Reach.NONE:
            now_s += 0.25
            reach.record_silence(SERVERS[number % 16], now_s)
            number += 1
            self.assertLessEqual(now_s - began_at_s, CUT_LIMIT_S)
        for server in SERVERS[:9]:
            reach.record_answer(server, now_s)
        self.assertIs(reach.state(SERVERS, now_s), Reach.MOST)


if __name__ == "__main__":
    unittest.main()
