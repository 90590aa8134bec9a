"""Projection of the resource use at the long-run size from the fits."""

from dataclasses import dataclass

from bench.slopes._report import ExperimentResult
from bench.slopes._sample import QUANTITIES

CALLS_EXPERIMENT = "calls a second"
LONG_RUN_CALLS_PER_S = 48_000.0
# The planned processor time of an entry instance in the absence of failures.
PLANNED_PROCESSOR_PERCENT = 50.0
# One region of three may fail; the others then take over its calls.
REMAINING_REGIONS_RATIO = 2 / 3


@dataclass(slots=True, frozen=True)
class Dimension:
    """One amount that defines the long-run size."""

    # The name of the experiment that varies the amount.
    experiment: str
    # The amount at the long-run size.
    amount: float
    # The value of the amount in the experiment that varies the peers.
    base_amount: float


def dimensions(instance_count: float) -> list[Dimension]:
    """Return the amounts of the long-run size for a number of entry instances."""
    return [
        Dimension("peers", instance_count, 0.0),
        Dimension("backend servers", 730.0, 16.0),
        Dimension("services", 110.0, 2.0),
        Dimension("catalogue kilobytes", 40.0, 0.0),
        Dimension("catalogue changes a minute", 1_600 / (24 * 60), 0.0),
    ]


def instances_needed(results: dict[str, ExperimentResult]) -> tuple[float, float]:
    """Return the calls per second of one instance and the number of instances needed.

    Parameters
    ----------
    results : dict of ExperimentResult
        The results by name of the experiment.

    Returns
    -------
    tuple of float
        Calls per second at the planned processor time, and the number of instances that
        carry all calls at that processor time while one region is lost.
    """
    fit = results[CALLS_EXPERIMENT].fit("processor_ratio")
    each_per_s = (PLANNED_PROCESSOR_PERCENT - fit.intercept) / fit.slope
    return each_per_s, LONG_RUN_CALLS_PER_S / each_per_s / REMAINING_REGIONS_RATIO


def projection_markdown(results: list[ExperimentResult]) -> str:
    """Return what control, without calls, costs an instance at the long-run size.

    Parameters
    ----------
    results : list of ExperimentResult
        The results of all experiments.

    Returns
    -------
    str
        A Markdown table with the contribution of each amount; empty if the result of an
        experiment is missing.
    """
    by_name = {result.name: result for result in results}
    needed = {d.experiment for d in dimensions(0)} | {CALLS_EXPERIMENT}
    if not needed <= set(by_name):
        return ""
    each_per_s, instance_count = instances_needed(by_name)
    quantities = list(QUANTITIES)
    lines = [
        "## At the long-run size\n",
        f"One instance carries {each_per_s:.0f} calls/s at half a core; "
        f"{instance_count:.0f} instances carry 48,000 calls/s with a region lost.\n",
        "| contribution | " + " | ".join(QUANTITIES[q][0] for q in quantities) + " |",
        "| --- " * (len(quantities) + 1) + "|",
    ]
    totals = dict.fromkeys(quantities, 0.0)
    for dimension in dimensions(instance_count):
        cells = []
        for quantity in quantities:
            fit = by_name[dimension.experiment].fit(quantity)
            added = fit.slope * (dimension.amount - dimension.base_amount)
            if dimension.experiment == "peers":
                added = fit.value_at(dimension.amount)
            totals[quantity] += added
            cells.append(f"{added:.3f}")
        label = f"{dimension.amount:.0f} {dimension.experiment}"
        lines.append(f"| {label} | " + " | ".join(cells) + " |")
    sums = " | ".join(f"{totals[quantity]:.3f}" for quantity in quantities)
    lines.append(f"| **control in all** | {sums} |")
    return "\n".join(lines) + "\n"
