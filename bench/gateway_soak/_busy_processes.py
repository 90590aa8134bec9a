"""Processes that compete with a fleet for the processors of the machine."""

import contextlib
import subprocess
import sys
from collections.abc import Iterator

BUSY_LIMIT = 64
BUSY_PROGRAM = "while True: pass"
END_TIMEOUT_S = 10.0


@contextlib.contextmanager
def busy_processes(count: int) -> Iterator[None]:
    """Run processes that compute without a pause while the ``with`` block runs.

    Parameters
    ----------
    count : int
        Their number, up to `BUSY_LIMIT`.
    """
    if not 0 <= count <= BUSY_LIMIT:
        raise ValueError(f"{count} busy processes; 0 to {BUSY_LIMIT} are allowed")
    command = [sys.executable, "-c", BUSY_PROGRAM]
    processes = []
    try:
        for _ in range(count):
            processes.append(subprocess.Popen(command, process_group=0))
        yield
    finally:
        for process in processes:
            process.kill()
        for process in processes:
            process.wait(END_TIMEOUT_S)
