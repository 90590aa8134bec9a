"""Measure the isolation of a firm while the other firm overloads the entry instance.

Run ``python -m bench.isolation``. It prints the results of the calls of a firm with a
low rate, the quiet firm, first alone and then while the other firm floods the instance.
"""

import statistics
import subprocess
import sys
import time

import fire
import orjson

from standins.fleet import HOST, FleetShape, ProcessFleet, ServiceShape

SERVICES = (
    ServiceShape("carpatic", "positions", "interactive", 16, 4),
    ServiceShape("kivu", "availability", "interactive", 17, 6),
)
QUIET_RATE_PER_S = 50.0
QUIET_CALLERS = 8
FLOOD_CALLERS = 64
FLOOD_PROCESSES = 2
DURATION_S = 6.0
WARNING_LOG_SETTINGS = "[log]\nlevel = warning\n"


def _start_callers(
    address: str, service: str, count: int, rate_per_s: float
) -> subprocess.Popen:
    command = [sys.executable, "-m", "bench.latency_callers", "--any_status"]
    command += [f"--addresses={address}", f"--path=/v1/services/{service}/x"]
    command += [f"--callers_count={count}", f"--duration_s={DURATION_S}"]
    command += [f"--rate_per_s={rate_per_s}"]
    return subprocess.Popen(command, stdout=subprocess.PIPE)


def _quiet_row(label: str, document: dict) -> str:
    latencies_us = sorted(document["latencies_us"])
    answered = document["statuses"].get("200", 0)
    total = sum(document["statuses"].values())
    p50_ms = statistics.median(latencies_us) / 1000
    p99_ms = latencies_us[int(len(latencies_us) * 0.99)] / 1000
    ratio = answered / total
    return f"| {label} | {total} | {ratio:.1%} | {p50_ms:.1f} | {p99_ms:.1f} |"


def _measure(flood_rate_per_s: float) -> tuple[dict, list[dict], float]:
    shape = FleetShape(
        SERVICES, 1, settings_lines=WARNING_LOG_SETTINGS, max_entry_instances=2
    )
    with ProcessFleet(shape) as fleet:
        # A new run reserves a part of its limits for the duration of a lease.
        time.sleep(12.0)
        address = f"{HOST}:{fleet.entries[0].ports[0]}"
        floods = []
        if flood_rate_per_s:
            process_rate_per_s = flood_rate_per_s / FLOOD_PROCESSES
            floods = [
                _start_callers(address, "positions", FLOOD_CALLERS, process_rate_per_s)
                for _ in range(FLOOD_PROCESSES)
            ]
        quiet = _start_callers(address, "availability", QUIET_CALLERS, QUIET_RATE_PER_S)
        quiet_out = orjson.loads(quiet.communicate(timeout=60.0)[0])
        flood_out = [orjson.loads(f.communicate(timeout=60.0)[0]) for f in floods]
        pressure = fleet.status(fleet.entries[0])["overload_pressure"]
    return quiet_out, flood_out, pressure


def main(flood_rate_per_s: float = 4000.0) -> None:
    """Print the results of the quiet firm's calls, alone and during the flood."""
    print("| quiet firm | calls | answered | p50, ms | p99, ms |")
    print("| --- | --- | --- | --- | --- |")
    alone, _, _ = _measure(0.0)
    print(_quiet_row("alone", alone))
    quiet, floods, pressure = _measure(flood_rate_per_s)
    print(_quiet_row("while the other floods", quiet))
    statuses: dict[str, int] = {}
    for flood in floods:
        for status, count in flood["statuses"].items():
            statuses[status] = statuses.get(status, 0) + count
    print(f"flood: {statuses}, pressure at the end {pressure}")


if __name__ == "__main__":
    fire.Fire(main)
