"""Measure the time of one routing decision among 16 to 730 servers."""

import pathlib
import statistics
import time
import warnings
from random import Random

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import fire  # noqa: E402

from berylhaven.discovery import BackendServer  # noqa: E402
from berylhaven.load import LoadReport, LoadTable  # noqa: E402
from berylhaven.routing import (  # noqa: E402
    RoutingRequest,
    choose,
    routing_policies,
)

SERVER_COUNTS = (16, 17, 110, 730)
SERVICE = "positions"
NOW_S = 100.0
ROUND_COUNT = 5
MICROSECONDS_PER_SECOND = 1_000_000


def loaded_table(server_count: int, random: Random) -> LoadTable:
    """Return a load table whose servers have answered calls and report load.

    Parameters
    ----------
    server_count : int
        The number of servers of the service.
    random : Random
        The source of random loads.

    Returns
    -------
    LoadTable
        The table; about one server in ten is slow.
    """
    table = LoadTable()
    rows = [
        BackendServer(f"10.0.{i}.1:80", SERVICE, "abc"[i % 3], 4, 1, False)
        for i in range(server_count)
    ]
    table.update_servers(SERVICE, rows)
    for server in table.candidates(SERVICE):
        at_s = NOW_S - random.random()
        is_slow = random.random() < 0.1
        for _ in range(5):
            report = LoadReport(random.randrange(5), 0, 4, None, False, at_s)
            server.call_started()
            server.call_answered(0.05 if is_slow else 0.006, report, at_s)
    return table


def microseconds_per_decision(
    policy: str, server_count: int, decisions: int, seed: int
) -> float:
    """Return the median time of a decision over several rounds.

    Parameters
    ----------
    policy : str
        The policy's registry name.
    server_count : int
        The number of servers of the service.
    decisions : int
        The number of decisions in one round.
    seed : int
        The seed of all random numbers.

    Returns
    -------
    float
        Microseconds for one decision, including the lookup of the candidates.
    """
    random = Random(seed)
    table = loaded_table(server_count, random)
    request = RoutingRequest(NOW_S, NOW_S + 1, "a", random)
    rounds = []
    for _ in range(ROUND_COUNT):
        started_s = time.perf_counter()
        for _ in range(decisions):
            choose(policy, request, table.candidates(SERVICE))
        rounds.append((time.perf_counter() - started_s) / decisions)
    return statistics.median(rounds) * MICROSECONDS_PER_SECOND


def main(
    decisions: int = 5_000, seed: int = 1, output: str = "bench/results/decision.md"
) -> None:
    """Measure all policies and write a table.

    Parameters
    ----------
    decisions : int
        The number of decisions in one round.
    seed : int
        The seed of all random numbers.
    output : str
        The path of the written table.
    """
    counts = " | ".join(str(count) for count in SERVER_COUNTS)
    lines = [
        "# Microseconds of one decision",
        "",
        f"`python -m bench.decision_cost`, seed {seed}, median of {ROUND_COUNT} "
        f"rounds of {decisions}, by number of servers.",
        "",
        f"| Policy | {counts} |",
        "|---|" + "---|" * len(SERVER_COUNTS),
    ]
    for policy in sorted(routing_policies()):
        row = [
            f"{microseconds_per_decision(policy, count, decisions, seed):.1f}"
            for count in SERVER_COUNTS
        ]
        lines.append(f"| {policy} | {' | '.join(row)} |")
    path = pathlib.Path(output)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("\n".join(lines) + "\n")
    print("\n".join(lines))


if __name__ == "__main__":
    fire.Fire(main)
