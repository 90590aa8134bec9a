"""Measure the cost of control of an entry instance, with processes on loopback.

Prints, for each size of the fleet: bytes and messages between peers, processor time,
memory, reads of the platform's services, and the time until a new catalogue is active
at all instances. No calls are made, so that all measured costs are those of control.
"""

import contextlib
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass

import fire
import orjson
import urllib3

HOST = "127.0.0.1"
DATA_CENTRES = 3
PORTS_PER_ENTRY = 3
ENTRIES_OFFSET = 10
SERVERS_PER_SERVICE = 31
START_TIMEOUT_S = 60.0
CATALOGUE_WAIT_S = 8.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
CATALOGUE_PATH = "/v1/values/berylhaven%2Fcatalogue"


@dataclass(slots=True)
class Sample:
    """Counters of one entry instance at one time."""

    # Bytes sent to and received from peers, HTTP heads included.
    peer_bytes: int
    # Requests and answers sent to and received from peers.
    peer_messages: int
    # Processor time since the start, in seconds.
    processor_s: float
    # Resident memory in bytes.
    memory_bytes: int


class Fleet:
    """The processes of the stand-ins and the entry instances.

    Parameters
    ----------
    size : int
        The number of entry instances.
    first_port : int
        The first of the used ports.
    directory : pathlib.Path
        The directory of settings and logs.
    """

    def __init__(self, size: int, first_port: int, directory: pathlib.Path) -> None:
        self.size = size
        self.http = urllib3.PoolManager(retries=False, num_pools=size + 2)
        self._first_port = first_port
        self._directory = directory
        self._processes: list[subprocess.Popen] = []

    def start(self) -> None:
        """Start all processes."""
        (self._directory / "catalogue.ini").write_text(_catalogue_text(self.size, 1))
        (self._directory / "list.json").write_bytes(orjson.dumps(_list_document()))
        self._start_module(
            "standins.configuration_service",
            f"--port={self._first_port}",
            f"--catalogue={self._directory / 'catalogue.ini'}",
        )
        self._start_module(
            "standins.instance_list",
            f"--port={self._first_port + 1}",
            f"--document={self._directory / 'list.json'}",
        )
        for index in range(self.size):
            path = self._directory / f"entry-{index}.ini"
            path.write_text(self._settings_text(index))
            self._start_module("berylhaven", "entry", "run", "--settings", str(path))

    def stop(self) -> None:
        """Kill the processes and wait until they have ended."""
        for process in self._processes:
            process.kill()
        for process in self._processes:
            process.wait()

    def wait_until_converged(self) -> float:
        """Wait until each instance sees all others live; return the seconds it took."""
        started_s = time.monotonic()
        for index in range(self.size):
            while not self._is_converged(index):
                if time.monotonic() - started_s > START_TIMEOUT_S:
                    sys.exit(
                        "not every instance saw all others live within the time limit"
                    )
                time.sleep(0.1)
        return time.monotonic() - started_s

    def samples(self) -> list[Sample]:
        """Return the current counters of all instances."""
        return [self._sample(index) for index in range(self.size)]

    def catalogue_delays_s(self, revision: int) -> list[float]:
        """Publish a catalogue; return the seconds until it was active, by instance."""
        body = _catalogue_text(self.size, revision).encode()
        put_at_s = time.monotonic()
        self.http.request(
            "PUT", f"http://{HOST}:{self._first_port}{CATALOGUE_PATH}", body=body
        )
        time.sleep(CATALOGUE_WAIT_S)
        delays_s = []
        for index in range(self.size):
            active_catalogue = self._status(index)["catalogue"]
            queried_at_s = time.monotonic()
            if active_catalogue["revision"] < revision:
                delays_s.append(float("inf"))
                continue
            delays_s.append(
                queried_at_s - active_catalogue["in_force_for_s"] - put_at_s
            )
        return delays_s

    def read_counts(self) -> tuple[int, int]:
        """Return the reads of the configuration service and of the instance list."""
        counts = []
        for port in (self._first_port, self._first_port + 1):
            answer = self.http.request("GET", f"http://{HOST}:{port}/counters")
            counts.append(orjson.loads(answer.data)["reads"])
        return counts[0], counts[1]

    def _start_module(self, module: str, *arguments: str) -> None:
        log = (self._directory / f"{len(self._processes)}.log").open("wb")
        command = [sys.executable, "-m", module, *arguments]
        process = subprocess.Popen(command, stderr=log, stdout=log)
        self._processes.append(process)

    def _port(self, index: int, offset: int) -> int:
        first = self._first_port + ENTRIES_OFFSET
        return first + PORTS_PER_ENTRY * index + offset

    def _settings_text(self, index: int) -> str:
        seeds = ", ".join(
            f"{HOST}:{self._port(i, 1)}" for i in range(min(3, self.size))
        )
        firm = "carpatic" if index % 2 else "kivu"
        return (
            f"[instance]\nhost = {HOST}\ncallers_port = {self._port(index, 0)}\n"
            f"peers_port = {self._port(index, 1)}\n"
            f"operators_port = {self._port(index, 2)}\n"
            f"data_centre = {firm}-{index // 2 % DATA_CENTRES}\nfirm = {firm}\n"
            f"seed_peers = {seeds}\n"
            f"[platform]\nconfiguration_service = {HOST}:{self._first_port}\n"
            f"instance_list = {HOST}:{self._first_port + 1}\n"
        )

    def _status(self, index: int) -> dict:
        url = f"http://{HOST}:{self._port(index, 2)}/v1/status"
        return orjson.loads(self.http.request("GET", url).data)

    def _is_converged(self, index: int) -> bool:
        try:
            status = self._status(index)
        except urllib3.exceptions.HTTPError:
            return False
        live = [peer for peer in status["peers"] if peer["state"] == "live"]
        return len(live) == self.size - 1 and status["catalogue"] is not None

    def _sample(self, index: int) -> Sample:
        traffic = self._status(index)["peer_traffic"]
        # The first two processes are the stand-ins.
        process = self._processes[index + 2].pid
        stat_fields = (
            pathlib.Path(f"/proc/{process}/stat").read_text().rsplit(")")[1].split()
        )
        pages = int(pathlib.Path(f"/proc/{process}/statm").read_text().split()[1])
        return Sample(
            peer_bytes=traffic["sent_bytes"] + traffic["received_bytes"],
            peer_messages=traffic["sent_messages"] + traffic["received_messages"],
            processor_s=(int(stat_fields[11]) + int(stat_fields[12])) / TICKS_PER_S,
            memory_bytes=pages * PAGE_BYTES,
        )


def _catalogue_text(size: int, revision: int) -> str:
    parts = [
        f"# Revision {revision}.\n[fleet]\nmax_entry_instances = {max(size, 4)}\n",
        "[firm carpatic]\nguaranteed_share_ratio = 0.4\n",
        "[firm kivu]\nguaranteed_share_ratio = 0.4\n",
    ]
    for owner, service in (("carpatic", "positions"), ("kivu", "bookings")):
        parts.append(
            f"[service {service}]\nowner = {owner}\nclass = interactive\n"
            "concurrency_limit = 600\nrate_limit_per_s = 6000\ndeadline_ms = 2000\n"
            "measuring_budget_ratio = 0\n"
        )
    return "\n".join(parts)


def _list_document() -> dict:
    rows = [
        {
            "address": f"{HOST}:{9 + number % 2}",
            "service": service,
            "data_centre": f"{firm}-{number % DATA_CENTRES}",
            "slot_count": 4,
            "incarnation": 1,
            "state": "live",
        }
        for firm, service in (("carpatic", "positions"), ("kivu", "bookings"))
        for number in range(SERVERS_PER_SERVICE)
    ]
    return {"backend_servers": rows, "entry_instances": []}


def measure(size: int, first_port: int, duration_s: float, changes: int) -> str:
    """Measure a fleet of one size and return its row of the table.

    Parameters
    ----------
    size : int
        The number of entry instances.
    first_port : int
        The first of the used ports.
    duration_s : float
        The time between the two samples of the counters, in seconds.
    changes : int
        The number of new catalogues that are published.

    Returns
    -------
    str
        The measured values, for an instance as mean and maximum.
    """
    with contextlib.ExitStack() as stack:
        directory = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        fleet = Fleet(size, first_port, directory)
        stack.callback(fleet.stop)
        fleet.start()
        convergence_s = fleet.wait_until_converged()
        reads_before = fleet.read_counts()
        before = fleet.samples()
        time.sleep(duration_s)
        after = fleet.samples()
        reads_after = fleet.read_counts()
        catalogue_delays_s = [
            delay_s
            for revision in range(2, 2 + changes)
            for delay_s in fleet.catalogue_delays_s(revision)
        ]
    reads_per_s = [
        (late - early) / duration_s
        for early, late in zip(reads_before, reads_after, strict=True)
    ]
    return _row(
        size, duration_s, convergence_s, before, after, reads_per_s, catalogue_delays_s
    )


def _row(
    size: int,
    duration_s: float,
    convergence_s: float,
    before: list[Sample],
    after: list[Sample],
    reads_per_s: list[float],
    catalogue_delays_s: list[float],
) -> str:
    pairs = list(zip(before, after, strict=True))
    rates = [(b.peer_bytes - a.peer_bytes) / duration_s for a, b in pairs]
    messages = [(b.peer_messages - a.peer_messages) / duration_s for a, b in pairs]
    processor_percents = [
        100 * (b.processor_s - a.processor_s) / duration_s for a, b in pairs
    ]
    memory = [b.memory_bytes / 1e6 for b in after]
    return (
        f"{size:5d} {convergence_s:8.1f} {statistics.mean(rates):8.0f} "
        f"{max(rates):7.0f} "
        f"{statistics.mean(messages):6.1f} {statistics.mean(processor_percents):7.2f} "
        f"{max(processor_percents):7.2f} {max(memory):7.1f} "
        f"{reads_per_s[0]:8.2f} {reads_per_s[1]:8.2f} "
        f"{statistics.median(catalogue_delays_s):8.2f} {max(catalogue_delays_s):7.2f}"
    )


def main(
    sizes: tuple = (3, 10, 20),
    first_port: int = 23_000,
    duration_s: float = 10.0,
    changes: int = 2,
) -> None:
    """Measure several sizes one after another and print a table."""
    print(
        " size whole(s) bytes/s  max B/s  msg/s cpu(%)  max(%) mem(MB) "
        "config/s   list/s  cat p50(s) max(s)"
    )
    for size in sizes if isinstance(sizes, tuple | list) else (sizes,):
        print(measure(int(size), first_port, duration_s, changes), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
