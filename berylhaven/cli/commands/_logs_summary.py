"""The command ``logs summary``."""

import math

from berylhaven.cli._log_files import STANDARD_INPUT, log_lines
from berylhaven.cli._output import print_json
from berylhaven.cli._registry import register_command
from berylhaven.event_log import OutcomeCause, OutcomeCounts, summarize

MILLISECONDS_PER_SECOND = 1_000
# The marks of the plot, from no request to the count of the busiest second.
PLOT_MARKS = " .:-=+*#@"
PLOT_SECONDS_LIMIT = 60


@register_command("logs", "summary")
def summarize_logs(*, logs: str = STANDARD_INPUT, json: bool = False) -> None:
    """Count ended requests by status and cause, with a plot over time.

    Parameters
    ----------
    logs : str
        Paths of log files, separated by commas; `-` is standard input.
    json : bool
        Print JSON.
    """
    summary = summarize(log_lines(logs))
    if json:
        print_json([_to_json(*item) for item in summary.items()])
        return
    print("   count  mean ms  status  cause")
    for outcome, counts in summary.items():
        mean_ms = counts.mean_s * MILLISECONDS_PER_SECOND
        print(f"{counts.count:8} {mean_ms:8.1f}  {outcome.status}     {outcome.cause}")
    seconds = sorted({s for counts in summary.values() for s in counts.by_second})
    if not seconds:
        return
    # Only the newest seconds are plotted; they are the ones of interest.
    first = max(seconds[0], seconds[-1] - PLOT_SECONDS_LIMIT + 1)
    shown_seconds = range(first, seconds[-1] + 1)
    print(f"\nby second, from Unix time {first}:")
    for outcome, counts in summary.items():
        print(f"  {outcome.status} |{_plot(counts, shown_seconds)}| {outcome.cause}")


def _plot(counts: OutcomeCounts, seconds: range) -> str:
    """Return one mark per second, relative to the busiest second."""
    peak_count = max(counts.by_second.values())
    marks = []
    for second in seconds:
        share = counts.by_second[second] / peak_count
        # Rounded up, so that even a single request is visible.
        marks.append(PLOT_MARKS[math.ceil(share * (len(PLOT_MARKS) - 1))])
    return "".join(marks)


def _to_json(outcome: OutcomeCause, counts: OutcomeCounts) -> dict:
    return {
        "status": outcome.status,
        "cause": outcome.cause,
        "count": counts.count,
        "mean_s": round(counts.mean_s, 4),
    }
