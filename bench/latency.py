"""Measure the latency added by one entry instance and its calls per second per core.

Prints, from one run: the pass-through and the entry instance at 1, 16 and 64
concurrent callers, both compared with direct calls; the processor time per call; the
ratio of calls per second to the pass-through; and the added latency at half of the
capacity. The direct calls are made at the rate of the calls that they are compared
with, so that the backend servers have the same load.
"""

import contextlib
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time

import fire
import orjson
import urllib3

HOST = "127.0.0.1"
FIRST_PORT = 24_000
BACKEND_COUNT = 3
SLOT_COUNT = 64
SERVICE_TIME_S = 0.002
CALLER_COUNTS = (1, 16, 64)
ROUND_COUNT = 5
ADDED_P99_TARGET_MS = 1.6
START_TIMEOUT_S = 20.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
CALL_PATH = "/v1/services/positions/x"

CATALOGUE = """\
[fleet]
max_entry_instances = 1
[firm carpatic]
guaranteed_share_ratio = 0.9
[service positions]
owner = carpatic
class = interactive
concurrency_limit = 500
rate_limit_per_s = 1000000
deadline_ms = 120000
body_limit_bytes = 1000000000
idempotent = GET /*
"""


class LatencyProcesses:
    """The stand-ins, the pass-through and the entry instance of one run.

    Parameters
    ----------
    stack : contextlib.ExitStack
        Terminates the processes when it is closed.
    first_port : int
        The first port of the range of 100 ports to use.
    backend_module : str
        The module that is run as backend server.
    """

    def __init__(
        self,
        stack: contextlib.ExitStack,
        first_port: int,
        backend_module: str = "standins.backend_server",
    ) -> None:
        self._stack = stack
        self._backend_module = backend_module
        self._directory = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        ports = iter(range(first_port, first_port + 100))
        self.backends = [f"{HOST}:{next(ports)}" for _ in range(BACKEND_COUNT)]
        self._configuration = next(ports)
        self._list = next(ports)
        self.pass_through = f"{HOST}:{next(ports)}"
        self._entry_port = next(ports)
        next(ports), next(ports)
        self.entry = f"{HOST}:{self._entry_port}"
        self._start_all()

    def _start(self, *arguments: str) -> subprocess.Popen:
        log = self._stack.enter_context(
            (self._directory / f"{time.monotonic_ns()}.log").open("wb")
        )
        process = subprocess.Popen([sys.executable, "-m", *arguments], stderr=log)
        self._stack.callback(process.wait)
        self._stack.callback(process.terminate)
        return process

    def _start_all(self) -> None:
        rows = []
        for address in self.backends:
            port = address.rpartition(":")[2]
            self._start(
                self._backend_module,
                f"--port={port}",
                f"--slot_count={SLOT_COUNT}",
                f"--service_time_s={SERVICE_TIME_S}",
            )
            rows.append(
                {
                    "address": address,
                    "service": "positions",
                    "data_centre": "a",
                    "slot_count": SLOT_COUNT,
                    "incarnation": 1,
                    "state": "live",
                }
            )
        (self._directory / "catalogue.ini").write_text(CATALOGUE)
        document = {"backend_servers": rows, "entry_instances": []}
        (self._directory / "list.json").write_bytes(orjson.dumps(document))
        self._start(
            "standins.configuration_service",
            f"--port={self._configuration}",
            f"--catalogue={self._directory / 'catalogue.ini'}",
        )
        self._start(
            "standins.instance_list",
            f"--port={self._list}",
            f"--document={self._directory / 'list.json'}",
        )
        self.pass_through_process = self._start(
            "bench.latency_pass_through",
            f"--port={self.pass_through.rpartition(':')[2]}",
            f"--backend={','.join(self.backends)}",
        )
        self._start_entry()

    def _start_entry(self) -> None:
        port = self._entry_port
        settings = self._directory / "entry.ini"
        settings.write_text(
            f"[instance]\nhost = {HOST}\ncallers_port = {port}\n"
            f"peers_port = {port + 1}\noperators_port = {port + 2}\n"
            "data_centre = a\nfirm = carpatic\n"
            f"[platform]\nconfiguration_service = {HOST}:{self._configuration}\n"
            f"instance_list = {HOST}:{self._list}\n"
        )
        self.entry_process = self._start(
            "berylhaven", "entry", "run", "--settings", str(settings)
        )

    def wait_until_ready(self) -> None:
        """Wait until the pass-through and the entry instance answer calls."""
        http = urllib3.PoolManager(retries=False)
        timeout_at_s = time.monotonic() + START_TIMEOUT_S
        for address in (self.pass_through, self.entry):
            while True:
                with contextlib.suppress(urllib3.exceptions.HTTPError):
                    if (
                        http.request("GET", f"http://{address}{CALL_PATH}").status
                        == 200
                    ):
                        break
                if time.monotonic() > timeout_at_s:
                    sys.exit(f"{address} did not become ready")
                time.sleep(0.1)


class CallerResults:
    """The latencies and counts that the callers of one run measured."""

    def __init__(self, document: dict) -> None:
        self._sorted_us = sorted(document["latencies_us"])
        self.count = len(self._sorted_us)
        self.rate_per_s = self.count / document["duration_s"]
        self.refused_count = sum(document["statuses"].values()) - self.count

    def latency_ms(self, quantile_ratio: float) -> float:
        """Return a quantile of the latencies in milliseconds."""
        index = min(self.count - 1, int(quantile_ratio * self.count))
        return self._sorted_us[index] / 1000


def run_callers(
    addresses: list[str],
    callers_count: int,
    duration_s: float,
    rate_per_s: float = 0,
    is_random: bool = False,
) -> CallerResults:
    """Run callers in a separate process.

    Parameters
    ----------
    addresses : list of str
        HOST:PORT of each target.
    callers_count : int
        The number of concurrent callers.
    duration_s : float
        The duration of the measurement in seconds.
    rate_per_s : float
        Calls per second of all callers together; 0 for as many as possible.
    is_random : bool
        Whether the calls are scheduled at random times.

    Returns
    -------
    CallerResults
        The measured latencies and counts.
    """
    output = subprocess.run(
        [
            sys.executable,
            "-W",
            "ignore",
            "-m",
            "bench.latency_callers",
            f"--addresses='{','.join(addresses)}'",
            f"--path={CALL_PATH}",
            f"--callers_count={callers_count}",
            f"--duration_s={duration_s}",
            f"--rate_per_s={rate_per_s}",
            f"--is_random={is_random}",
            "--any_status",
        ],
        check=True,
        stdout=subprocess.PIPE,
    ).stdout
    return CallerResults(orjson.loads(output))


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _row(
    name: str, callers_count: int, run: CallerResults, direct: CallerResults
) -> str:
    added = [run.latency_ms(q) - direct.latency_ms(q) for q in (0.5, 0.99)]
    return (
        f"{name:14}{callers_count:>8}{run.rate_per_s:>10.0f}"
        f"{run.latency_ms(0.5):>9.2f}{run.latency_ms(0.99):>9.2f}"
        f"{added[0]:>12.2f}{added[1]:>12.2f}"
    )


def measure_by_caller_count(
    bench: LatencyProcesses, duration_s: float
) -> dict[str, float]:
    """Print the table by concurrent callers; return calls per second by path."""
    print(
        f"{'path':14}{'callers':>8}{'calls/s':>10}{'p50 ms':>9}{'p99 ms':>9}"
        f"{'added p50':>12}{'added p99':>12}"
    )
    capacities = {}
    for callers_count in CALLER_COUNTS:
        for name, address, process in (
            ("pass-through", bench.pass_through, bench.pass_through_process),
            ("berylhaven", bench.entry, bench.entry_process),
        ):
            before_s = processor_s(process.pid)
            run = run_callers([address], callers_count, duration_s)
            used_s = processor_s(process.pid) - before_s
            direct = run_callers(
                bench.backends, callers_count, duration_s, run.rate_per_s
            )
            # The calls of the warm-up, 0.5 s, also use processor time.
            share = duration_s / (duration_s + 0.5)
            cost_us = 1e6 * used_s * share / run.count
            line = _row(name, callers_count, run, direct)
            print(
                f"{line}   {cost_us:.0f} us of processor a call, "
                f"{run.refused_count} refused",
                flush=True,
            )
            capacities[name] = run.rate_per_s
    return capacities


def measure_at_half_capacity(
    bench: LatencyProcesses, duration_s: float, half_per_s: float
) -> None:
    """Print the added latency at half of the capacity, in alternating rounds.

    Other work on the machine delays some rounds. The median over the rounds is the
    difference between the paths; the values of all rounds are printed too.
    """
    print(
        f"at {half_per_s:.0f} calls/s, half of the capacity, planned at random "
        f"times; {ROUND_COUNT} rounds by turns:"
    )
    added = {0.5: [], 0.99: []}
    for _ in range(ROUND_COUNT):
        run = run_callers([bench.entry], 64, duration_s, half_per_s, is_random=True)
        direct = run_callers(bench.backends, 64, duration_s, half_per_s, is_random=True)
        for quantile, values in added.items():
            values.append(run.latency_ms(quantile) - direct.latency_ms(quantile))
    for quantile, values in added.items():
        rounds = " ".join(f"{value:.2f}" for value in sorted(values))
        print(
            f"added ms at the {100 * quantile:.0f}th: median "
            f"{statistics.median(values):.2f} of {rounds}"
        )
    print(f"target at the 99th: {ADDED_P99_TARGET_MS} ms")


def main(duration_s: float = 4.0, first_port: int = FIRST_PORT) -> None:
    """Run the benchmark and print its tables."""
    with contextlib.ExitStack() as stack:
        bench = LatencyProcesses(stack, first_port)
        bench.wait_until_ready()
        capacities = measure_by_caller_count(bench, duration_s)
        ratio = capacities["berylhaven"] / capacities["pass-through"]
        print(f"calls/s as a ratio to the pass-through: {ratio:.2f} (goal 0.6)")
        measure_at_half_capacity(bench, duration_s / 2, capacities["berylhaven"] / 2)


if __name__ == "__main__":
    fire.Fire(main)
