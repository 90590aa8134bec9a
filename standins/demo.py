"""The demonstration behind ``make run``: stand-ins, a fleet, callers, a table."""

import contextlib
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import fire
import orjson
import urllib3

HOST = "127.0.0.1"
CONFIGURATION_PORT = 17000
LIST_PORT = 17001
FIRST_BACKEND_PORT = 17100
FIRST_ENTRY_PORT = 17500
ENTRIES_PER_FIRM = 3
TABLE_EVERY_S = 5.0
START_PATIENCE_S = 30.0

# Firm, service, class, servers, slots: the brief's sizes.
SERVICES = (
    ("carpatic", "positions", "interactive", 16, 4),
    ("carpatic", "nominations", "transaction", 8, 4),
    ("carpatic", "metering", "bulk", 6, 4),
    ("kivu", "availability", "interactive", 17, 6),
    ("kivu", "bookings", "transaction", 9, 6),
    ("kivu", "archive", "bulk", 6, 6),
)


def catalogue_text() -> str:
    """Return the catalogue of the demonstration."""
    parts = [f"[fleet]\nmax_entry_instances = {2 * ENTRIES_PER_FIRM}\n"]
    for firm in ("carpatic", "kivu"):
        parts.append(f"[firm {firm}]\nguaranteed_share_ratio = 0.4\n")
    for firm, service, call_class, _, _ in SERVICES:
        parts.append(
            f"[service {service}]\nowner = {firm}\nclass = {call_class}\n"
            "concurrency_limit = 600\nrate_limit_per_s = 6000\ndeadline_ms = 2000\n"
            "idempotent = GET /*\n"
        )
    return "\n".join(parts)


def settings_text(index: int) -> str:
    """Return the settings of one entry instance."""
    firm = "carpatic" if index < ENTRIES_PER_FIRM else "kivu"
    port = FIRST_ENTRY_PORT + 3 * index
    seeds = ", ".join(
        f"{HOST}:{FIRST_ENTRY_PORT + 3 * i + 1}" for i in range(2 * ENTRIES_PER_FIRM)
    )
    return (
        f"[instance]\nhost = {HOST}\ncallers_port = {port}\npeers_port = {port + 1}\n"
        f"operators_port = {port + 2}\ndata_centre = {firm}-{index % 3 + 1}\n"
        f"firm = {firm}\nseed_peers = {seeds}\n"
        f"[platform]\nconfiguration_service = {HOST}:{CONFIGURATION_PORT}\n"
        f"instance_list = {HOST}:{LIST_PORT}\n"
    )


def main(program: str = "dist/berylhaven", duration_s: float = 0.0) -> None:
    """Run the demonstration until Ctrl-C, or for some seconds."""
    with contextlib.ExitStack() as stack:
        directory = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        processes: list[subprocess.Popen] = []
        stack.callback(lambda: [process.wait() for process in processes])
        stack.callback(lambda: [process.terminate() for process in processes])
        _start_standins(directory, processes)
        _start_entries(directory, program, processes)
        _wait_until_ready()
        broken = _call_for(duration_s)
    sys.exit(1 if broken else 0)


def _start_standins(directory: pathlib.Path, processes: list) -> None:
    (directory / "catalogue.ini").write_text(catalogue_text())
    rows = []
    port = FIRST_BACKEND_PORT
    for firm, service, _, count, slot_count in SERVICES:
        for index in range(count):
            processes.append(
                _standin(f"backend_server --port={port} --slot_count={slot_count}")
            )
            rows.append(
                {
                    "address": f"{HOST}:{port}",
                    "service": service,
                    "data_centre": f"{firm}-{index % 3 + 1}",
                    "slot_count": slot_count,
                    "incarnation": 1,
                    "state": "live",
                }
            )
            port += 1
    document = {"backend_servers": rows, "entry_instances": []}
    (directory / "instances.json").write_bytes(orjson.dumps(document))
    processes.append(
        _standin(
            f"configuration_service --port={CONFIGURATION_PORT} "
            f"--catalogue={directory / 'catalogue.ini'}"
        )
    )
    processes.append(
        _standin(
            f"instance_list --port={LIST_PORT} "
            f"--document={directory / 'instances.json'}"
        )
    )


def _standin(words: str) -> subprocess.Popen:
    module, *rest = words.split()
    return subprocess.Popen([sys.executable, "-m", f"standins.{module}", *rest])


def _start_entries(directory: pathlib.Path, program: str, processes: list) -> None:
    for index in range(2 * ENTRIES_PER_FIRM):
        path = directory / f"entry-{index}.ini"
        path.write_text(settings_text(index))
        log = (directory / f"entry-{index}.log").open("wb")
        command = [program, "entry", "run", "--settings", str(path)]
        processes.append(subprocess.Popen(command, stderr=log))


def _wait_until_ready() -> None:
    http = urllib3.PoolManager(retries=False)
    until = time.monotonic() + START_PATIENCE_S
    for index in range(2 * ENTRIES_PER_FIRM):
        port = FIRST_ENTRY_PORT + 3 * index + 2
        while True:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                if http.request("GET", f"http://{HOST}:{port}/v1/health").status == 200:
                    break
            if time.monotonic() > until:
                sys.exit("the entry instances did not become ready")
            time.sleep(0.1)


def _call_for(duration_s: float) -> int:
    http = urllib3.PoolManager(retries=False, maxsize=1)
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    started = time.monotonic()
    calls = broken = 0
    next_table = started + TABLE_EVERY_S
    with contextlib.suppress(KeyboardInterrupt):
        while not duration_s or time.monotonic() - started < duration_s:
            firm, service, *_ = SERVICES[calls % len(SERVICES)]
            index = calls % ENTRIES_PER_FIRM + (
                ENTRIES_PER_FIRM if firm == "kivu" else 0
            )
            port = FIRST_ENTRY_PORT + 3 * index
            url = f"http://{HOST}:{port}/v1/services/{service}/item/{calls}"
            calls += 1
            broken += http.request("GET", url).status != 200
            if time.monotonic() > next_table:
                next_table += TABLE_EVERY_S
                print(f"{calls} calls, {broken} broken", flush=True)
    print(f"{calls} calls, {broken} broken", flush=True)
    return broken


if __name__ == "__main__":
    fire.Fire(main)
