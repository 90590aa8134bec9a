"""A process of callers that prints the measured latencies as JSON.

Each caller keeps one connection open. Without a rate, it starts its next call when the
last one was answered. With a rate, it waits before the next call so that all callers
together reach the rate. With a rate and random times, the intervals between scheduled
calls are exponentially distributed, and the latency counts from the scheduled start, so
that a stall is measured in every call that it delays.
"""

import random
import time
from collections import Counter
from dataclasses import dataclass, field

import eventlet
import fire
import orjson

WARM_UP_S = 0.5
HTTP_STATUS_OK = 200
ERROR_PAUSE_S = 0.01
CONTENT_LENGTH = b"content-length:"


class _Caller:
    """A caller with one persistent connection."""

    def __init__(self, address: str, path: str) -> None:
        host, _, port = address.rpartition(":")
        self._sock = eventlet.connect((host, int(port)))
        self._sock.setsockopt(6, 1, 1)
        self._request = (
            f"GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: */*\r\n"
            "User-Agent: bench\r\nAccept-Encoding: identity\r\n\r\n"
        ).encode()

    def call(self) -> int:
        """Send a request, read the complete answer and return its status."""
        self._sock.sendall(self._request)
        data = b""
        while (end := data.find(b"\r\n\r\n")) < 0:
            data += self._read()
        head = data[:end].lower()
        value_start = head.index(CONTENT_LENGTH) + len(CONTENT_LENGTH)
        length = int(head[value_start:].split(b"\r\n", 1)[0])
        while len(data) < end + 4 + length:
            data += self._read()
        return int(data[9:12])

    def _read(self) -> bytes:
        piece = self._sock.recv(65_536)
        if not piece:
            raise SystemExit(
                "the server closed the connection before the answer was complete"
            )
        return piece


@dataclass(slots=True)
class _Schedule:
    """The schedule of each caller's calls."""

    # Calls per second of one caller; 0 for as many as possible.
    rate_per_s: float
    # Whether the calls are scheduled at random times.
    is_random: bool

    def next_call_s(self, last_s: float) -> float:
        """Return the time of the next call, given the scheduled time of the last."""
        now_s = time.perf_counter()
        if not self.rate_per_s:
            return now_s
        if self.is_random:
            return last_s + random.expovariate(self.rate_per_s)
        return max(now_s, last_s + 1 / self.rate_per_s)


@dataclass(slots=True)
class _Results:
    """The results of all callers."""

    # The latency of each call answered with status 200.
    latencies_s: list[float] = field(default_factory=list)
    # The number of answers by status.
    statuses: Counter[int] = field(default_factory=Counter)


def _run_caller(
    caller: _Caller, schedule: _Schedule, end_s: float, results: _Results
) -> None:
    planned_s = time.perf_counter()
    while True:
        planned_s = schedule.next_call_s(planned_s)
        if planned_s > end_s:
            return
        eventlet.sleep(max(0.0, planned_s - time.perf_counter()))
        status = caller.call()
        results.statuses[status] += 1
        if status == HTTP_STATUS_OK:
            results.latencies_s.append(time.perf_counter() - planned_s)
        elif not schedule.rate_per_s:
            eventlet.sleep(ERROR_PAUSE_S)


def main(
    addresses: str,
    path: str,
    callers_count: int,
    duration_s: float,
    rate_per_s: float = 0.0,
    seed: int = 1,
    any_status: bool = False,
    is_random: bool = True,
) -> None:
    """Send calls for some seconds; print counts, statuses and latencies of 200 answers.

    Without ``any_status`` an answer with another status makes the process exit with a
    failure. Without ``is_random`` a rate is kept by waiting between calls.
    """
    random.seed(seed)
    targets = str(addresses).split(",")
    callers = [
        _Caller(targets[index % len(targets)], path) for index in range(callers_count)
    ]
    schedule = _Schedule(rate_per_s / callers_count, is_random)

    def run_all(run_s: float) -> _Results:
        """Run all callers for some seconds."""
        results = _Results()
        end_s = time.perf_counter() + run_s
        threads = [
            eventlet.spawn(_run_caller, caller, schedule, end_s, results)
            for caller in callers
        ]
        for thread in threads:
            thread.wait()
        return results

    run_all(WARM_UP_S)
    started_s = time.perf_counter()
    results = run_all(duration_s)
    if not any_status and set(results.statuses) != {HTTP_STATUS_OK}:
        raise SystemExit(f"unexpected answers: {dict(results.statuses)}")
    document = {
        "statuses": {str(status): n for status, n in results.statuses.items()},
        "count": len(results.latencies_s),
        "duration_s": time.perf_counter() - started_s,
        "latencies_us": [round(1e6 * latency_s) for latency_s in results.latencies_s],
    }
    print(orjson.dumps(document).decode())


if __name__ == "__main__":
    fire.Fire(main)
