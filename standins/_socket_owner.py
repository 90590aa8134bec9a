"""Finds the process at the other end of a loopback connection."""

import contextlib
import os
from collections.abc import Iterable
from pathlib import Path

CONNECTIONS_PATH = Path("/proc/net/tcp")


def owner_pid(port: int, own_port: int, pids: Iterable[int]) -> int | None:
    """Return which of some processes has a connection.

    Parameters
    ----------
    port : int
        The port of the connection at the process.
    own_port : int
        Its port at this end.
    pids : iterable of int
        The ids of the processes.

    Returns
    -------
    int or None
        None if none of them has it.
    """
    link = f"socket:[{_inode(port, own_port)}]"
    for pid in pids:
        with contextlib.suppress(OSError):
            # Descriptors may be closed while they are listed.
            for descriptor in os.scandir(f"/proc/{pid}/fd"):
                with contextlib.suppress(OSError):
                    if os.readlink(descriptor.path) == link:
                        return pid
    return None


def _inode(port: int, own_port: int) -> str | None:
    for line in CONNECTIONS_PATH.read_text().splitlines()[1:]:
        fields = line.split()
        ports = (fields[1].rpartition(":")[2], fields[2].rpartition(":")[2])
        if ports == (f"{port:04X}", f"{own_port:04X}"):
            return fields[9]
    return None
