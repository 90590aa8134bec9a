"""Tests of load records and of the estimates made from them."""

import math
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from berylhaven.load import (
    expected_finish_s,
    finish_estimate,
    minimum_finish_s,
)
from berylhaven.load.tests._records import (
    SERVICE,
    answer,
    backend_server,
    report,
    table_of,
)

counts = st.integers(0, 40)
ages = st.floats(0, 100)


def warmed(count=4):
    """Return a table whose servers have each answered 20 calls in 5 ms."""
    table = table_of(count)
    for turn in range(20):
        for server in table.candidates(SERVICE):
            answer(server, 0.005, turn * 0.01, 2)
    return table


class BrokenAnswersTest(unittest.TestCase):
    """A server whose answers break off after their heads is chosen less."""

    def test_an_answer_that_broke_off_raises_the_estimate(self):
        table = warmed(2)
        sound, broken = table.candidates(SERVICE)
        for turn in range(5):
            answer(broken, 0.005, 1.0 + turn * 0.01, 2)
            broken.answer_broken(1.0 + turn * 0.01)
            answer(sound, 0.005, 1.0 + turn * 0.01, 2)
        estimates_s = [expected_finish_s(s, 1.05, "a") for s in (sound, broken)]
        self.assertGreater(estimates_s[1], 2 * estimates_s[0])


class ReportAgeTest(unittest.TestCase):
    """The weight of a load report decays with its age."""

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(counts, counts, counts, ages)
    def test_an_older_report_moves_the_estimate_less(self, load, more, mean, age_s):
        table = table_of(3)
        light, heavy, unknown = table.candidates(SERVICE)
        service = light.service
        service.mean_others_in_flight = float(mean)
        light.others_in_flight, light.report_received_at_s = float(load), 0.0
        heavy.others_in_flight, heavy.report_received_at_s = float(load + more), 0.0
        light_s, heavy_s, unknown_s = (
            expected_finish_s(server, age_s, "a") for server in (light, heavy, unknown)
        )
        # A report of full weight would add this much for the additional calls.
        full_s = more * service.service_time_s / light.slot_count
        weight = math.exp(-age_s / service.report_decay_s)
        self.assertGreaterEqual(heavy_s, light_s)
        self.assertLessEqual(heavy_s - light_s, full_s * weight + 1e-9)
        if age_s > 20 * service.report_decay_s:
            self.assertAlmostEqual(heavy_s, unknown_s, places=6)

    def test_a_fresh_report_counts_nearly_in_full(self):
        first, second = table_of(2).candidates(SERVICE)
        first.record_report(report(4, 8, at_s=10.0))
        second.record_report(report(0, 0, at_s=10.0))
        gap_s = expected_finish_s(first, 10.0, "a") - expected_finish_s(
            second, 10.0, "a"
        )
        self.assertGreater(gap_s, 2 * first.service.service_time_s)

    def test_older_reports_do_not_replace_newer_ones(self):
        [server] = table_of(1).candidates(SERVICE)
        self.assertTrue(server.record_report(report(7, at_s=5.0)))
        self.assertFalse(server.record_report(report(0, at_s=4.0)))
        self.assertEqual(server.report.running_count, 7)

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(counts, st.integers(0, 30), ages)
    def test_each_own_call_in_flight_makes_the_estimate_later(self, load, own, age_s):
        [server] = table_of(1).candidates(SERVICE)
        server.record_report(report(load, at_s=0.0))
        server.own_in_flight = own
        fewer_s = expected_finish_s(server, age_s, "a")
        server.own_in_flight = own + 1
        self.assertGreater(expected_finish_s(server, age_s, "a"), fewer_s)


class SlownessTest(unittest.TestCase):
    """Slowness is detected from answers, regardless of the load reports."""

    def test_a_straggler_is_detected_after_two_answers(self):
        slow, *others = warmed().candidates(SERVICE)
        for turn in range(2):
            answer(slow, 0.050, 1.0 + turn * 0.05, 2)
        self.assertGreater(slow.slow_ratio, 2.0)
        self.assertGreater(
            expected_finish_s(slow, 1.1, "a"),
            2 * expected_finish_s(others[0], 1.1, "a"),
        )

    def test_a_server_that_reports_too_little_load_is_detected_by_its_answers(self):
        server_with_wrong_report, *others = warmed().candidates(SERVICE)
        for turn in range(10):
            answer(server_with_wrong_report, 0.040, 1.0 + turn * 0.04, running=0)
        now_s = 1.4
        for server in others:
            answer(server, 0.008, now_s, running=4, queued=1)
        later_s = expected_finish_s(server_with_wrong_report, now_s, "a")
        for server in others:
            self.assertGreater(later_s, expected_finish_s(server, now_s, "a"))

    def test_a_straggler_is_tried_again_after_a_while(self):
        slow, other, *_ = warmed().candidates(SERVICE)
        for turn in range(5):
            answer(slow, 0.050, 1.0 + turn * 0.05, 2)
        self.assertGreater(expected_finish_s(slow, 1.3, "a"), 0.02)
        ratio = expected_finish_s(slow, 31.0, "a") / expected_finish_s(other, 31.0, "a")
        self.assertLess(ratio, 1.01)

    def test_a_wrong_report_of_high_load_does_not_change_the_mean(self):
        server_with_wrong_report, *_ = warmed().candidates(SERVICE)
        for turn in range(3):
            answer(
                server_with_wrong_report, 0.005, 1.0 + turn * 0.04, running=1_000_000
            )
        self.assertGreater(server_with_wrong_report.service.service_time_s, 0.004)

    def test_chance_does_not_make_a_server_slow(self):
        server, *_ = warmed().candidates(SERVICE)
        answer(server, 0.009, 1.0, 2)
        self.assertEqual(server.slow_ratio, 1.0)

    def test_only_a_newer_slow_ratio_of_a_peer_is_recorded(self):
        server, *_ = warmed().candidates(SERVICE)
        server.record_slow_ratio(9.0, 0.0)
        self.assertEqual(server.slow_ratio, 1.0)
        server.record_slow_ratio(9.0, 5.0)
        self.assertEqual(server.slow_ratio, 9.0)


class FailureTest(unittest.TestCase):
    """A failure raises the estimate, however fast it was."""

    def fail(self, server, times, at_s=1.0):
        for _ in range(times):
            server.call_started()
            server.call_failed(at_s, report(0, at_s=at_s))

    def test_a_server_that_fails_fast_does_not_look_idle(self):
        failing, other, *_ = warmed().candidates(SERVICE)
        answer(other, 0.008, 1.0, running=4, queued=4)
        self.fail(failing, 1)
        self.assertGreater(
            expected_finish_s(failing, 1.0, "a"), expected_finish_s(other, 1.0, "a")
        )

    def test_a_server_that_failed_is_tried_again_after_a_while(self):
        failing, other, *_ = warmed().candidates(SERVICE)
        self.fail(failing, 3)
        ratio = expected_finish_s(failing, 31.0, "a") / expected_finish_s(
            other, 31.0, "a"
        )
        self.assertLess(ratio, 1.01)

    def test_three_failures_eject_and_an_answer_readmits(self):
        failing, *_ = warmed().candidates(SERVICE)
        self.fail(failing, 2)
        self.assertFalse(failing.is_ejected(1.0))
        self.fail(failing, 1)
        self.assertTrue(failing.is_ejected(1.5))
        self.assertFalse(failing.is_ejected(2.5))
        answer(failing, 0.005, 2.6, 1)
        self.assertEqual(failing.consecutive_failures, 0)
        self.assertTrue(failing.service.is_ejection_allowed(2.6))

    def test_with_most_servers_ejected_none_is_left_out(self):
        servers = warmed().candidates(SERVICE)
        for index, server in enumerate(servers):
            self.fail(server, 3)
            self.assertEqual(server.service.is_ejection_allowed(1.0), index < 2)
        self.assertTrue(servers[0].service.is_ejection_allowed(2.5))

    def test_a_shed_call_keeps_work_away_for_a_moment(self):
        full, other, *_ = warmed().candidates(SERVICE)
        full.call_started()
        full.call_shed(1.0, report(0, at_s=1.0))
        self.assertGreater(
            expected_finish_s(full, 1.0, "a"), expected_finish_s(other, 1.0, "a")
        )
        self.assertLess(expected_finish_s(full, 1.2, "a"), 0.01)

    def test_a_short_deadline_does_not_eject(self):
        server, *_ = warmed().candidates(SERVICE)
        for _ in range(10):
            server.call_started()
            server.call_timed_out(0.001, 1.0)
        self.assertEqual(server.consecutive_failures, 0)
        server.call_started()
        server.call_timed_out(1.0, 2.0)
        self.assertEqual(server.consecutive_failures, 1)

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.lists(st.sampled_from(["answer", "fail", "shed", "cancel", "late"])))
    def test_calls_in_flight_are_counted_exactly(self, ends):
        [server] = table_of(1).candidates(SERVICE)
        for _ in ends:
            server.call_started()
        for index, end in enumerate(ends):
            self.assertEqual(server.own_in_flight, len(ends) - index)
            {
                "answer": lambda: server.call_answered(0.01, None, 1.0),
                "fail": lambda: server.call_failed(1.0),
                "shed": lambda: server.call_shed(1.0),
                "cancel": server.call_cancelled,
                "late": lambda: server.call_timed_out(0.1, 1.0),
            }[end]()
        self.assertEqual(server.own_in_flight, 0)


class TableTest(unittest.TestCase):
    """A record is kept as long as its server's incarnation."""

    def test_servers_of_the_first_list_are_warm_and_later_ones_cold(self):
        table = table_of(2, now_s=1.0)
        first = table.candidates(SERVICE)[0]
        table.update_servers(SERVICE, [backend_server(i) for i in range(3)], 1.0)
        cold = table.candidates(SERVICE)[2]
        self.assertIs(table.candidates(SERVICE)[0], first)
        self.assertGreater(
            expected_finish_s(cold, 1.0, "a"), expected_finish_s(first, 1.0, "a")
        )
        self.assertAlmostEqual(
            expected_finish_s(cold, 7.0, "a"), expected_finish_s(first, 7.0, "a")
        )

    def test_a_cold_start_ends_with_a_few_ordinary_answers(self):
        table = table_of(2, now_s=1.0)
        first = table.candidates(SERVICE)[0]
        table.update_servers(SERVICE, [backend_server(i) for i in range(4)], 1.0)
        _, _, quick, slow = table.candidates(SERVICE)
        for turn in range(5):
            answer(first, 0.005, 1.0 + 0.01 * turn, 1)
            answer(quick, 0.005, 1.0 + 0.01 * turn, 1)
            answer(slow, 0.030, 1.0 + 0.01 * turn, 1)
        usual_s = expected_finish_s(first, 1.1, "a")
        self.assertAlmostEqual(expected_finish_s(quick, 1.1, "a"), usual_s, 4)
        self.assertGreater(expected_finish_s(slow, 1.1, "a"), 3 * usual_s)

    def test_a_server_that_has_just_come_is_not_starved_by_loaded_ones(self):
        table = table_of(2, now_s=1.0)
        for turn in range(100):
            for server in table.candidates(SERVICE):
                answer(server, 0.015, 1.0 + 0.01 * turn, running=4, queued=12)
        table.update_servers(SERVICE, [backend_server(i) for i in range(3)], 2.0)
        first, _, new = table.candidates(SERVICE)
        self.assertLess(
            expected_finish_s(new, 2.0, "a"), expected_finish_s(first, 2.0, "a")
        )

    def test_reports_of_long_queues_decay_more_slowly(self):
        quiet, busy = table_of(2), table_of(2)
        for turn in range(100):
            for server in quiet.candidates(SERVICE):
                answer(server, 0.005, 0.01 * turn, running=2)
            for server in busy.candidates(SERVICE):
                answer(server, 0.025, 0.01 * turn, running=4, queued=16)
        decays_s = [t.service_load(SERVICE).report_decay_s for t in (quiet, busy)]
        self.assertGreater(decays_s[1], 2 * decays_s[0])

    def test_a_new_incarnation_inherits_nothing(self):
        table = table_of(1)
        [old] = table.candidates(SERVICE)
        old.record_report(report(1, at_s=1.0, is_leaving=True))
        table.update_servers(SERVICE, [backend_server(0, incarnation=2)], 2.0)
        [new] = table.candidates(SERVICE)
        self.assertIsNot(new, old)
        self.assertFalse(new.is_leaving)


class EstimateTest(unittest.TestCase):
    """Estimates on which hedges, retries and refusals are based."""

    def test_quantiles_follow_the_answers(self):
        [server] = table_of(1).candidates(SERVICE)
        for turn in range(4_000):
            slow = turn % 25 == 0
            answer(server, 0.050 if slow else 0.005, turn * 0.01, 1)
        estimate = finish_estimate(server, 40.0, "a")
        self.assertLess(estimate.expected_s, 0.015)
        self.assertLess(estimate.p95_s, 0.03)
        self.assertGreater(estimate.p99_s, 0.03)

    def test_old_reports_do_not_raise_the_minimum_finish_time(self):
        [server] = warmed(1).candidates(SERVICE)
        answer(server, 0.005, 0.9, running=2)
        server.record_report(report(4, 400, at_s=1.0))
        self.assertGreater(minimum_finish_s(server, 1.0), 0.1)
        self.assertLess(minimum_finish_s(server, 1.6), 0.006)
        self.assertEqual(minimum_finish_s(server, 3.0), 0.0)

    def test_a_remote_data_centre_adds_its_round_trip(self):
        table = table_of(2, data_centres="ab")
        local, remote = table.candidates(SERVICE)
        for turn in range(50):
            answer(local, 0.005, turn * 0.01, 1)
            answer(remote, 0.007, turn * 0.01, 1)
        extra_s = expected_finish_s(remote, 0.5, "a") - expected_finish_s(
            local, 0.5, "a"
        )
        self.assertAlmostEqual(extra_s, 0.002, places=3)
        self.assertEqual(local.slow_ratio, remote.slow_ratio)
