"""Measure the cost of decision lines: written, over the rate limit, and disabled."""

import os
import sys
import time

import fire

from berylhaven.cli import table
from berylhaven.operations import DecisionLog, PlacementDecision, set_up_logging
from berylhaven.settings import LogSettings

MICROSECONDS_PER_SECOND = 1e6
LINES_PER_S_MAXIMUM = 100_000
HEADINGS = ("case", "decisions", "lines", "microseconds_each", "to_off")


def cost_us(settings: LogSettings, decision_count: int) -> tuple[int, float]:
    """Return the number of written lines and the mean cost of a decision.

    Parameters
    ----------
    settings : LogSettings
        The format and rate limit of the lines.
    decision_count : int
        The number of decisions, made as fast as possible.

    Returns
    -------
    tuple of int and float
        The lines, and the wall time per decision in microseconds.
    """
    log = DecisionLog(settings)
    started_s = time.perf_counter()
    for number in range(decision_count):
        if log.try_acquire_line():
            log.write(
                PlacementDecision(
                    call_id=f"0123abcd-17-{number:024d}",
                    service="positions",
                    policy="finish_time",
                    chosen="10.1.2.3:8080",
                    candidate_count=16,
                    news_age_s=0.0123,
                    estimated_finish_s=0.0042,
                )
            )
    elapsed_s = time.perf_counter() - started_s
    lines = decision_count - log.dropped_count
    return lines, elapsed_s / decision_count * MICROSECONDS_PER_SECOND


def main(decision_count: int = 20_000) -> None:
    """Measure all cases in one run and print them with their ratios to "off"."""
    cases = {
        "off": LogSettings("info", "text", 0),
        "over the bound of 100": LogSettings("info", "text", 100),
        "every line, text": LogSettings("info", "text", LINES_PER_S_MAXIMUM),
        "every line, JSON": LogSettings("info", "json", LINES_PER_S_MAXIMUM),
    }
    # The lines are formatted and written to the null device.
    os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stderr.fileno())
    rows = []
    off_us = 0.0
    for name, settings in cases.items():
        set_up_logging(settings)
        lines, each_us = cost_us(settings, decision_count)
        off_us = off_us or each_us
        row = (name, decision_count, lines, round(each_us, 2), round(each_us / off_us))
        rows.append(row)
    print(table(HEADINGS, rows))


if __name__ == "__main__":
    fire.Fire(main)
