"""Run the binary alone in an empty directory: checks, an instance, a call."""

import contextlib
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time

import orjson
import urllib3

from standins.fleet import FleetShape, ProcessFleet, ServiceShape

SERVICE = ServiceShape("carpatic", "positions", "interactive", 2, 4)
STOP_PATIENCE_S = 60.0


def main(binary: str) -> int:
    """Copy the binary to an empty directory and use it there."""
    with tempfile.TemporaryDirectory() as directory:
        program = pathlib.Path(directory) / "berylhaven"
        shutil.copy2(binary, program)
        # The stand-ins need the source tree; the program must do without it.
        with contextlib.chdir(directory):
            os.environ["SHIV_ROOT"] = f"{directory}/unpacked"
            say(run(program, "version"))
            shape = FleetShape(services=(SERVICE,), entry_count=1)
            check_documents(program, shape)
        shape.program = (str(program),)
        with ProcessFleet(shape) as fleet:
            check_instance(program, fleet)
    say("smoke test passed")
    return 0


def check_documents(program: pathlib.Path, shape: FleetShape) -> None:
    """Check a good catalogue and a bad one."""
    pathlib.Path("catalogue.ini").write_text(shape.catalogue_text())
    say(run(program, "catalogue", "check", "catalogue.ini"))
    pathlib.Path("bad.ini").write_text("[fleet]\n")
    refused = run(program, "catalogue", "check", "bad.ini", expected_status=1)
    expect("105 missing-key" in refused, "the bad catalogue's fault is named")


def check_instance(program: pathlib.Path, fleet: ProcessFleet) -> None:
    """Call through an entry instance, look at it, and stop it."""
    (entry,) = fleet.entries
    settings = str(entry.settings_path)
    say(run(program, "settings", "check", settings))
    path = "/v1/services/positions/item/1"
    answer = urllib3.request("GET", entry.url(path), retries=False)
    expect(answer.status == 200, f"a call is answered, status {answer.status}")
    expect(orjson.loads(answer.data)["path"] == "/item/1", "by a backend server")
    operators = f"127.0.0.1:{entry.ports[2]}"
    shown = run(program, "status", "--entry", operators)
    expect("positions" in shown, "the status shows the service")
    run(program, "catalogue", "status", "--entry", operators)
    expect(not children(entry.process.pid), "the instance has no child process")
    log = entry.log_path.read_text()
    expect("not greened" not in log, "no complaint of locks in the log")
    expect("Traceback" not in log, "no traceback in the log")
    started_s = time.monotonic()
    entry.process.send_signal(signal.SIGTERM)
    entry.process.wait(STOP_PATIENCE_S)
    say(f"SIGTERM ended the instance in {time.monotonic() - started_s:.1f} s")


def run(program: pathlib.Path, *words: str, expected_status: int = 0) -> str:
    """Run a command and return what it printed."""
    done = subprocess.run([program, *words], capture_output=True, text=True)
    output = (done.stdout + done.stderr).strip()
    is_expected = done.returncode == expected_status
    expect(is_expected, f"{words}: status {done.returncode}: {output}")
    return output


def children(pid: int) -> list[str]:
    """Return the ids of a process's children."""
    threads = pathlib.Path(f"/proc/{pid}/task").iterdir()
    return " ".join((thread / "children").read_text() for thread in threads).split()


def expect(is_true: bool, what: str) -> None:
    """End the smoke test with a failure unless something is so."""
    if not is_true:
        sys.exit(f"smoke test failed: {what}")


def say(text: str) -> None:
    """Print a line at once."""
    print(text, flush=True)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
