"""Smoke tests of the benchmark: short runs whose figures are not checked."""

import pathlib
import tempfile
import unittest

from bench.routing._firms import CARPATIC, KIVU
from bench.routing._report import write_report
from bench.routing._run import Cell, run_cell
from bench.routing._scenarios import SCENARIOS

POLICIES = ("power_of_two_choices", "random", "finish_time")


def short_cell(firm, scenario, policy, seed=1):
    return Cell(firm, scenario, 0.8, policy, 0.02, 0.05, seed)


class BenchTest(unittest.TestCase):
    """The benchmark runs all scenarios, is deterministic, and writes its report."""

    def test_every_scenario_runs(self):
        for scenario in SCENARIOS:
            with self.subTest(scenario=scenario):
                result = run_cell(short_cell(CARPATIC, scenario, "finish_time"))
                self.assertGreater(result.call_count, 100)
                self.assertGreater(result.p50_ms, 0)

    def test_one_seed_gives_one_result(self):
        cell = short_cell(KIVU, "straggler", "finish_time")
        self.assertEqual(run_cell(cell), run_cell(cell))
        other = run_cell(short_cell(KIVU, "straggler", "finish_time", seed=2))
        self.assertNotEqual(run_cell(cell), other)

    def test_the_report_has_a_page_and_a_plot(self):
        results = [
            run_cell(short_cell(CARPATIC, "straggler", name)) for name in POLICIES
        ]
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / "routing.md"
            write_report(results, results[-1:], path, ["A tiny run."])
            self.assertIn("| finish_time |", path.read_text())
            self.assertGreater(path.with_suffix(".png").stat().st_size, 1000)
