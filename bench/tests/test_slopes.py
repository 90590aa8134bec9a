"""Tests of the fits, the report and the projection."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.slopes._experiments import Point, spread_services
from bench.slopes._fit import fit_line
from bench.slopes._projection import (
    dimensions,
    instances_needed,
    projection_markdown,
)
from bench.slopes._report import ExperimentResult, markdown
from bench.slopes._sample import Sample

numbers = st.floats(-1e3, 1e3)


class FitTest(unittest.TestCase):
    """The fit returns the line that the points lie on."""

    @settings(derandomize=True, deadline=None)
    @given(numbers, numbers)
    def test_points_on_a_line_give_the_line(self, intercept, slope):
        amounts = [1.0, 2.0, 5.0, 9.0]
        fit = fit_line(amounts, [intercept + slope * x for x in amounts])
        self.assertAlmostEqual(fit.slope, slope, places=6)
        self.assertAlmostEqual(fit.intercept, intercept, places=6)
        self.assertAlmostEqual(fit.slope_error, 0.0, places=6)

    def test_scatter_shows_in_the_error(self):
        fit = fit_line([0, 1, 2, 3], [0, 2, 1, 3])
        self.assertGreater(fit.slope_error, 0.1)
        self.assertLess(fit.explained_ratio, 0.9)


class ReportTest(unittest.TestCase):
    """The report contains each point, the slope and the projection."""

    def test_the_slope_is_in_the_table(self):
        points = [Point(x, Sample(0.01 * x, 1e6, 2e3, 4.0)) for x in (1, 2, 3)]
        text = markdown([ExperimentResult("peers", points)])
        self.assertIn("| 2 | 2.000 | 1.000 | 2.000 | 4.000 |", text)
        self.assertIn("| slope | 1.00000 ± 0.00000 |", text)

    def test_contributions_add_up_at_the_long_run_size(self):
        names = [dimension.experiment for dimension in dimensions(0)]
        results = [
            ExperimentResult(
                name, [Point(x, Sample(0.01 + 0.0001 * x, 1e6, 0, 0)) for x in (0, 9)]
            )
            for name in [*names, "calls a second"]
        ]
        calls_per_s, count = instances_needed({r.name: r for r in results})
        self.assertAlmostEqual(calls_per_s, 4_900.0)
        self.assertAlmostEqual(count, 48_000 / 4_900 * 1.5)
        text = projection_markdown(results)
        control = 1.0 + 0.01 * (count + 714 + 108 + 40 + 1_600 / 1_440)
        self.assertIn(f"| **control in all** | {control:.3f} |", text)
        self.assertEqual(projection_markdown(results[:2]), "")

    def test_servers_are_spread_evenly(self):
        counts = [s.server_count for s in spread_services(6, 16)]
        self.assertEqual(sum(counts), 16)
        self.assertLessEqual(max(counts) - min(counts), 1)
