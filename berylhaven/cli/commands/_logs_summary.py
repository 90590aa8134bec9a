"""The command ``logs summary``."""

import math

from berylhaven.cli._log_files import STANDARD_INPUT, log_lines
from berylhaven.cli._output import print_json
from berylhaven.cli._registry import register_command
from berylhaven.event_log import OutcomeCause, OutcomeCounts, summarize

MILLISECONDS_PER_SECOND = 1_000
# A row of the plot has so many marks at its fullest second.
PLOT_MARKS = " .:-=+*#@"
PLOT_SECONDS_LIMIT = 60


@register_command("logs", "summary")
def summarize_logs(*, logs: str = STANDARD_INPUT, json: bool = False) -> None:
    """Count how requests ended, by status and cause, with a plot over time.

    Parameters
    ----------
    logs : str
        Paths of log files, separated by commas; `-` is standard input.
    json : bool
        Print JSON.
    """
    found = summarize(log_lines(logs))
    if json:
        print_json([_document(*item) for item in found.items()])
        return
    print("   count  mean ms  status  cause")
    for outcome, counts in found.items():
        mean_ms = counts.mean_s * MILLISECONDS_PER_SECOND
        print(f"{counts.count:8} {mean_ms:8.1f}  {outcome.status}     {outcome.cause}")
    seconds = sorted({s for counts in found.values() for s in counts.by_second})
    if not seconds:
        return
    # The newest seconds are those that are asked about.
    first = max(seconds[0], seconds[-1] - PLOT_SECONDS_LIMIT + 1)
    shown = range(first, seconds[-1] + 1)
    print(f"\nby second, from Unix time {first}:")
    for outcome, counts in found.items():
        print(f"  {outcome.status} |{_plot(counts, shown)}| {outcome.cause}")


def _plot(counts: OutcomeCounts, seconds: range) -> str:
    """Return one mark a second, relative to the fullest one."""
    most = max(counts.by_second.values())
    marks = []
    for second in seconds:
        share = counts.by_second[second] / most
        # Any request at all shows.
        marks.append(PLOT_MARKS[math.ceil(share * (len(PLOT_MARKS) - 1))])
    return "".join(marks)


def _document(outcome: OutcomeCause, counts: OutcomeCounts) -> dict:
    return {
        "status": outcome.status,
        "cause": outcome.cause,
        "count": counts.count,
        "mean_s": round(counts.mean_s, 4),
    }
