"""Run the whole bench and write its report."""

import itertools
import multiprocessing
import pathlib
import sys
import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import fire  # noqa: E402

from bench.routing._firms import FIRMS  # noqa: E402
from bench.routing._measure import CellResult  # noqa: E402
from bench.routing._report import write_report  # noqa: E402
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


def main(
    counted_s: float = 2.0,
    seed: int = 1,
    processes: int = 3,
    output: str = "bench/results/routing.md",
) -> None:
    """Measure all policies.

    Parameters
    ----------
    counted_s : float
        Virtual seconds that are counted in each cell.
    seed : int
        The seed of all random numbers.
    processes : int
        How many cells run at once.
    output : str
        The report's path.
    """
    cells = [
        Cell(firm, scenario, load_ratio, policy, WARM_UP_S, counted_s, seed)
        for firm, scenario, load_ratio, policy in itertools.product(
            FIRMS, SCENARIOS, LOAD_RATIOS, POLICIES
        )
    ]
    results: list[CellResult] = []
    with multiprocessing.get_context("spawn").Pool(processes) as pool:
        for result in pool.imap(run_cell, cells):
            results.append(result)
            print(result, file=sys.stderr, flush=True)
    preface = [
        f"`make bench`, seed {seed}, {counted_s:g} virtual seconds a cell after "
        f"{WARM_UP_S:g} of warm-up. A call without an answer counts as the deadline.",
        "",
        "![p99 of the policies](routing.png)",
    ]
    path = pathlib.Path(output)
    write_report(results, path, preface)
    print(f"wrote {path}")


if __name__ == "__main__":
    fire.Fire(main)
