"""A run with planned stops of gateways in calm, and the requests that it lost."""

import collections
import random
import signal
import subprocess
import time
from dataclasses import dataclass, field

import eventlet

from bench.gateway_soak._busy_processes import busy_processes
from bench.gateway_soak._faults import SoakContext
from bench.gateway_soak._loss_rules import (
    Arrival,
    LossClass,
    PlannedStop,
    SentRequest,
    judge_request,
)
from bench.gateway_soak._soak import inject_faults
from bench.gateway_soak._stop_callers import SLOW_RATIO, StopCallers
from standins.gateway_fleet import GatewayFleet, GatewayProcess

GRACE_S = 6.0
TIMEOUT_S = 10.0
WARM_UP_S = 1.0
# The load goes on for this time after the last process has exited.
AFTER_EXIT_S = 0.3
EXIT_POLL_S = 0.02
SERVERS_PER_SERVICE = 8
SLOT_COUNT = 16
# Signals that are sent in the middle of a stop, and when.
FURTHER_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)
FURTHER_SIGNAL_RANGE_S = (0.5, 1.8)
# The pauses of overlapping stops: before the next gateway is stopped, and before one
# that has exited is started again.
NEXT_STOP_RANGE_S = (0.2, 4.5)
RESTART_LIMIT_S = 1.0
CONFIGURATION_PAUSE_RANGE_S = (0.5, 2.0)
LOG_LINES_LIMIT = 6
# The faults that excuse no loss. The others may end requests at any time, so a soak
# with them cannot tell what a stop has lost.
HARMLESS_FAULTS = (
    "store refuses",
    "store slow",
    "history forgotten",
    "settings changed",
)


@dataclass(slots=True, frozen=True)
class StopOptions:
    """What happens in a run with planned stops."""

    # The seed of requests and times.
    seed: int = 1
    # The number of callers that wait for each answer, and of those that pipeline.
    caller_count: int = 48
    pipelining_count: int = 8
    # The number of busy processes beside the fleet.
    busy_count: int = 0
    gateway_count: int = 3
    # The number of stops. More than one overlap: the next gateway is stopped while
    # others still drain, and each is started again after its exit.
    stop_count: int = 1
    # Whether SIGHUP and another SIGTERM are sent in the middle of each stop.
    sends_further_signals: bool = False
    # Whether configurations are written during the run.
    changes_configuration: bool = False
    # Whether faults of the store and SIGHUP of other gateways come beside the stops.
    injects_faults: bool = False
    # The slots of each server.
    slot_count: int = SLOT_COUNT
    # When a process that has not exited is killed. Less than the grace makes losses
    # that the run must find.
    kill_after_s: float = GRACE_S
    # For how long each process does not run from its SIGTERM on: it notices the signal
    # late, as on a starved machine.
    pause_s: float = 0.0
    # The number of callers that send a request behind one with Connection: close.
    closing_count: int = 0
    # The part of the reads with large answers that are read slowly.
    slow_ratio: float = SLOW_RATIO
    # The bytes that each gateway may hold; None for its default.
    held_limit_bytes: int | None = None


@dataclass(slots=True)
class StopReport:
    """What was found in a run with planned stops."""

    # The number of requests that were sent whole and ended, by kind and status.
    answers: collections.Counter = field(default_factory=collections.Counter)
    # How often each fault was injected.
    faults: collections.Counter = field(default_factory=collections.Counter)
    # Lost requests, and one line with the circumstances of each.
    losses: collections.Counter[LossClass] = field(default_factory=collections.Counter)
    lines: list[str] = field(default_factory=list)
    # How many of the requests that were never passed on the gateway's log names, so
    # that it had read them.
    read_count: int = 0
    # The number of requests that were still open when the run ended.
    open_count: int = 0
    # The number of processes that were killed at the end of the grace.
    killed_count: int = 0
    # The time from each SIGTERM to the exit of the process, in seconds.
    exits_after_s: list[float] = field(default_factory=list)
    # The longest delay of the callers' own hub, in seconds.
    max_delay_s: float = 0.0


def run_planned_stops(options: StopOptions) -> StopReport:
    """Stop gateways in calm under load, and judge all requests.

    Parameters
    ----------
    options : StopOptions
        What happens in the run.

    Returns
    -------
    StopReport
        The counts and losses.
    """
    fleet = GatewayFleet(
        options.gateway_count,
        servers_per_service=SERVERS_PER_SERVICE,
        slot_count=options.slot_count,
        slow_share=0.0,
        grace_s=GRACE_S,
        timeout_s=TIMEOUT_S,
        held_limit_bytes=options.held_limit_bytes,
    )
    with fleet:
        run = _StopRun(fleet, options)
        with busy_processes(options.busy_count):
            run.play()
        return run.report()


class _StopRun:
    """One run: the stops, the load and what was recorded."""

    __slots__ = (
        "_fleet",
        "_options",
        "_source",
        "_context",
        "_stops",
        "_callers",
        "_report",
    )

    def __init__(self, fleet: GatewayFleet, options: StopOptions) -> None:
        self._fleet = fleet
        self._options = options
        self._source = random.Random(options.seed)
        self._context = SoakContext(fleet, random.Random(f"{options.seed}/faults"))
        # The stops by HOST:PORT of the gateway.
        self._stops: dict[str, list[PlannedStop]] = collections.defaultdict(list)
        self._callers: StopCallers | None = None
        self._report = StopReport()

    def play(self) -> None:
        """Send requests while the gateways are stopped."""
        options = self._options
        gateways = list(self._fleet.gateways)
        self._source.shuffle(gateways)
        # With one stop, most of the load goes to the gateway that is stopped.
        preferred = gateways[0].address() if options.stop_count == 1 else ""
        self._callers = StopCallers(
            self._fleet,
            options.seed,
            options.caller_count,
            options.pipelining_count,
            preferred,
            options.closing_count,
            options.slow_ratio,
        )
        eventlet.sleep(WARM_UP_S)
        beside = []
        if options.changes_configuration:
            beside.append(eventlet.spawn(self._write_configurations))
        if options.injects_faults:
            source, counts = random.Random(f"{options.seed}/kinds"), self._report.faults
            beside.append(
                eventlet.spawn(
                    inject_faults, self._context, source, HARMLESS_FAULTS, counts
                )
            )
        threads = []
        for index in range(options.stop_count):
            if index:
                eventlet.sleep(self._source.uniform(*NEXT_STOP_RANGE_S))
            gateway = gateways[index % len(gateways)]
            if index >= len(gateways):
                # Its last stop and start must be over.
                threads[index - len(gateways)].wait()
            threads.append(eventlet.spawn(self._stop, gateway))
        for thread in threads:
            thread.wait()
        eventlet.sleep(AFTER_EXIT_S)
        for thread in beside:
            thread.kill()
        self._callers.stop()

    def report(self) -> StopReport:
        """Judge the requests."""
        report = self._report
        report.max_delay_s = self._callers.max_delay_s
        recorded = self._fleet.arrivals()
        for request in self._callers.requests:
            if request.sent_s is None:
                continue
            if request.ended_s is None:
                report.open_count += 1
            else:
                report.answers[request.kind, request.status] += 1
            arrivals = [Arrival(**a) for a in recorded.get(request.request_id, [])]
            stop = self._stop_of(request)
            found = judge_request(request, arrivals, stop)
            if found is not None:
                report.losses[found] += 1
                report.lines.append(describe_loss(found, request, arrivals, stop))
                log_lines = self._log_lines(request)
                report.lines += log_lines
                is_unseen = found is LossClass.NEVER_PASSED_ON
                report.read_count += is_unseen and bool(log_lines)
        return report

    def _stop(self, gateway: GatewayProcess) -> None:
        """Stop a gateway and wait until it is gone; start it again among several."""
        process = gateway.process
        index = self._fleet.gateways.index(gateway)
        self._context.disturbed_gateways.add(index)
        stop = PlannedStop(self._send_sigterm(process), GRACE_S)
        self._stops[gateway.address()].append(stop)
        if self._options.sends_further_signals:
            eventlet.spawn(self._send_further_signals, gateway)
        while process.poll() is None:
            if time.monotonic() - stop.signal_s > self._options.kill_after_s:
                process.kill()
                process.wait()
                self._report.killed_count += 1
            eventlet.sleep(EXIT_POLL_S)
        stop.gone_s = time.monotonic()
        self._report.exits_after_s.append(stop.gone_s - stop.signal_s)
        if self._options.stop_count > 1:
            eventlet.sleep(self._source.uniform(0, RESTART_LIMIT_S))
            self._fleet.start_gateway(gateway)
            self._fleet.wait_until_ready(gateway)
            self._context.disturbed_gateways.discard(index)

    def _send_sigterm(self, process: subprocess.Popen) -> float:
        """Send SIGTERM, at the start of a pause if there is one; return when."""
        pause_s = self._options.pause_s
        if pause_s:
            process.send_signal(signal.SIGSTOP)
            eventlet.spawn_after(pause_s, process.send_signal, signal.SIGCONT)
        process.send_signal(signal.SIGTERM)
        return time.monotonic()

    def _send_further_signals(self, gateway: GatewayProcess) -> None:
        process = gateway.process
        for number in FURTHER_SIGNALS:
            eventlet.sleep(self._source.uniform(*FURTHER_SIGNAL_RANGE_S))
            if process.poll() is None:
                process.send_signal(number)

    def _write_configurations(self) -> None:
        version = 1
        while True:
            eventlet.sleep(self._source.uniform(*CONFIGURATION_PAUSE_RANGE_S))
            version += 1
            self._fleet.publish(version, TIMEOUT_S, f"/added-{version}/")

    def _stop_of(self, request: SentRequest) -> PlannedStop | None:
        if request.ended_s is None:
            return None
        stops = self._stops[request.gateway]
        return next((stop for stop in stops if stop.covers(request.ended_s)), None)

    def _log_lines(self, request: SentRequest) -> list[str]:
        gateways = self._fleet.gateways
        gateway = next(g for g in gateways if g.address() == request.gateway)
        lines = self._fleet.log_text(gateway).splitlines()
        found = [f"    {line}" for line in lines if request.request_id in line]
        return found[:LOG_LINES_LIMIT]


def describe_loss(
    found: LossClass,
    request: SentRequest,
    arrivals: list[Arrival],
    stop: PlannedStop | None,
) -> str:
    """Return a line with the circumstances of a loss.

    Parameters
    ----------
    found : LossClass
        In which way it was lost.
    request : SentRequest
        The request.
    arrivals : list of Arrival
        What the servers recorded of it.
    stop : PlannedStop or None
        The stop of its gateway; times are given from its signal. Without a stop they
        are given from the last byte of the request.

    Returns
    -------
    str
        One line.
    """
    origin_s = request.sent_s if stop is None else stop.signal_s

    def since(time_s: float | None) -> str:
        """Return a time counted from the origin."""
        return "never" if time_s is None else f"{time_s - origin_s:.2f}"

    ended = "connection ended" if request.status is None else f"{request.status} at"
    ended = f"{ended} {since(request.ended_s)}"
    place = f"{request.position} of {request.connection}"
    place += " behind another one" if request.is_behind else ""
    servers = "; ".join(
        f"{arrival.server} got it {since(arrival.arrived_s)}, began "
        f"{since(arrival.began_s)}, ended {since(arrival.ended_s)}, answered "
        f"{since(arrival.written_s)}"
        for arrival in arrivals
    )
    return (
        f"{found.value}: {request.kind} {request.request_id} at {request.gateway}, "
        f"place {place}, sent {since(request.sent_s)}, {ended}, limit "
        f"{request.limit_s:.0f}; servers: {servers or 'none'}"
    )
