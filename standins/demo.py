"""The demonstration of ``make run``: stand-ins, entry instances, callers, a table."""

import os
import signal
import sys
import threading
import time

import fire
import urllib3

from standins.demo_callers import DemoCallers
from standins.demo_promises import broken_promises, runs_by_call_id
from standins.demo_table import examples, table_text
from standins.fleet import EntryProcess, FleetShape, ProcessFleet, ServiceShape

TABLE_INTERVAL_S = 5.0
CHECK_INTERVAL_S = 0.1
KILL_DELAY_S = 5.0
RESTART_TIME_LIMIT_S = 5.0

# The services of the two firms, with the numbers of backend servers and slots.
SERVICES = (
    ServiceShape("carpatic", "positions", "interactive", 16, 4),
    ServiceShape("carpatic", "nominations", "transaction", 8, 4),
    ServiceShape("carpatic", "metering", "bulk", 6, 4),
    ServiceShape("kivu", "availability", "interactive", 17, 6),
    ServiceShape("kivu", "bookings", "transaction", 9, 6),
    ServiceShape("kivu", "archive", "bulk", 6, 6),
)


class Demo:
    """One run of the demonstration.

    Parameters
    ----------
    fleet : ProcessFleet
        The running fleet.
    duration_s : float
        The time for which calls are sent, in seconds; 0 means until Ctrl-C.
    kill_one : bool
        Whether one entry instance is killed after KILL_DELAY_S.
    """

    def __init__(self, fleet: ProcessFleet, duration_s: float, kill_one: bool) -> None:
        self._fleet = fleet
        self._duration_s = duration_s
        self._kill_time_s = KILL_DELAY_S if kill_one else None
        self._started_s = time.monotonic()
        self._stopping = threading.Event()
        self._callers = DemoCallers(fleet.shape, fleet.entries, self._stopping)
        self._slow_restarts = 0

    def run(self) -> int:
        """Send calls until stopped; return the number of broken promises."""
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, lambda *_: self._stopping.set())
        self._callers.start()
        next_table_s = TABLE_INTERVAL_S
        while not self._stopping.is_set():
            self._stopping.wait(CHECK_INTERVAL_S)
            self._kill_if_due()
            self._restart_exited_entries()
            if self._elapsed_s() > next_table_s:
                next_table_s = self._elapsed_s() + TABLE_INTERVAL_S
                print_flushed(
                    table_text(self._fleet, self._callers.records, self._elapsed_s())
                )
            if self._duration_s and self._elapsed_s() > self._duration_s:
                self._stopping.set()
        self._callers.join()
        return self._evaluate()

    def _elapsed_s(self) -> float:
        return time.monotonic() - self._started_s

    def _kill_if_due(self) -> None:
        if self._kill_time_s is not None and self._elapsed_s() > self._kill_time_s:
            self._kill_time_s = None
            entry = self._fleet.entries[-1]
            print_flushed(
                f"killing the entry instance on port {entry.ports[0]} (SIGKILL)"
            )
            entry.process.kill()
            entry.process.wait()

    def _restart_exited_entries(self) -> None:
        for entry in self._fleet.entries:
            if entry.process.poll() is not None and not self._stopping.is_set():
                self._restart(entry)

    def _restart(self, entry: EntryProcess) -> None:
        started_s = time.monotonic()
        self._fleet.start_entry(entry)
        self._fleet.wait_until_ready(entry)
        service = next(
            s for s in self._fleet.shape.services if s.firm in _settings_text(entry)
        )
        url = entry.url(f"/v1/services/{service.name}/first")
        status = urllib3.request("GET", url, retries=False).status
        taken_s = time.monotonic() - started_s
        print_flushed(
            f"the replacement on port {entry.ports[0]} serves after {taken_s:.1f} s"
        )
        self._slow_restarts += status != 200 or taken_s > RESTART_TIME_LIMIT_S

    def _evaluate(self) -> int:
        records = self._callers.records
        print_flushed(table_text(self._fleet, records, self._elapsed_s()))
        broken = broken_promises(records, runs_by_call_id(self._fleet))
        for name, count in broken.items():
            print_flushed(f"promise {name}: broken {count} times")
        if not any(record.is_answered for record in records):
            print_flushed("no call was answered")
            return 1
        return sum(broken.values()) + self._slow_restarts


def _settings_text(entry: EntryProcess) -> str:
    return entry.settings_path.read_text()


def print_flushed(text: str) -> None:
    """Print text and flush the output."""
    print(text, flush=True)


def main(
    program: str = "dist/berylhaven",
    duration_s: float = 0.0,
    entries_per_firm: int = 3,
    kill_one: bool = False,
) -> None:
    """Run the demonstration until Ctrl-C or for a given time.

    Parameters
    ----------
    program : str
        The path of the program.
    duration_s : float
        The time for which calls are sent, in seconds; 0 means until Ctrl-C.
    entries_per_firm : int
        The number of entry instances of each firm.
    kill_one : bool
        Kill one entry instance after five seconds and restart it.
    """
    shape = FleetShape(
        services=SERVICES,
        entry_count=2 * entries_per_firm,
        program=(os.path.abspath(program),),
    )
    print_flushed(f"starting {2 * entries_per_firm} entry instances of {program} ...")
    try:
        with ProcessFleet(shape) as fleet:
            print_flushed(examples(fleet, program))
            broken_count = Demo(fleet, duration_s, kill_one).run()
    except KeyboardInterrupt:
        sys.exit(0)
    sys.exit(1 if broken_count else 0)


if __name__ == "__main__":
    fire.Fire(main)
