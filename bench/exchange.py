"""Measure what control costs one entry instance, with real processes on loopback.

Prints, for each size of the fleet: bytes and messages between peers, processor time,
memory, reads of the platform's services, and how long a new catalogue takes to be in
force everywhere. No calls are made, so that all of it is control.
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
START_PATIENCE_S = 60.0
CATALOGUE_PATIENCE_S = 8.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
CATALOGUE_PATH = "/v1/values/berylhaven%2Fcatalogue"


@dataclass(slots=True)
class Sample:
    """Counters of one entry instance at one moment."""

    # Bytes to and from peers, HTTP heads included.
    peer_bytes: int
    # Requests and answers to and from peers.
    peer_messages: int
    # Processor time since the start.
    processor_s: float
    # Resident memory.
    memory_bytes: int


class Fleet:
    """Stand-ins and entry instances as processes.

    Parameters
    ----------
    size : int
        How many entry instances.
    first_port : int
        The first of the ports used.
    directory : pathlib.Path
        Where settings and logs are written.
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
        self._python(
            "standins.configuration_service",
            f"--port={self._first_port}",
            f"--catalogue={self._directory / 'catalogue.ini'}",
        )
        self._python(
            "standins.instance_list",
            f"--port={self._first_port + 1}",
            f"--document={self._directory / 'list.json'}",
        )
        for index in range(self.size):
            path = self._directory / f"entry-{index}.ini"
            path.write_text(self._settings_text(index))
            self._python("berylhaven", "entry", "run", "--settings", str(path))

    def stop(self) -> None:
        """End the processes that were started."""
        for process in self._processes:
            process.kill()
        for process in self._processes:
            process.wait()

    def wait_until_whole(self) -> float:
        """Return after how many seconds each instance saw all others live."""
        started_s = time.monotonic()
        for index in range(self.size):
            while not self._is_whole(index):
                if time.monotonic() - started_s > START_PATIENCE_S:
                    sys.exit("the fleet did not become whole")
                time.sleep(0.1)
        return time.monotonic() - started_s

    def samples(self) -> list[Sample]:
        """Return the counters of all instances."""
        return [self._sample(index) for index in range(self.size)]

    def catalogue_spread_s(self, revision: int) -> list[float]:
        """Return how long after its PUT a catalogue was in force, by instance."""
        body = _catalogue_text(self.size, revision).encode()
        put_at_s = time.monotonic()
        self.http.request(
            "PUT", f"http://{HOST}:{self._first_port}{CATALOGUE_PATH}", body=body
        )
        time.sleep(CATALOGUE_PATIENCE_S)
        spread = []
        for index in range(self.size):
            in_force = self._status(index)["catalogue"]
            asked_at_s = time.monotonic()
            if in_force["revision"] < revision:
                spread.append(float("inf"))
                continue
            spread.append(asked_at_s - in_force["in_force_for_s"] - put_at_s)
        return spread

    def reads(self) -> tuple[int, int]:
        """Return the reads of the configuration service and of the list."""
        counts = []
        for port in (self._first_port, self._first_port + 1):
            answer = self.http.request("GET", f"http://{HOST}:{port}/counters")
            counts.append(orjson.loads(answer.data)["reads"])
        return counts[0], counts[1]

    def _python(self, module: str, *words: str) -> None:
        log = (self._directory / f"{len(self._processes)}.log").open("wb")
        command = [sys.executable, "-m", module, *words]
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

    def _is_whole(self, index: int) -> bool:
        try:
            status = self._status(index)
        except urllib3.exceptions.HTTPError:
            return False
        live = [peer for peer in status["peers"] if peer["state"] == "live"]
        return len(live) == self.size - 1 and status["catalogue"] is not None

    def _sample(self, index: int) -> Sample:
        traffic = self._status(index)["peer_traffic"]
        # The two stand-ins come first.
        process = self._processes[index + 2].pid
        words = pathlib.Path(f"/proc/{process}/stat").read_text().rsplit(")")[1].split()
        pages = int(pathlib.Path(f"/proc/{process}/statm").read_text().split()[1])
        return Sample(
            peer_bytes=traffic["sent_bytes"] + traffic["received_bytes"],
            peer_messages=traffic["sent_messages"] + traffic["received_messages"],
            processor_s=(int(words[11]) + int(words[12])) / TICKS_PER_S,
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
    """Return the row of one size.

    Parameters
    ----------
    size : int
        How many entry instances.
    first_port : int
        The first of the ports used.
    duration_s : float
        How long the counters run.
    changes : int
        How many new catalogues are published.

    Returns
    -------
    str
        The figures, for a node the mean and the largest.
    """
    with contextlib.ExitStack() as stack:
        directory = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        fleet = Fleet(size, first_port, directory)
        stack.callback(fleet.stop)
        fleet.start()
        whole_s = fleet.wait_until_whole()
        reads_before = fleet.reads()
        before = fleet.samples()
        time.sleep(duration_s)
        after = fleet.samples()
        reads_after = fleet.reads()
        spread = [
            delay_s
            for revision in range(2, 2 + changes)
            for delay_s in fleet.catalogue_spread_s(revision)
        ]
    reads_per_s = [
        (late - early) / duration_s
        for early, late in zip(reads_before, reads_after, strict=True)
    ]
    return _row(size, duration_s, whole_s, before, after, reads_per_s, spread)


def _row(
    size: int,
    duration_s: float,
    whole_s: float,
    before: list[Sample],
    after: list[Sample],
    reads_per_s: list[float],
    spread: list[float],
) -> str:
    pairs = list(zip(before, after, strict=True))
    rates = [(b.peer_bytes - a.peer_bytes) / duration_s for a, b in pairs]
    messages = [(b.peer_messages - a.peer_messages) / duration_s for a, b in pairs]
    busy = [100 * (b.processor_s - a.processor_s) / duration_s for a, b in pairs]
    memory = [b.memory_bytes / 1e6 for b in after]
    return (
        f"{size:5d} {whole_s:8.1f} {statistics.mean(rates):8.0f} {max(rates):7.0f} "
        f"{statistics.mean(messages):6.1f} {statistics.mean(busy):7.2f} "
        f"{max(busy):7.2f} {max(memory):7.1f} "
        f"{reads_per_s[0]:8.2f} {reads_per_s[1]:8.2f} "
        f"{statistics.median(spread):8.2f} {max(spread):7.2f}"
    )


def main(
    sizes: tuple = (3, 10, 20),
    first_port: int = 23_000,
    duration_s: float = 10.0,
    changes: int = 2,
) -> None:
    """Measure some sizes one after another and print a table."""
    print(
        " size whole(s) bytes/s  max B/s  msg/s cpu(%)  max(%) mem(MB) "
        "config/s   list/s  cat p50(s) max(s)"
    )
    for size in sizes if isinstance(sizes, tuple | list) else (sizes,):
        print(measure(int(size), first_port, duration_s, changes), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
