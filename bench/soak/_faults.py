"""The faults of a soak, injected and removed by a seeded schedule."""

import collections
import contextlib
import random
import signal
import threading
from collections.abc import Iterator

import orjson
import urllib3

from standins.fleet import EntryProcess, ProcessFleet

# Faults of a backend server by name, with the switches that inject each.
SERVER_FAULTS = {
    "leaving": {"is_leaving": True},
    "shed": {"sheds": True},
    "short queue": {"queue_limit": 1},
    "cold start": {"cold_calls": 40},
    "straggling": {"straggle_ratio": 40.0},
    "fail fast": {"fails_fast": True},
    "lying about load": {"reported_running": 0},
    "never answering": {"never_answers": True},
    "cut answers": {"cuts_answer": True},
    "late answers": {"late_s": 0.3},
    "surplus bytes": {"surplus_bytes": 40},
    "silent connections": {"silence_count": 1},
}
# Violations of guarantees by a backend server, which a soak must detect.
VIOLATIONS = {
    "double-run": {"runs_twice": True},
    "wrong-id": {"echoes_foreign_id": True},
    "run-after-shed": {"sheds": True, "runs_what_it_sheds": True},
}
ENTRY_FAULTS = ("entry stopped", "entry killed", "entry shut down")
ENTRY_FAULT_RATIO = 0.2
PAUSE_LIMIT_S = 0.5
FAULT_DURATION_LIMIT_S = 1.0
ENTRY_STOP_LIMIT_S = 1.5
SHUTDOWN_TIMEOUT_S = 15.0


class FaultSchedule:
    """A thread that injects one fault after the other.

    Parameters
    ----------
    fleet : ProcessFleet
        The fleet whose processes receive the faults.
    seed : int
        The seed of the choice and times of the faults.
    """

    def __init__(self, fleet: ProcessFleet, seed: int) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._inject_faults)
        self._silence_count = 0
        self._kinds = list(SERVER_FAULTS)
        # How often each fault was injected.
        self.counts: collections.Counter[str] = collections.Counter()

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Inject no further faults and wait until the current one has ended."""
        self._stopping.set()
        self._thread.join()

    def _inject_faults(self) -> None:
        while not self._stopping.wait(self._random.uniform(0, PAUSE_LIMIT_S)):
            if self._random.random() < ENTRY_FAULT_RATIO:
                self._inject_entry_fault()
            else:
                self._inject_server_fault()

    def _inject_server_fault(self) -> None:
        address = self._random.choice(server_addresses(self._fleet))
        # Each kind is injected once before any is repeated.
        if not self._kinds:
            self._kinds = list(SERVER_FAULTS)
        kind = self._kinds.pop(self._random.randrange(len(self._kinds)))
        changes = dict(SERVER_FAULTS[kind])
        self.counts[kind] += 1
        if kind == "silent connections":
            self._silence_count += 1
            set_faults(self._fleet, address, {"silence_count": self._silence_count})
            return
        with self._injected(address, changes):
            self._stopping.wait(self._random.uniform(0.1, FAULT_DURATION_LIMIT_S))

    @contextlib.contextmanager
    def _injected(self, address: str, changes: dict) -> Iterator[None]:
        before = set_faults(self._fleet, address, {})
        set_faults(self._fleet, address, changes)
        try:
            yield
        finally:
            set_faults(self._fleet, address, {key: before[key] for key in changes})

    def _inject_entry_fault(self) -> None:
        entry = self._random.choice(self._fleet.entries)
        kind = self._random.choice(ENTRY_FAULTS)
        self.counts[kind] += 1
        if kind == "entry stopped":
            entry.process.send_signal(signal.SIGSTOP)
            self._stopping.wait(self._random.uniform(0.2, ENTRY_STOP_LIMIT_S))
            entry.process.send_signal(signal.SIGCONT)
            return
        if kind == "entry killed":
            entry.process.kill()
            entry.process.wait()
        else:
            self._shut_down(entry)
        self._fleet.start_entry(entry)
        self._fleet.wait_until_ready(entry)

    def _shut_down(self, entry: EntryProcess) -> None:
        entry.process.terminate()
        entry.process.wait(SHUTDOWN_TIMEOUT_S)


def server_addresses(fleet: ProcessFleet) -> list[str]:
    """Return the addresses of the backend servers of a fleet."""
    return [row["address"] for row in fleet.document["backend_servers"]]


def set_faults(fleet: ProcessFleet, address: str, changes: dict) -> dict:
    """Set fault switches of a backend server and return the values of all."""
    method = "POST" if changes else "GET"
    answer = fleet.http.request(
        method,
        f"http://{address}/faults",
        body=orjson.dumps(changes) if changes else None,
        retries=urllib3.Retry(3, allowed_methods=None),
    )
    return orjson.loads(answer.data)


def count_runs(fleet: ProcessFleet) -> collections.Counter[str]:
    """Return how often each call id was run by all backend servers together."""
    runs: collections.Counter[str] = collections.Counter()
    for address in server_addresses(fleet):
        answer = fleet.http.request("GET", f"http://{address}/runs", retries=3)
        runs.update(orjson.loads(answer.data))
    return runs
