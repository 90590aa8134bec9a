"""Measure the memory of an entry instance while it forwards large bodies.

Prints the growth of the resident memory of one entry instance during an upload with
a content length, a chunked upload, a download, and a download by a caller that reads
slowly. Exits with 1 if a body is incomplete or the growth exceeds the limit.
"""

import contextlib
import pathlib
import socket
import sys
import time
from collections.abc import Iterator

import fire

from bench.latency import LatencyProcesses

FIRST_PORT = 24_600
BODY_BYTES = 200_000_000
SLOW_BODY_BYTES = 40_000_000
SLOW_PAUSE_S = 0.005
GROWTH_LIMIT_BYTES = 16_000_000
BODY_PIECE = b"x" * 65_536
SAMPLE_INTERVAL_BYTES = 1_000_000
SERVICE_PATH = "/v1/services/positions"
TIMEOUT_S = 60.0
WARM_UP_UPLOADS = 5


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return 1024 * int(line.split()[1])
    raise SystemExit(f"process {pid} has no VmRSS line; it has ended")


class Caller:
    """A caller with one socket that samples the memory of the entry instance.

    Parameters
    ----------
    address : str
        HOST:PORT of the entry instance.
    pid : int
        The process id of the entry instance.
    """

    def __init__(self, address: str, pid: int) -> None:
        host, _, port = address.rpartition(":")
        self._sock = socket.create_connection((host, int(port)), timeout=TIMEOUT_S)
        self._reader = self._sock.makefile("rb")
        self._pid = pid
        self.peak_bytes = resident_bytes(pid)

    def _sample(self) -> None:
        self.peak_bytes = max(self.peak_bytes, resident_bytes(self._pid))

    def _send_head(self, *lines: str) -> None:
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
        """Send a body; return the number of bytes that the backend server received."""
        framing = "Transfer-Encoding: chunked"
        if not is_chunked:
            framing = f"Content-Length: {length}"
        self._send_head(f"POST {SERVICE_PATH}/take HTTP/1.1", framing)
        for piece in self._sampled_pieces(length):
            if is_chunked:
                piece = b"%x\r\n%b\r\n" % (len(piece), piece)
            self._sock.sendall(piece)
        if is_chunked:
            self._sock.sendall(b"0\r\n\r\n")
        return int(self._reader.read(self._answer_length()))

    def _sampled_pieces(self, length: int) -> Iterator[bytes]:
        sent = 0
        while sent < length:
            piece = BODY_PIECE[: length - sent]
            sent += len(piece)
            yield piece
            if sent % SAMPLE_INTERVAL_BYTES < len(piece):
                self._sample()

    def download(self, length: int, pause_s: float) -> int:
        """Read a body, pausing at each sample; return the number of received bytes."""
        self._send_head(f"GET {SERVICE_PATH}/send/{length} HTTP/1.1")
        remaining_bytes = self._answer_length()
        received_bytes = 0
        while remaining_bytes > 0 and (
            piece := self._reader.read1(min(remaining_bytes, len(BODY_PIECE)))
        ):
            received_bytes += len(piece)
            remaining_bytes -= len(piece)
            if received_bytes % SAMPLE_INTERVAL_BYTES < len(piece):
                self._sample()
                time.sleep(pause_s)
        return received_bytes


def main(body_bytes: int = BODY_BYTES, first_port: int = FIRST_PORT) -> None:
    """Run the benchmark; exit with 1 if a body is incomplete or the limit exceeded."""
    runs = (
        ("upload, length", body_bytes, lambda c, n: c.upload(n, False)),
        ("upload, chunks", body_bytes, lambda c, n: c.upload(n, True)),
        ("download", body_bytes, lambda c, n: c.download(n, 0.0)),
        ("slow download", SLOW_BODY_BYTES, lambda c, n: c.download(n, SLOW_PAUSE_S)),
    )
    has_failed = False
    with contextlib.ExitStack() as stack:
        bench = LatencyProcesses(stack, first_port, "bench.streaming_server")
        bench.wait_until_ready()
        pid = bench.entry_process.pid
        for _ in range(WARM_UP_UPLOADS):
            Caller(bench.entry, pid).upload(1_000_000, is_chunked=False)
        for name, length, run in runs:
            caller = Caller(bench.entry, pid)
            before_bytes = caller.peak_bytes
            started_s = time.monotonic()
            count = run(caller, length)
            rate = count / (time.monotonic() - started_s) / 1e6
            growth_bytes = caller.peak_bytes - before_bytes
            has_failed |= count != length or growth_bytes > GROWTH_LIMIT_BYTES
            print(
                f"{name:16}{count / 1e6:>7.0f} of {length / 1e6:.0f} MB, "
                f"{rate:.0f} MB/s, resident growth {growth_bytes / 1e6:.2f} MB",
                flush=True,
            )
    sys.exit(1 if has_failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
