"""A planned stop of a gateway process in calm loses no request that it accepted."""

import unittest

from bench.gateway_soak import StopOptions, run_planned_stops
from bench.gateway_soak._loss_rules import LossClass
from standins.product_tree import CURRENT_TREE

# A batch that is sent in the first 0.45 of the grace often has a long request at its
# front; with this many callers several batches wait at the end of the grace.
PIPELINING_COUNT = 32
# On a starved machine signals are noticed as late as this.
PAUSE_S = 0.8


class PlannedStopsTest(unittest.TestCase):
    """Runs with real processes; each takes about 9 s."""

    def test_a_stop_under_callers_that_pipeline_loses_nothing(self):
        # Answers that were there waited behind a longer one, and the process ended.
        options = StopOptions(seed=13, pipelining_count=PIPELINING_COUNT)
        report = run_planned_stops(options)
        self.assertGreater(report.answers["read", 200], 300)
        self.assertEqual(dict(report.losses), {}, "\n".join(report.lines))

    def test_a_stop_that_is_noticed_late_loses_nothing(self):
        # Guards against a process that counts its grace from the time at which it has
        # noticed the signal, and is killed with requests at work.
        options = StopOptions(seed=46, pause_s=PAUSE_S)
        report = run_planned_stops(options)
        # Even on a busy machine there are more answers than callers.
        self.assertGreater(report.answers["read", 200], options.caller_count)
        self.assertEqual(dict(report.losses), {}, "\n".join(report.lines))
        self.assertEqual(report.killed_count, 0)

    def test_a_kill_of_the_gateway_that_has_passed_on_requests_breaks_no_promise(self):
        # Guards against second runs, and against callers of the gateway that passed
        # them on who get no answer.
        options = StopOptions(
            seed=2, caller_count=32, pipelining_count=4, cuts_gateway=True, kills=True
        )
        report = run_planned_stops(options)
        self.assertGreater(report.passed_on_count, 30)
        self.assertEqual(dict(report.losses), {}, "\n".join(report.lines))

    def test_a_gateway_of_another_tree_works_beside_one_of_the_current_tree(self):
        # Guards against replaced machines that do not learn of the others or of
        # configurations. CI may have no history, so both trees have the same files.
        options = StopOptions(
            seed=1, gateway_count=2, old_commit=CURRENT_TREE, replaced_count=1
        )
        report = run_planned_stops(options)
        self.assertGreater(report.answers["read", 200], 100)
        self.assertEqual(dict(report.losses), {}, "\n".join(report.lines))
        self.assertEqual(report.broken, [])

    def test_losses_of_a_process_that_is_killed_early_are_found(self):
        report = run_planned_stops(StopOptions(seed=1, kill_after_s=1.5))
        self.assertGreater(report.losses[LossClass.ANSWER_LOST], 5)
        other = set(report.losses) - {LossClass.ANSWER_LOST, LossClass.NEVER_PASSED_ON}
        self.assertEqual(other, set())
