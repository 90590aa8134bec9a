"""The report: a table with fits, and plots, for each experiment."""

from dataclasses import dataclass
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from bench.slopes._experiments import Point  # noqa: E402
from bench.slopes._fit import Fit, fit_line  # noqa: E402
from bench.slopes._sample import QUANTITIES  # noqa: E402


@dataclass(slots=True)
class ExperimentResult:
    """The measurements of one experiment."""

    # The name of the experiment, which is the varied amount.
    name: str
    # The points in the order of measurement.
    points: list[Point]

    def values(self, quantity: str) -> list[float]:
        """Return the values of a quantity at all points, in the unit of its heading."""
        factor = QUANTITIES[quantity][1]
        return [getattr(point.sample, quantity) * factor for point in self.points]

    def fit(self, quantity: str) -> Fit:
        """Return the fitted line of a quantity."""
        return fit_line([p.amount for p in self.points], self.values(quantity))


def markdown(results: list[ExperimentResult]) -> str:
    """Return the report as Markdown.

    Parameters
    ----------
    results : list of ExperimentResult
        The results of the experiments.

    Returns
    -------
    str
        A table for each experiment, with the fits of all quantities.
    """
    parts = ["# Slopes of one entry instance\n"]
    for result in results:
        headings = [heading for heading, _ in QUANTITIES.values()]
        parts.append(f"## {result.name}\n")
        parts.append(_row([result.name, *headings]))
        parts.append(_row(["---"] * (len(headings) + 1)))
        for index, point in enumerate(result.points):
            values = [f"{result.values(q)[index]:.3f}" for q in QUANTITIES]
            parts.append(_row([f"{point.amount:g}", *values]))
        fits = [result.fit(quantity) for quantity in QUANTITIES]
        parts.append(_row(["at 0", *(f"{fit.intercept:.3f}" for fit in fits)]))
        slopes = [f"{fit.slope:.5f} ± {fit.slope_error:.5f}" for fit in fits]
        parts.append(_row(["slope", *slopes]))
        parts.append("")
    return "\n".join(parts)


def plot(results: list[ExperimentResult], path: Path) -> None:
    """Draw a plot for each experiment and quantity.

    Parameters
    ----------
    results : list of ExperimentResult
        The results of the experiments.
    path : Path
        The path of the PNG file.
    """
    figure, axes = pyplot.subplots(
        len(results),
        len(QUANTITIES),
        figsize=(4 * len(QUANTITIES), 2.6 * len(results)),
        squeeze=False,
    )
    for row, result in zip(axes, results, strict=True):
        amounts = [point.amount for point in result.points]
        for axis, (quantity, (heading, _)) in zip(row, QUANTITIES.items(), strict=True):
            fit = result.fit(quantity)
            axis.plot(amounts, result.values(quantity), "o")
            axis.plot(amounts, [fit.value_at(amount) for amount in amounts], "-")
            axis.set_xlabel(result.name)
            axis.set_ylabel(heading)
            axis.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)


def _row(cells: list[str]) -> str:
    return "| " + " | ".join(cells) + " |"
