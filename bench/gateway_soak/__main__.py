"""Run soaks with the given seeds; exit 1 if a guarantee was broken."""

import collections
import random
import sys

import eventlet

eventlet.monkey_patch()

import fire  # noqa: E402

from bench.gateway_soak import (  # noqa: E402
    FAULTS,
    SenderReport,
    SoakReport,
    StopOptions,
    StopReport,
    describe_answers,
    draw_options,
    run_endless_senders,
    run_planned_stops,
    run_soak,
)

DEFAULT_DURATION_S = 12.0
RANDOM_SEED_LIMIT = 1_000_000


def print_report(seed: int, report: SoakReport) -> None:
    """Print the counts of a soak."""
    verdict = "good" if not report.broken else "BROKEN"
    print(f"seed {seed}: {verdict}, {sum(report.faults.values())} faults", flush=True)
    for (kind, status), count in sorted(report.answers.items(), key=str):
        print(f"  {kind:8} {status!s:8} {count:8}")
    for name, count in report.broken.items():
        print(f"  broken: {name}: {count}", flush=True)


def print_stop_report(seed: int, report: StopReport) -> None:
    """Print the counts and losses of a run with planned stops."""
    exits = ", ".join(f"{time_s:.2f}" for time_s in report.exits_after_s)
    verdict = "good" if not (report.losses or report.broken) else "BROKEN"
    answered = sum(n for (_, status), n in report.answers.items() if status)
    print(
        f"seed {seed}: {verdict}, {sum(report.answers.values())} requests, "
        f"{answered} answers, {report.open_count} still open; exits after {exits} s, "
        f"{report.killed_count} killed; callers' hub late by {report.max_delay_s:.2f} s"
    )
    counts = collections.Counter(status for _, status in report.answers.elements())
    print("  statuses: " + ", ".join(f"{s}: {n}" for s, n in counts.most_common()))
    for found, count in report.losses.items():
        print(f"  {found.value}: {count}")
    if report.passed_on_count:
        print(f"  named by the log as passed on: {report.passed_on_count}")
    for found, count in report.old_losses.items():
        print(f"  in stops of the earlier build: {found.value}: {count}")
    for line in report.broken:
        print(f"  broken: {line}")
    if report.read_count:
        print(f"  named by the gateway's log, but never passed on: {report.read_count}")
    for line in report.lines:
        print(f"  {line}")
    sys.stdout.flush()


def print_sender_report(seed: int, report: SenderReport) -> None:
    """Print what was found in a run with endless senders."""
    verdict = "BROKEN" if report.broken else "good"
    options = report.options
    print(f"seed {seed}: {verdict}, {options}")
    print(f"  sound service: {describe_answers(report.sound)}")
    print(f"  service beside: {describe_answers(report.beside)}")
    print(f"  peak {report.peak_bytes / 1e6:.0f} MB")
    if options.stops:
        print(f"  SIGTERM noticed after {report.noticed_after_s} s")
    else:
        print(f"  afterwards: {describe_answers(report.afterwards)}")
    for line in report.broken:
        print(f"  broken: {line}")
    sys.stdout.flush()


def main(
    duration_s: float = 0.0,
    seed: int = -1,
    count: int = 1,
    gateway_count: int = 3,
    kinds: str = "",
    planned_stops: int = 0,
    endless_senders: int = 0,
    old_commit: str = "",
    **options: int | str,
) -> None:
    """Run soaks, planned stops or endless senders from the command line.

    Parameters
    ----------
    duration_s : float
        The time during which faults are injected in each soak, or endless senders
        send, in seconds; 0 for the default.
    seed : int
        The first seed; a random one if negative.
    count : int
        The number of soaks, with consecutive seeds.
    gateway_count : int
        The number of gateways.
    kinds : str
        The names of the faults to inject, or of the bytes that endless senders send,
        separated by commas; all, or drawn ones, if empty.
    planned_stops : int
        The number of runs with planned stops instead of soaks.
    endless_senders : int
        The number of runs with endless senders instead of soaks.
    old_commit : str
        The commit of an earlier build that runs beside the current one.
    **options : int or str
        Further fields of `StopOptions`, such as caller_count or busy_count, or of
        `SenderOptions`, such as role, in place of drawn ones.
    """
    first = seed if seed >= 0 else random.randrange(RANDOM_SEED_LIMIT)
    broken_seeds = []
    if endless_senders:
        if duration_s:
            options["duration_s"] = duration_s
        chosen = {"kinds": kinds, "ports": options.pop("ports", "")}
        options |= {name: names(value) for name, value in chosen.items() if value}
        for number in range(first, first + endless_senders):
            sender_report = run_endless_senders(draw_options(number, **options))
            print_sender_report(number, sender_report)
            if sender_report.broken:
                broken_seeds.append(number)
        end(endless_senders, broken_seeds)
    if planned_stops:
        for number in range(first, first + planned_stops):
            stop_options = StopOptions(
                seed=number,
                gateway_count=gateway_count,
                old_commit=str(old_commit),
                **options,
            )
            stop_report = run_planned_stops(stop_options)
            print_stop_report(number, stop_report)
            if stop_report.losses or stop_report.broken:
                broken_seeds.append(number)
        end(planned_stops, broken_seeds)
    chosen = names(kinds)
    unknown = set(chosen) - set(FAULTS)
    if unknown:
        sys.exit(f"no such fault: {', '.join(sorted(unknown))}")
    for number in range(first, first + count):
        duration = float(duration_s) or DEFAULT_DURATION_S
        report = run_soak(duration, number, gateway_count, chosen, str(old_commit))
        print_report(number, report)
        if report.broken:
            broken_seeds.append(number)
    end(count, broken_seeds)


def names(value: str | tuple[str, ...]) -> tuple[str, ...]:
    """Return names that were given with commas; `fire` may have split them."""
    parts = value.split(",") if isinstance(value, str) else value
    return tuple(name.strip() for name in parts if name.strip())


def end(count: int, broken_seeds: list[int]) -> None:
    """Print which seeds broke a guarantee and exit; the status is 1 if any did."""
    print(f"{count - len(broken_seeds)} good, broken seeds: {broken_seeds or 'none'}")
    sys.exit(1 if broken_seeds else 0)


if __name__ == "__main__":
    fire.Fire(main)
