"""A process of callers that prints the latencies that they saw, as JSON.

Each caller keeps one connection. With a rate, the callers together start calls at
exponentially distributed times, and the latency counts from the planned start, so
that a stall is seen by every call that it delays; without one, each caller starts
its next call when the last one was answered.
"""

import random
import time
from collections import Counter

import eventlet
import fire
import orjson

WARM_UP_S = 0.5
HTTP_OK = 200
CONTENT_LENGTH = b"content-length:"


class _Caller:
    """One kept-alive connection."""

    def __init__(self, address: str, path: str) -> None:
        host, _, port = address.rpartition(":")
        self._sock = eventlet.connect((host, int(port)))
        self._sock.setsockopt(6, 1, 1)
        self._request = (
            f"GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: */*\r\n"
            "User-Agent: bench\r\nAccept-Encoding: identity\r\n\r\n"
        ).encode()

    def call(self) -> int:
        """Send a request, read its whole answer and return its status."""
        self._sock.sendall(self._request)
        data = b""
        while (end := data.find(b"\r\n\r\n")) < 0:
            data += self._read()
        head = data[:end].lower()
        at = head.index(CONTENT_LENGTH) + len(CONTENT_LENGTH)
        length = int(head[at:].split(b"\r\n", 1)[0])
        while len(data) < end + 4 + length:
            data += self._read()
        return int(data[9:12])

    def _read(self) -> bytes:
        piece = self._sock.recv(65_536)
        if not piece:
            raise SystemExit("connection closed")
        return piece


def _run(
    caller: _Caller,
    rate_per_s: float,
    until_s: float,
    latencies_s: list[float],
    statuses: Counter[int],
) -> None:
    planned_s = time.perf_counter()
    while True:
        if rate_per_s:
            planned_s += random.expovariate(rate_per_s)
            eventlet.sleep(max(0.0, planned_s - time.perf_counter()))
        else:
            planned_s = time.perf_counter()
        if planned_s > until_s:
            return
        status = caller.call()
        statuses[status] += 1
        if status == HTTP_OK:
            latencies_s.append(time.perf_counter() - planned_s)


def main(
    addresses: str,
    path: str,
    callers_count: int,
    duration_s: float,
    rate_per_s: float = 0.0,
    seed: int = 1,
    any_status: bool = False,
) -> None:
    """Call for some seconds and print counts, statuses and latencies of 200 answers.

    Without ``any_status`` every other answer ends the process with a failure.
    """
    random.seed(seed)
    targets = str(addresses).split(",")
    callers = [
        _Caller(targets[index % len(targets)], path) for index in range(callers_count)
    ]
    statuses: Counter[int] = Counter()
    own_rate_per_s = rate_per_s / callers_count

    def run_all(run_s: float) -> list[float]:
        """Let all callers call for some seconds."""
        latencies_s: list[float] = []
        statuses.clear()
        until_s = time.perf_counter() + run_s
        threads = [
            eventlet.spawn(_run, caller, own_rate_per_s, until_s, latencies_s, statuses)
            for caller in callers
        ]
        for thread in threads:
            thread.wait()
        return latencies_s

    run_all(WARM_UP_S)
    began_s = time.perf_counter()
    latencies_s = run_all(duration_s)
    if not any_status and set(statuses) != {HTTP_OK}:
        raise SystemExit(f"unexpected answers: {dict(statuses)}")
    document = {
        "statuses": {str(status): count for status, count in statuses.items()},
        "count": len(latencies_s),
        "duration_s": time.perf_counter() - began_s,
        "latencies_us": [round(1e6 * latency_s) for latency_s in latencies_s],
    }
    print(orjson.dumps(document).decode())


if __name__ == "__main__":
    fire.Fire(main)
