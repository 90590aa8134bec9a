"""Latency that one entry instance adds, and its calls a second on one core.

Prints, from one run: the direct call, the bare pass-through and the entry instance
at 1, 16 and 64 concurrent callers; the added latency at half of the capacity; the
ratio of calls a second to the pass-through; and the processor time for a call.
The direct calls are made at the same rate as those through the entry instance, so
that both meet backend servers under the same load.
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
BACKENDS_COUNT = 3
SLOTS_COUNT = 64
SERVICE_TIME_S = 0.002
CALLERS_COUNTS = (1, 16, 64)
ROUNDS_COUNT = 5
TARGET_ADDED_MS = 1.6
START_PATIENCE_S = 20.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PATH = "/v1/services/positions/x"

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


class Bench:
    """The processes of one run.

    Parameters
    ----------
    stack : contextlib.ExitStack
        Ends the processes.
    first_port : int
        The first of the ports to use.
    backend_module : str
        The program of the backend servers.
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
        self.backends = [f"{HOST}:{next(ports)}" for _ in range(BACKENDS_COUNT)]
        self._configuration = next(ports)
        self._list = next(ports)
        self.pass_through = f"{HOST}:{next(ports)}"
        self._entry_port = next(ports)
        next(ports), next(ports)
        self.entry = f"{HOST}:{self._entry_port}"
        self._start_all()

    def _start(self, *words: str) -> subprocess.Popen:
        log = self._stack.enter_context(
            (self._directory / f"{time.monotonic_ns()}.log").open("wb")
        )
        process = subprocess.Popen([sys.executable, "-m", *words], stderr=log)
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
                f"--slot_count={SLOTS_COUNT}",
                f"--service_time_s={SERVICE_TIME_S}",
            )
            rows.append(
                {
                    "address": address,
                    "service": "positions",
                    "data_centre": "a",
                    "slot_count": SLOTS_COUNT,
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
        """Return when both paths answer."""
        http = urllib3.PoolManager(retries=False)
        until_s = time.monotonic() + START_PATIENCE_S
        for address in (self.pass_through, self.entry):
            while True:
                with contextlib.suppress(urllib3.exceptions.HTTPError):
                    if http.request("GET", f"http://{address}{PATH}").status == 200:
                        break
                if time.monotonic() > until_s:
                    sys.exit(f"{address} did not become ready")
                time.sleep(0.1)


class Run:
    """What the callers of one run saw."""

    def __init__(self, document: dict) -> None:
        self._sorted_us = sorted(document["latencies_us"])
        self.count = len(self._sorted_us)
        self.rate_per_s = self.count / document["duration_s"]
        self.refused_count = sum(document["statuses"].values()) - self.count

    def latency_ms(self, quantile_ratio: float) -> float:
        """Return a quantile of the latencies in milliseconds."""
        index = min(self.count - 1, int(quantile_ratio * self.count))
        return self._sorted_us[index] / 1000


def call(
    addresses: list[str],
    callers_count: int,
    duration_s: float,
    rate_per_s: float = 0,
    is_random: bool = False,
) -> Run:
    """Run callers in their own process.

    Parameters
    ----------
    addresses : list of str
        Whom to call.
    callers_count : int
        How many callers.
    duration_s : float
        How long, in seconds.
    rate_per_s : float
        Calls a second of all callers together; 0 for as many as they can.
    is_random : bool
        Whether calls are planned at random times.

    Returns
    -------
    Run
        What they saw.
    """
    output = subprocess.run(
        [
            sys.executable,
            "-W",
            "ignore",
            "-m",
            "bench.latency_callers",
            f"--addresses='{','.join(addresses)}'",
            f"--path={PATH}",
            f"--callers_count={callers_count}",
            f"--duration_s={duration_s}",
            f"--rate_per_s={rate_per_s}",
            f"--is_random={is_random}",
            "--any_status",
        ],
        check=True,
        stdout=subprocess.PIPE,
    ).stdout
    return Run(orjson.loads(output))


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _row(name: str, callers_count: int, run: Run, direct: Run) -> str:
    added = [run.latency_ms(q) - direct.latency_ms(q) for q in (0.5, 0.99)]
    return (
        f"{name:14}{callers_count:>8}{run.rate_per_s:>10.0f}"
        f"{run.latency_ms(0.5):>9.2f}{run.latency_ms(0.99):>9.2f}"
        f"{added[0]:>12.2f}{added[1]:>12.2f}"
    )


def measure_concurrent(bench: Bench, duration_s: float) -> dict[str, float]:
    """Print the table by concurrent callers; return the capacities a second."""
    print(
        f"{'path':14}{'callers':>8}{'calls/s':>10}{'p50 ms':>9}{'p99 ms':>9}"
        f"{'added p50':>12}{'added p99':>12}"
    )
    capacities = {}
    for callers_count in CALLERS_COUNTS:
        for name, address, process in (
            ("pass-through", bench.pass_through, bench.pass_through_process),
            ("berylhaven", bench.entry, bench.entry_process),
        ):
            before_s = processor_s(process.pid)
            run = call([address], callers_count, duration_s)
            used_s = processor_s(process.pid) - before_s
            direct = call(bench.backends, callers_count, duration_s, run.rate_per_s)
            # The warm-up's calls have used processor time too.
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


def measure_at_half(bench: Bench, duration_s: float, half_per_s: float) -> None:
    """Print the added latency at half of the capacity, in alternating rounds.

    Other work on the machine stalls some rounds; the median over rounds is what the
    paths differ by, and the spread is printed too.
    """
    print(
        f"at {half_per_s:.0f} calls/s, half of the capacity, planned at random "
        f"times; {ROUNDS_COUNT} rounds by turns:"
    )
    added = {0.5: [], 0.99: []}
    for _ in range(ROUNDS_COUNT):
        run = call([bench.entry], 64, duration_s, half_per_s, is_random=True)
        direct = call(bench.backends, 64, duration_s, half_per_s, is_random=True)
        for quantile, values in added.items():
            values.append(run.latency_ms(quantile) - direct.latency_ms(quantile))
    for quantile, values in added.items():
        rounds = " ".join(f"{value:.2f}" for value in sorted(values))
        print(
            f"added ms at the {100 * quantile:.0f}th: median "
            f"{statistics.median(values):.2f} of {rounds}"
        )
    print(f"target at the 99th: {TARGET_ADDED_MS} ms")


def main(duration_s: float = 4.0, first_port: int = FIRST_PORT) -> None:
    """Run the bench and print its tables."""
    with contextlib.ExitStack() as stack:
        bench = Bench(stack, first_port)
        bench.wait_until_ready()
        capacities = measure_concurrent(bench, duration_s)
        ratio = capacities["berylhaven"] / capacities["pass-through"]
        print(f"calls/s as a ratio to the pass-through: {ratio:.2f} (goal 0.6)")
        measure_at_half(bench, duration_s / 2, capacities["berylhaven"] / 2)


if __name__ == "__main__":
    fire.Fire(main)
