"""Memory of an entry instance while large bodies pass through it.

Prints the growth of the resident memory of one entry instance during an upload with
a length, an upload in chunks, a download, and a download by a caller that reads
slowly, and fails if a body is not whole or a growth is over its bound.
"""

import contextlib
import pathlib
import socket
import sys
import time
from collections.abc import Iterator

import fire

from bench.latency import Bench

FIRST_PORT = 24_600
BODY_BYTES = 200_000_000
SLOW_BODY_BYTES = 40_000_000
SLOW_PAUSE_S = 0.005
GROWTH_LIMIT_BYTES = 16_000_000
PIECE = b"x" * 65_536
SAMPLE_EVERY_BYTES = 1_000_000
SERVICE_PATH = "/v1/services/positions"
TIMEOUT_S = 60.0
ENTRY_WARM_UP = 5


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return 1024 * int(line.split()[1])
    raise SystemExit(f"process {pid} is gone")


class Caller:
    """One caller with a plain socket, and the memory that it sees grow.

    Parameters
    ----------
    address : str
        HOST:PORT of the entry instance.
    pid : int
        The entry instance's process.
    """

    def __init__(self, address: str, pid: int) -> None:
        host, _, port = address.rpartition(":")
        self._sock = socket.create_connection((host, int(port)), timeout=TIMEOUT_S)
        self._reader = self._sock.makefile("rb")
        self._pid = pid
        self.largest_bytes = resident_bytes(pid)

    def _sample(self) -> None:
        self.largest_bytes = max(self.largest_bytes, resident_bytes(self._pid))

    def _head(self, *lines: str) -> None:
        self._sock.sendall("\r\n".join([*lines, "Host: h", "", ""]).encode())

    def _answer_length(self) -> int:
        status = self._reader.readline()
        if b" 200 " not in status:
            rest = self._reader.read1(300)
            raise SystemExit(f"unexpected answer {status!r} {rest!r}")
        length = 0
        while (line := self._reader.readline()) != b"\r\n":
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        return length

    def upload(self, length: int, is_chunked: bool) -> int:
        """Send a body; return how many bytes the backend server counted."""
        framing = "Transfer-Encoding: chunked"
        if not is_chunked:
            framing = f"Content-Length: {length}"
        self._head(f"POST {SERVICE_PATH}/take HTTP/1.1", framing)
        for piece in self._sampled(length):
            if is_chunked:
                piece = b"%x\r\n%b\r\n" % (len(piece), piece)
            self._sock.sendall(piece)
        if is_chunked:
            self._sock.sendall(b"0\r\n\r\n")
        return int(self._reader.read(self._answer_length()))

    def _sampled(self, length: int) -> Iterator[bytes]:
        sent = 0
        while sent < length:
            piece = PIECE[: length - sent]
            sent += len(piece)
            yield piece
            if sent % SAMPLE_EVERY_BYTES < len(piece):
                self._sample()

    def download(self, length: int, pause_s: float) -> int:
        """Read a body, pausing after each piece; return how many bytes came."""
        self._head(f"GET {SERVICE_PATH}/send/{length} HTTP/1.1")
        left = self._answer_length()
        came = 0
        while left > 0 and (piece := self._reader.read1(min(left, len(PIECE)))):
            came += len(piece)
            left -= len(piece)
            if came % SAMPLE_EVERY_BYTES < len(piece):
                self._sample()
                time.sleep(pause_s)
        return came


def main(body_bytes: int = BODY_BYTES, first_port: int = FIRST_PORT) -> None:
    """Run the bench; exit with 1 if a bound is broken."""
    runs = (
        ("upload, length", body_bytes, lambda c, n: c.upload(n, False)),
        ("upload, chunks", body_bytes, lambda c, n: c.upload(n, True)),
        ("download", body_bytes, lambda c, n: c.download(n, 0.0)),
        ("slow download", SLOW_BODY_BYTES, lambda c, n: c.download(n, SLOW_PAUSE_S)),
    )
    is_broken = False
    with contextlib.ExitStack() as stack:
        bench = Bench(stack, first_port, "bench.streaming_server")
        bench.wait_until_ready()
        pid = bench.entry_process.pid
        for _ in range(ENTRY_WARM_UP):
            Caller(bench.entry, pid).upload(1_000_000, is_chunked=False)
        for name, length, run in runs:
            caller = Caller(bench.entry, pid)
            before_bytes = caller.largest_bytes
            began_s = time.monotonic()
            count = run(caller, length)
            rate = count / (time.monotonic() - began_s) / 1e6
            growth_bytes = caller.largest_bytes - before_bytes
            is_broken |= count != length or growth_bytes > GROWTH_LIMIT_BYTES
            print(
                f"{name:16}{count / 1e6:>7.0f} of {length / 1e6:.0f} MB, "
                f"{rate:.0f} MB/s, resident growth {growth_bytes / 1e6:.2f} MB",
                flush=True,
            )
    sys.exit(1 if is_broken else 0)


if __name__ == "__main__":
    fire.Fire(main)
