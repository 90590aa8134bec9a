"""The benchmark's report: a page of tables and a plot."""

import pathlib
from collections.abc import Iterable

import matplotlib
from matplotlib import pyplot

from bench.routing._measure import CellResult

PROJECT_POLICY = "finish_time"
# The targets: ratios of the p99 of other policies to that of finish_time, its ratio to
# the best baseline in every cell, and the used ratio of the measuring budget.
GOAL_RANDOM_RATIO = 2.0
GOAL_TWO_CHOICES_RATIO = 1.3
GOAL_BASELINE_RATIO = 1.05
GOAL_BUDGET_RATIO = 0.5
PLOT_LOAD_RATIO = 0.8

Key = tuple[str, str, float]
Cells = dict[Key, dict[str, CellResult]]


def by_cell(results: Iterable[CellResult]) -> Cells:
    """Group the results by firm, scenario and load, then by policy."""
    cells: Cells = {}
    for result in results:
        key = (result.firm, result.scenario, result.load_ratio)
        cells.setdefault(key, {})[result.policy] = result
    return cells


def write_report(
    results: list[CellResult],
    measuring: list[CellResult],
    path: pathlib.Path,
    preface: list[str],
) -> None:
    """Write the page, and the plot to the same directory.

    Parameters
    ----------
    results : list of CellResult
        The results of all cells.
    measuring : list of CellResult
        The results of long runs of finish_time, in which probe budgets fill and probes
        are sent.
    path : pathlib.Path
        The path of the page; the plot has the suffix ``.png`` instead.
    preface : list of str
        Lines that describe the run.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    cells = by_cell(results)
    lines = ["# Routing policies", "", *preface, "", *goal_lines(cells, measuring), ""]
    lines += _measuring_table(measuring)
    for (firm, scenario, load_ratio), policies in cells.items():
        lines += _table(firm, scenario, load_ratio, policies)
    path.write_text("\n".join(lines))
    _plot(cells, path.with_suffix(".png"))


def goal_lines(cells: Cells, measuring: list[CellResult]) -> list[str]:
    """Return a table of the goals with the measured values and whether they are met."""
    lines = ["## Goals", "", "| Goal | Measured | Met |", "|---|---|---|"]
    for key, policies in cells.items():
        firm, scenario, load_ratio = key
        if scenario == "straggler" and load_ratio == PLOT_LOAD_RATIO:
            lines += _straggler_lines(firm, policies)
    worst_cell, worst = max(
        ((key, ratio_to_best_baseline(policies)[0]) for key, policies in cells.items()),
        key=lambda entry: entry[1],
    )
    met = _yes_or_no(worst <= GOAL_BASELINE_RATIO)
    lines.append(
        f"| p99 at most 1.05 times the best baseline in every cell | "
        f"worst {worst:.3f} at {worst_cell} | {met} |"
    )
    used = max(result.budget_used_ratio for result in measuring)
    met = _yes_or_no(used <= GOAL_BUDGET_RATIO)
    lines.append(
        f"| half of the measuring budget, where answers bring reports | "
        f"at most {used:.3f} | {met} |"
    )
    return lines


def ratio_to_best_baseline(policies: dict[str, CellResult]) -> tuple[float, str]:
    """Return the ratio of finish_time's p99 to the best baseline's, and its name."""
    baselines = [result for name, result in policies.items() if name != PROJECT_POLICY]
    best = min(baselines, key=lambda result: result.p99_ms)
    return policies[PROJECT_POLICY].p99_ms / best.p99_ms, best.policy


def _measuring_table(measuring: list[CellResult]) -> list[str]:
    lines = ["## Cost of measuring, in long runs of finish_time", ""]
    lines.append(
        "| Firm | Scenario | Load | Calls | Probes, share of slot time "
        "| Probes, share of budget | News bytes a call |"
    )
    lines.append("|---|---|---|---|---|---|---|")
    for result in measuring:
        lines.append(
            f"| {result.firm} | {result.scenario} | {result.load_ratio:.0%} "
            f"| {result.call_count} | {result.probe_ratio:.5%} "
            f"| {result.budget_used_ratio:.2%} "
            f"| {result.load_update_bytes_per_call:.2f} |"
        )
    return [*lines, ""]


def _straggler_lines(firm: str, policies: dict[str, CellResult]) -> list[str]:
    lines = []
    for name, goal in (
        ("random", GOAL_RANDOM_RATIO),
        ("power_of_two_choices", GOAL_TWO_CHOICES_RATIO),
    ):
        ratio = policies[name].p99_ms / policies[PROJECT_POLICY].p99_ms
        lines.append(
            f"| {firm}, straggler at 80%: p99 {goal} times lower than {name} | "
            f"{ratio:.2f} times | {_yes_or_no(ratio >= goal)} |"
        )
    return lines


def _yes_or_no(is_met: bool) -> str:
    return "yes" if is_met else "no"


def _table(
    firm: str, scenario: str, load_ratio: float, policies: dict[str, CellResult]
) -> list[str]:
    lines = [f"## {firm}, {scenario}, {load_ratio:.0%} of capacity", ""]
    lines.append(
        "| Policy | Calls | p50 ms | p99 ms | p99.9 ms | In time | Refused at once "
        "| Probes, share of slot time | Probes, share of budget | News bytes a call |"
    )
    lines.append("|---|---|---|---|---|---|---|---|---|---|")
    for result in policies.values():
        lines.append(
            f"| {result.policy} | {result.call_count} | {result.p50_ms:.2f} "
            f"| {result.p99_ms:.2f} | {result.p999_ms:.2f} "
            f"| {result.in_time_ratio:.4%} | {result.refused_ratio:.4%} "
            f"| {result.probe_ratio:.5%} | {result.budget_used_ratio:.2%} "
            f"| {result.load_update_bytes_per_call:.2f} |"
        )
    return [*lines, ""]


def _plot(cells: Cells, path: pathlib.Path) -> None:
    matplotlib.use("Agg")
    firms = list(dict.fromkeys(firm for firm, _, _ in cells))
    scenarios = list(dict.fromkeys(scenario for _, scenario, _ in cells))
    load_ratio = min((key[2] for key in cells), key=lambda r: abs(r - PLOT_LOAD_RATIO))
    figure, axes = pyplot.subplots(len(firms), 1, squeeze=False, figsize=(10, 7))
    for axis, firm in zip(axes[:, 0], firms, strict=True):
        _plot_firm(axis, firm, scenarios, load_ratio, cells)
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    pyplot.close(figure)


def _plot_firm(
    axis: pyplot.Axes,
    firm: str,
    scenarios: list[str],
    load_ratio: float,
    cells: Cells,
) -> None:
    policies = list(cells[firm, scenarios[0], load_ratio])
    width = 0.8 / len(policies)
    for index, policy in enumerate(policies):
        heights = [cells[firm, s, load_ratio][policy].p99_ms for s in scenarios]
        places = [place + index * width for place in range(len(scenarios))]
        axis.bar(places, heights, width, label=policy)
    axis.set_yscale("log")
    axis.set_ylabel("p99 (ms)")
    axis.set_title(f"{firm} at {load_ratio:.0%} of capacity")
    axis.set_xticks([place + 0.4 for place in range(len(scenarios))], scenarios)
    axis.legend(fontsize=7)
