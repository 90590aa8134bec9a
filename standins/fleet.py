"""Starts a fleet of processes on loopback: stand-ins and entry instances.

It serves demonstrations and measurements; berylhaven itself starts no processes.
"""

import contextlib
import fcntl
import os
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO

import orjson
import urllib3

HOST = "127.0.0.1"
FIRST_PORT = 26_000
LAST_PORT = 32_000
# Ports per block: enough for the largest fleet of one process. Each process reserves
# one block, so the number of blocks limits the processes that run fleets at once.
BLOCK_PORTS = 600
START_TIMEOUT_S = 60.0
HTTP_STATUS_OK = 200
STOP_TIMEOUT_S = 10.0
POLL_S = 0.1
# Processes get a group of their own, so that Ctrl-C reaches only the starting process,
# which then stops the fleet in order.
NEW_PROCESS_GROUP = 0
DATA_CENTRES_PER_FIRM = 3
# The open lock file of the block of ports reserved by this process, by its first port.
_reserved_port_blocks: dict[int, IO[str]] = {}


@dataclass(slots=True, frozen=True)
class ServiceShape:
    """The size and class of one service of a fleet."""

    # The firm that owns it.
    firm: str
    # Its name in the catalogue.
    name: str
    # Its class in the catalogue.
    call_class: str
    # The number of its backend servers.
    server_count: int
    # The number of calls that each backend server runs at once.
    slot_count: int


@dataclass(slots=True)
class FleetShape:
    """The services, entry instances and settings of a fleet."""

    # The services, with their backend servers.
    services: tuple[ServiceShape, ...]
    # The number of entry instances, assigned to the firms in rotation.
    entry_count: int
    # The command line of the program, before ``entry run``.
    program: tuple[str, ...] = (sys.executable, "-m", "berylhaven")
    # The time a backend server takes for one call, in seconds.
    service_time_s: float = 0.002
    # Further lines of each [service] section of the catalogue.
    service_lines: str = "idempotent = GET /*\n"
    # Further sections of each entry instance's settings.
    settings_lines: str = ""
    # Bytes of comments appended to enlarge the catalogue.
    catalogue_padding_bytes: int = 0
    # max_entry_instances of the catalogue; 0 means entry_count.
    max_entry_instances: int = 0

    @property
    def firms(self) -> list[str]:
        """The firms, in the order of their first service."""
        return list(dict.fromkeys(service.firm for service in self.services))

    def catalogue_text(self, number: int = 1) -> str:
        """Return the catalogue; a different number gives a different digest."""
        largest = self.max_entry_instances or self.entry_count
        parts = [f"# Version {number} of the fleet's catalogue.\n"]
        parts.append(f"[fleet]\nmax_entry_instances = {largest}\n")
        share = 0.8 / len(self.firms)
        for firm in self.firms:
            parts.append(f"[firm {firm}]\nguaranteed_share_ratio = {share}\n")
        for service in self.services:
            parts.append(
                f"[service {service.name}]\nowner = {service.firm}\n"
                f"class = {service.call_class}\nconcurrency_limit = 4000\n"
                "rate_limit_per_s = 50000\ndeadline_ms = 2000\n" + self.service_lines
            )
        padding_line = "# " + "x" * 77 + "\n"
        line_count = self.catalogue_padding_bytes // len(padding_line)
        return "\n".join(parts) + padding_line * line_count


@dataclass(slots=True)
class EntryProcess:
    """One entry instance as a process."""

    # Its ports for callers, peers and operators.
    ports: tuple[int, int, int]
    # The path of its settings.
    settings_path: Path
    # The path of its log.
    log_path: Path
    # The running process; None before the first start.
    process: subprocess.Popen | None = None

    def url(self, path: str, port_index: int = 0) -> str:
        """Return a URL at one of its three ports."""
        return f"http://{HOST}:{self.ports[port_index]}{path}"


@dataclass(slots=True)
class ProcessFleet:
    """Processes of a fleet, stopped when the ``with`` block ends."""

    # The configuration of the fleet.
    shape: FleetShape
    # The entry instances.
    entries: list[EntryProcess] = field(default_factory=list)
    # The document of the instance list.
    document: dict = field(default_factory=dict)
    # The port of the configuration service.
    configuration_port: int = 0
    # The port of the instance list.
    list_port: int = 0
    # The HTTP client for the ports of operators and stand-ins.
    http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(num_pools=128, retries=False)
    )
    _directory: Path | None = None
    _standins: list[subprocess.Popen] = field(default_factory=list)

    def __enter__(self) -> "ProcessFleet":
        """Start the stand-ins and the entry instances, and wait until all are ready."""
        self._directory = Path(tempfile.mkdtemp(prefix="berylhaven-fleet-"))
        try:
            server_count = sum(s.server_count for s in self.shape.services)
            entry_port_count = 3 * self.shape.entry_count
            # All ports are chosen in one call, so that none is chosen twice.
            ports = free_ports(2 + server_count + entry_port_count)
            self.configuration_port, self.list_port = ports.pop(), ports.pop()
            self._start_standins(ports[entry_port_count:])
            self._prepare_entries(ports[:entry_port_count])
            for entry in self.entries:
                self.start_entry(entry)
            for entry in self.entries:
                self.wait_until_ready(entry)
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exception: object) -> None:
        """Stop all processes."""
        self.stop()

    def start_entry(self, entry: EntryProcess) -> None:
        """Start an entry instance's process."""
        command = [*self.shape.program, "entry", "run"]
        command += ["--settings", str(entry.settings_path)]
        with entry.log_path.open("ab") as log:
            entry.process = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                process_group=NEW_PROCESS_GROUP,
            )

    def wait_until_ready(self, entry: EntryProcess) -> float:
        """Wait until an entry instance is ready; return the time taken in seconds."""
        started_s = time.monotonic()
        while time.monotonic() - started_s < START_TIMEOUT_S:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                answer = self.http.request("GET", entry.url("/v1/health", 2))
                if answer.status == 200:
                    return time.monotonic() - started_s
            time.sleep(POLL_S)
        raise TimeoutError(
            f"entry instance not ready within {START_TIMEOUT_S} s: "
            f"{entry.log_path.read_text()[-2000:]}"
        )

    def status(self, entry: EntryProcess) -> dict:
        """Fetch an entry instance's status document."""
        answer = self.http.request("GET", entry.url("/v1/status", 2), timeout=10.0)
        document = orjson.loads(answer.data)
        if answer.status != HTTP_STATUS_OK or "process" not in document:
            raise RuntimeError(
                f"unexpected status answer: {answer.status} {answer.data[:300]!r}"
            )
        return document

    def publish_catalogue(self, text: str) -> int:
        """Store a catalogue at the configuration service and return its version."""
        url = f"http://{HOST}:{self.configuration_port}"
        url += "/v1/values/berylhaven%2Fcatalogue"
        answer = self.http.request("PUT", url, body=text.encode())
        return orjson.loads(answer.data)["version"]

    def publish_instances(self) -> None:
        """Store the document at the instance list."""
        url = f"http://{HOST}:{self.list_port}/v1/instances"
        self.http.request("PUT", url, body=orjson.dumps(self.document))

    def stop(self) -> None:
        """Stop all processes and remove their files."""
        processes = [e.process for e in self.entries if e.process is not None]
        processes += self._standins
        for process in processes:
            process.terminate()
        deadline_s = time.monotonic() + STOP_TIMEOUT_S
        for process in processes:
            try:
                process.wait(max(0.1, deadline_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        if self._directory is not None:
            shutil.rmtree(self._directory, ignore_errors=True)

    def _start_standins(self, ports: list[int]) -> None:
        self.document = {
            "backend_servers": _server_rows(self.shape, ports),
            "entry_instances": [],
        }
        document_path = self._directory / "instances.json"
        document_path.write_bytes(orjson.dumps(self.document))
        catalogue_path = self._directory / "catalogue.ini"
        catalogue_path.write_text(self.shape.catalogue_text())
        self._start_standin(
            "configuration_service",
            f"--port={self.configuration_port}",
            f"--catalogue={catalogue_path}",
        )
        self._start_standin(
            "instance_list", f"--port={self.list_port}", f"--document={document_path}"
        )
        for service in self.shape.services:
            self._start_standin(
                "backend_group",
                f"--document={document_path}",
                f"--service={service.name}",
                f"--service_time_s={self.shape.service_time_s}",
            )

    def _start_standin(self, module: str, *arguments: str) -> None:
        command = [sys.executable, "-m", f"standins.{module}", *arguments]
        environment = {**os.environ, "PYTHONPATH": os.getcwd()}
        standin = subprocess.Popen(
            command, env=environment, process_group=NEW_PROCESS_GROUP
        )
        self._standins.append(standin)

    def _prepare_entries(self, ports: list[int]) -> None:
        triples = list(zip(ports[::3], ports[1::3], ports[2::3], strict=True))
        seeds = ", ".join(f"{HOST}:{triple[1]}" for triple in triples[:3])
        for index, triple in enumerate(triples):
            firm = self.shape.firms[index % len(self.shape.firms)]
            data_centre_number = (
                index // len(self.shape.firms) % DATA_CENTRES_PER_FIRM + 1
            )
            path = self._directory / f"entry-{index}.ini"
            path.write_text(
                f"[instance]\nhost = {HOST}\ncallers_port = {triple[0]}\n"
                f"peers_port = {triple[1]}\noperators_port = {triple[2]}\n"
                f"data_centre = {firm}-{data_centre_number}\nfirm = {firm}\n"
                f"seed_peers = {seeds}\n"
                f"[platform]\nconfiguration_service = {HOST}:{self.configuration_port}"
                f"\ninstance_list = {HOST}:{self.list_port}\n"
                + self.shape.settings_lines
            )
            log_path = self._directory / f"entry-{index}.log"
            self.entries.append(EntryProcess(triple, path, log_path))


def _reserve_port_block() -> int:
    """Return the first port of this process's block; reserve one at the first call."""
    if _reserved_port_blocks:
        return next(iter(_reserved_port_blocks))
    for first in range(FIRST_PORT, LAST_PORT - BLOCK_PORTS + 2, BLOCK_PORTS):
        path = Path(tempfile.gettempdir()) / f"berylhaven-ports-{first}.lock"
        file = path.open("a")
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            file.close()
            continue
        # The kernel releases the lock when the process ends.
        _reserved_port_blocks[first] = file
        return first
    raise RuntimeError(f"all port blocks from {FIRST_PORT} to {LAST_PORT} are in use")


def free_ports(count: int) -> list[int]:
    """Return ports that were free when they were checked.

    They lie below the kernel's ephemeral range, so that no outgoing connection takes
    one before it is used, and in a block that this process has reserved, so that no
    other fleet does.

    Parameters
    ----------
    count : int
        The number of ports.

    Returns
    -------
    list of int
        Ports on the loopback address.
    """
    first = _reserve_port_block()
    candidates = list(range(first, first + BLOCK_PORTS))
    random.shuffle(candidates)
    ports = []
    for port in candidates:
        with contextlib.suppress(OSError), socket.socket() as listener:
            listener.bind((HOST, port))
            ports.append(port)
        if len(ports) == count:
            break
    return ports


def _server_rows(shape: FleetShape, ports: list[int]) -> list[dict]:
    rows = []
    remaining_ports = iter(ports)
    for service in shape.services:
        for index in range(service.server_count):
            data_centre_number = index % DATA_CENTRES_PER_FIRM + 1
            rows.append(
                {
                    "address": f"{HOST}:{next(remaining_ports)}",
                    "service": service.name,
                    "data_centre": f"{service.firm}-{data_centre_number}",
                    "slot_count": service.slot_count,
                    "incarnation": 1,
                    "state": "live",
                }
            )
    return rows
