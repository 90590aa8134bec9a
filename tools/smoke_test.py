"""Test the binary in an empty directory: document checks, an instance and a call."""

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
STOP_TIMEOUT_S = 60.0


def main(binary: str) -> int:
    """Copy the binary to an empty directory and test it there."""
    with tempfile.TemporaryDirectory() as directory:
        program = pathlib.Path(directory) / "berylhaven"
        shutil.copy2(binary, program)
        # The stand-ins need the source tree; the binary must run without it.
        with contextlib.chdir(directory):
            os.environ["SHIV_ROOT"] = f"{directory}/unpacked"
            print_line(run(program, "version"))
            shape = FleetShape(services=(SERVICE,), entry_count=1)
            check_documents(program, shape)
        shape.program = (str(program),)
        with ProcessFleet(shape) as fleet:
            check_instance(program, fleet)
    print_line("smoke test passed")
    return 0


def check_documents(program: pathlib.Path, shape: FleetShape) -> None:
    """Check a valid and an invalid catalogue with the binary."""
    pathlib.Path("catalogue.ini").write_text(shape.catalogue_text())
    print_line(run(program, "catalogue", "check", "catalogue.ini"))
    pathlib.Path("bad.ini").write_text("[fleet]\n")
    output = run(program, "catalogue", "check", "bad.ini", expected_status=1)
    check(
        "105 missing-key" in output,
        "the problem of the invalid catalogue is not printed",
    )


def check_instance(program: pathlib.Path, fleet: ProcessFleet) -> None:
    """Send a call through an entry instance, check its status and log, and stop it."""
    (entry,) = fleet.entries
    settings = str(entry.settings_path)
    print_line(run(program, "settings", "check", settings))
    path = "/v1/services/positions/item/1"
    answer = urllib3.request("GET", entry.url(path), retries=False)
    check(answer.status == 200, f"a call was answered with status {answer.status}")
    check(
        orjson.loads(answer.data)["path"] == "/item/1",
        "the call was not answered by a backend server",
    )
    operators = f"127.0.0.1:{entry.ports[2]}"
    status_output = run(program, "status", "--entry", operators)
    check("positions" in status_output, "the status does not show the service")
    run(program, "catalogue", "status", "--entry", operators)
    check(not child_pids(entry.process.pid), "the instance has child processes")
    log = entry.log_path.read_text()
    check(
        "not greened" not in log,
        "eventlet warns of locks that are not green in the log",
    )
    check("Traceback" not in log, "there is a traceback in the log")
    started_s = time.monotonic()
    entry.process.send_signal(signal.SIGTERM)
    entry.process.wait(STOP_TIMEOUT_S)
    print_line(
        f"the instance exited after SIGTERM in {time.monotonic() - started_s:.1f} s"
    )


def run(program: pathlib.Path, *words: str, expected_status: int = 0) -> str:
    """Run a command, check its exit status and return its output."""
    done = subprocess.run([program, *words], capture_output=True, text=True)
    output = (done.stdout + done.stderr).strip()
    is_expected = done.returncode == expected_status
    check(is_expected, f"{words}: unexpected exit status {done.returncode}: {output}")
    return output


def child_pids(pid: int) -> list[str]:
    """Return the process ids of the children of a process."""
    threads = pathlib.Path(f"/proc/{pid}/task").iterdir()
    return " ".join((thread / "children").read_text() for thread in threads).split()


def check(is_ok: bool, failure: str) -> None:
    """Exit with a failure message unless the check is passed."""
    if not is_ok:
        sys.exit(f"smoke test failed: {failure}")


def print_line(text: str) -> None:
    """Print a line without buffering."""
    print(text, flush=True)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
