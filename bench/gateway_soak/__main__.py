"""Run soaks with the given seeds; exit 1 if a guarantee was broken."""

import random
import sys

import eventlet

eventlet.monkey_patch()

import fire  # noqa: E402

from bench.gateway_soak import FAULTS, SoakReport, run_soak  # noqa: E402

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


def main(
    duration_s: float = DEFAULT_DURATION_S,
    seed: int = -1,
    count: int = 1,
    gateway_count: int = 3,
    kinds: str = "",
) -> None:
    """Run soaks from the command line.

    Parameters
    ----------
    duration_s : float
        The time during which faults are injected in each soak, in seconds.
    seed : int
        The first seed; a random one if negative.
    count : int
        The number of soaks, with consecutive seeds.
    gateway_count : int
        The number of gateways.
    kinds : str
        The names of the faults to inject, separated by commas; all if empty.
    """
    first = seed if seed >= 0 else random.randrange(RANDOM_SEED_LIMIT)
    chosen = tuple(name.strip() for name in kinds.split(",") if name.strip())
    unknown = set(chosen) - set(FAULTS)
    if unknown:
        sys.exit(f"no such fault: {', '.join(sorted(unknown))}")
    broken_seeds = []
    for number in range(first, first + count):
        duration = float(duration_s) or DEFAULT_DURATION_S
        report = run_soak(duration, number, gateway_count, chosen)
        print_report(number, report)
        if report.broken:
            broken_seeds.append(number)
    print(f"{count - len(broken_seeds)} good, broken seeds: {broken_seeds or 'none'}")
    sys.exit(1 if broken_seeds else 0)


if __name__ == "__main__":
    fire.Fire(main)
