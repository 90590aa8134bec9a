"""Run the whole benchmark and write its report."""

import itertools
import multiprocessing
import multiprocessing.pool
import pathlib
import sys
import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import fire  # noqa: E402

from bench.routing._firms import FIRMS  # noqa: E402
from bench.routing._measure import CellResult  # noqa: E402
from bench.routing._report import PROJECT_POLICY, write_report  # noqa: E402
from bench.routing._run import Cell, run_cell  # noqa: E402
from bench.routing._scenarios import SCENARIOS  # noqa: E402

POLICIES = (
    "random",
    "round_robin",
    "power_of_two_choices",
    "least_reported_load",
    "finish_time",
)
LOAD_RATIOS = (0.5, 0.8, 0.95)
WARM_UP_S = 1.0
# Long runs in which probe budgets fill. At the low load few answers carry load reports,
# so that probes are needed.
PROBE_COST_SCENARIOS = ("no fault", "straggler", "fail fast")
PROBE_COST_LOAD_RATIOS = (0.02, 0.5)


def main(
    counted_s: float = 2.0,
    measured_s: float = 15.0,
    seed: int = 1,
    processes: int = 3,
    output: str = "bench/results/routing.md",
) -> None:
    """Measure all policies.

    Parameters
    ----------
    counted_s : float
        The time in each cell in which calls are counted, in virtual seconds.
    measured_s : float
        The counted time of each run that measures probes, in virtual seconds.
    seed : int
        The seed of all random numbers.
    processes : int
        The number of cells that run in parallel.
    output : str
        The path of the report.
    """
    cells = [
        Cell(firm, scenario, load_ratio, policy, WARM_UP_S, counted_s, seed)
        for firm, scenario, load_ratio, policy in itertools.product(
            FIRMS, SCENARIOS, LOAD_RATIOS, POLICIES
        )
    ]
    long_cells = [
        Cell(firm, scenario, load_ratio, PROJECT_POLICY, WARM_UP_S, measured_s, seed)
        for firm, scenario, load_ratio in itertools.product(
            FIRMS, PROBE_COST_SCENARIOS, PROBE_COST_LOAD_RATIOS
        )
    ]
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        results = _run_all(pool, cells)
        measuring = _run_all(pool, long_cells)
    preface = [
        f"`make bench`, seed {seed}, {counted_s:g} virtual seconds a cell after "
        f"{WARM_UP_S:g} of warm-up. A call without an answer counts as the deadline.",
        "",
        "![p99 of the policies](routing.png)",
    ]
    path = pathlib.Path(output)
    write_report(results, measuring, path, preface)
    print(f"wrote {path}")


def _run_all(pool: multiprocessing.pool.Pool, cells: list[Cell]) -> list[CellResult]:
    results = []
    for result in pool.imap(run_cell, cells):
        results.append(result)
        print(result, file=sys.stderr, flush=True)
    return results


if __name__ == "__main__":
    fire.Fire(main)
