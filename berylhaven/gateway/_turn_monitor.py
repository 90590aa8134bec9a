"""Metrics and log lines of long turns of the hub, and of the peak memory."""

import resource
import socket

from berylhaven.clock import monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway._gateway_metrics import NO_LABELS, GatewayMetrics

TURN_BUCKETS_S = (0.01, 0.02, 0.05, 0.1, 0.5, 2.0, 10.0)
# Turns from this length on are logged: a caller notices the delay.
LOGGED_TURN_S = 0.1
# A peer that causes one long turn after the other leaves one line in this time.
LOG_INTERVAL_S = 1.0
# Linux counts the peak memory in this unit.
KILOBYTE = 1_024


class TurnMonitor:
    """Records the long turns of the hub, each with the connection that it used last.

    Parameters
    ----------
    metrics : GatewayMetrics
        Gets a histogram of the turns, and the peak memory.
    event_log : EventLog
        Receives a line for a long turn, at most one in `LOG_INTERVAL_S`.
    """

    __slots__ = (
        "_turns",
        "_peak_memory",
        "_event_log",
        "_logged_at_s",
        "_unlogged_count",
    )

    def __init__(self, metrics: GatewayMetrics, event_log: EventLog) -> None:
        self._turns = metrics.histogram(
            "turn_seconds",
            "Turns of the hub's green threads that took 5 ms or more.",
            TURN_BUCKETS_S,
        )
        self._peak_memory = metrics.gauge(
            "peak_memory_bytes", "The highest memory that the process has had."
        )
        metrics.add_refresher(self._refresh)
        self._event_log = event_log
        self._logged_at_s = -LOG_INTERVAL_S
        self._unlogged_count = 0

    def record(self, turn_s: float, sock: socket.socket | None) -> None:
        """Record a turn.

        Parameters
        ----------
        turn_s : float
            Its length in seconds.
        sock : socket.socket or None
            The socket that it used last.
        """
        self._turns.observe(NO_LABELS, turn_s)
        if turn_s < LOGGED_TURN_S:
            return
        now_s = monotonic_s()
        if now_s - self._logged_at_s < LOG_INTERVAL_S:
            self._unlogged_count += 1
            return
        self._event_log.write_failure(
            "hub",
            "long turn",
            turn_s=round(turn_s, 3),
            **_addresses(sock),
            unlogged=self._unlogged_count or None,
        )
        self._logged_at_s = now_s
        self._unlogged_count = 0

    def _refresh(self) -> None:
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        self._peak_memory.set(NO_LABELS, peak * KILOBYTE)


def _addresses(sock: socket.socket | None) -> dict[str, str | None]:
    """Return the two ends of a connection, as far as it still has them."""
    if sock is None:
        return {}
    try:
        host, port = sock.getsockname()[:2]
        peer_host, peer_port = sock.getpeername()[:2]
    except OSError as error:
        return {"peer": f"unknown: {error}"}
    return {"peer": f"{peer_host}:{peer_port}", "local": f"{host}:{port}"}
