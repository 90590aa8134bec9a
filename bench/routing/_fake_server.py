"""A simulated backend server with slots, a bounded queue and faults."""

import collections
from collections.abc import Callable

from bench.routing._virtual_time import call_later
from berylhaven.clock import monotonic_s
from berylhaven.load import LoadReport

QUEUE_LIMIT_PER_SLOT = 25
FAIL_FAST_DELAY_S = 0.0002


class FakeCall:
    """One call at a simulated server.

    Parameters
    ----------
    work_s : float
        The time that it occupies a slot of a server of normal speed, in seconds.
    on_end : callable
        Called once with ``answered``, ``failed`` or ``shed``.
    """

    __slots__ = ("work_s", "on_end", "is_cancelled")

    def __init__(self, work_s: float, on_end: Callable[[str], None]) -> None:
        self.work_s = work_s
        self.on_end = on_end
        # Whether the caller cancelled it; if still queued, it does not run.
        self.is_cancelled = False


class FakeServer:
    """Runs calls in slots on the hub's clock.

    Parameters
    ----------
    slot_count : int
        The number of calls that run in parallel.
    """

    __slots__ = (
        "slot_count",
        "slowness",
        "fails_fast",
        "is_leaving",
        "running",
        "probe_busy_s",
        "_queue",
    )

    def __init__(self, slot_count: int) -> None:
        self.slot_count = slot_count
        # The factor by which it is slower than a server of normal speed.
        self.slowness = 1.0
        # Whether each call fails after FAIL_FAST_DELAY_S without occupying a slot.
        self.fails_fast = False
        # Whether it sheds new calls and reports that it is leaving.
        self.is_leaving = False
        # The number of slots occupied by calls, other work and probes.
        self.running = 0
        # The slot time used by probes, in seconds.
        self.probe_busy_s = 0.0
        self._queue: collections.deque[FakeCall] = collections.deque()

    def report(self) -> LoadReport:
        """Return the server's current load report."""
        return LoadReport(
            running_count=self.running,
            queued_count=len(self._queue),
            slot_count=self.slot_count,
            service_time_s=None,
            is_leaving=self.is_leaving,
            received_at_s=monotonic_s(),
        )

    def submit(self, call: FakeCall) -> None:
        """Queue, fail or shed a call."""
        if self.is_leaving:
            call.on_end("shed")
        elif self.fails_fast:
            call_later(FAIL_FAST_DELAY_S, call.on_end, "failed")
        elif len(self._queue) >= QUEUE_LIMIT_PER_SLOT * self.slot_count:
            call.on_end("shed")
        else:
            self._enqueue(call)

    def occupy(self, duration_s: float) -> None:
        """Occupy a slot with other work, queued like a call."""
        self._enqueue(FakeCall(duration_s / self.slowness, lambda end: None))

    def probe(self, cost_s: float, on_end: Callable[[str], None]) -> None:
        """Queue a probe, which occupies a slot like a call."""
        self.probe_busy_s += cost_s * self.slowness
        self._enqueue(FakeCall(cost_s, on_end))

    def _enqueue(self, call: FakeCall) -> None:
        self._queue.append(call)
        self._start()

    def _start(self) -> None:
        while self._queue and self.running < self.slot_count:
            call = self._queue.popleft()
            if not call.is_cancelled:
                self.running += 1
                call_later(call.work_s * self.slowness, self._end, call)

    def _end(self, call: FakeCall) -> None:
        self.running -= 1
        self._start()
        call.on_end("answered")
