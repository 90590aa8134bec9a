"""A run with planned stops of gateways in calm, and the requests that it lost."""

import collections
import random
import signal
import subprocess
import time
from pathlib import Path

import eventlet

from bench.gateway_soak._busy_processes import busy_processes
from bench.gateway_soak._gateway_cut import GatewayCut
from bench.gateway_soak._loss_rules import (
    Arrival,
    LossClass,
    PlannedStop,
    SentRequest,
    judge_request,
)
from bench.gateway_soak._mixed_builds import (
    CURRENT_BUILD,
    check_mixed_fleet,
    ended_processes,
    is_loss_of_old_build,
    start_old_build,
)
from bench.gateway_soak._soak import inject_faults
from bench.gateway_soak._soak_context import SoakContext
from bench.gateway_soak._stop_callers import StopCallers
from bench.gateway_soak._stop_options import StopOptions
from bench.gateway_soak._stop_report import StopReport, describe_loss
from standins.gateway_fleet import GatewayFleet, GatewayProcess

TIMEOUT_S = 10.0
WARM_UP_S = 1.0
# The retry budget grows with the requests. After 1 s of load it is too small to send
# all idempotent requests that end with a killed gateway again.
KILL_WARM_UP_S = 5.0
# The window of the retry budget.
RETRY_WINDOW_S = 10.0
# The load goes on for this time after the last process has exited.
AFTER_EXIT_S = 0.3
# After a kill, what another gateway has passed on may be sent again.
AFTER_KILL_S = 3.0
EXIT_POLL_S = 0.02
SERVERS_PER_SERVICE = 8
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
        has_proxies=options.cuts_gateway,
        servers_per_service=SERVERS_PER_SERVICE,
        slot_count=options.slot_count,
        slow_share=0.0,
        grace_s=options.grace_s,
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
        "_cut",
        "_old_build",
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
        self._cut: GatewayCut | None = None
        self._old_build: Path | None = None

    def play(self) -> None:
        """Send requests while the gateways are stopped."""
        options = self._options
        gateways = list(self._fleet.gateways)
        self._source.shuffle(gateways)
        # With one stop, most of the load goes to the gateway that is stopped.
        preferred = gateways[0].address() if options.stop_count == 1 else ""
        if options.old_commit:
            preferred = ""
            commit = options.old_commit
            self._old_build = start_old_build(self._fleet, gateways, commit)
        if options.cuts_gateway:
            cut_gateway = gateways[0 if options.stops_cut_gateway else -1]
            self._cut = GatewayCut(self._fleet, cut_gateway)
            self._cut.apply()
            self._cut.wait_until_passed_on()
            preferred = cut_gateway.address()
        self._callers = StopCallers(
            self._fleet,
            options.seed,
            options.caller_count,
            options.pipelining_count,
            preferred,
            options.closing_count,
            options.slow_ratio,
        )
        eventlet.sleep(KILL_WARM_UP_S if options.kills else WARM_UP_S)
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
        if self._old_build:
            self._replace_builds(gateways)
        else:
            self._stop_gateways(gateways)
        eventlet.sleep(AFTER_KILL_S if options.kills else AFTER_EXIT_S)
        for thread in beside:
            thread.kill()
        self._callers.stop()

    def _stop_gateways(self, gateways: list[GatewayProcess]) -> None:
        threads = []
        for index in range(self._options.stop_count):
            if index:
                eventlet.sleep(self._source.uniform(*NEXT_STOP_RANGE_S))
            gateway = gateways[index % len(gateways)]
            if index >= len(gateways):
                # Its last stop and start must be over.
                threads[index - len(gateways)].wait()
            threads.append(eventlet.spawn(self._stop, gateway))
        for thread in threads:
            thread.wait()

    def _replace_builds(self, gateways: list[GatewayProcess]) -> None:
        """Replace one gateway after the other, and check the fleet each time."""
        replaced = gateways[: self._options.replaced_count or len(gateways)]
        steps = [(gateway, CURRENT_BUILD) for gateway in replaced]
        if self._options.returns:
            steps += [(gateway, self._old_build) for gateway in replaced]
        for gateway, tree in steps:
            writing = eventlet.spawn(self._write_configurations)
            self._stop(gateway, tree)
            # The check adds a route, which another configuration would drop.
            writing.kill()
            if self._cut is None:
                self._report.broken += check_mixed_fleet(self._context)
            self._report.broken += ended_processes(self._fleet)

    def report(self) -> StopReport:
        """Judge the requests."""
        report = self._report
        report.max_delay_s = self._callers.max_delay_s
        recorded = self._fleet.arrivals()
        if self._cut:
            report.passed_on_count = self._cut.read_log()
        for request in self._callers.requests:
            if request.sent_s is None:
                continue
            if request.ended_s is None:
                report.open_count += 1
            else:
                report.answers[request.kind, request.status] += 1
            arrivals = [Arrival(**a) for a in recorded.get(request.request_id, [])]
            stop = self._stop_of(request)
            peer_stops = self._peer_stops_of(request)
            if self._cut:
                request.is_passed_on_again = self._cut.is_passed_on_again(request)
            found = judge_request(request, arrivals, stop, peer_stops)
            if found is None:
                continue
            if is_loss_of_old_build(found, [stop, *peer_stops] if stop else peer_stops):
                report.old_losses[found] += 1
            else:
                report.losses[found] += 1
                origin = stop or next(iter(peer_stops), None)
                report.lines.append(describe_loss(found, request, arrivals, origin))
                log_lines = self._log_lines(request)
                report.lines += log_lines
                is_unseen = found is LossClass.NEVER_PASSED_ON
                report.read_count += is_unseen and bool(log_lines)
        return report

    def _stop(self, gateway: GatewayProcess, tree: Path | None = None) -> None:
        """Stop a gateway and wait until it is gone; start it again among several.

        With a tree it is started from there.
        """
        process = gateway.process
        index = self._fleet.gateways.index(gateway)
        self._context.disturbed_gateways.add(index)
        kill_after_s = self._options.kill_after_s
        if kill_after_s is None:
            kill_after_s = self._options.grace_s
        is_old = gateway.tree == self._old_build
        stop = self._signal(process, is_old)
        self._stops[gateway.address()].append(stop)
        if self._options.sends_further_signals:
            eventlet.spawn(self._send_further_signals, gateway)
        while process.poll() is None:
            if time.monotonic() - stop.signal_s > kill_after_s:
                process.kill()
                process.wait()
                self._report.killed_count += 1
            eventlet.sleep(EXIT_POLL_S)
        stop.gone_s = time.monotonic()
        self._report.exits_after_s.append(stop.gone_s - stop.signal_s)
        if self._options.stop_count > 1 or tree is not None:
            gateway.tree = tree or gateway.tree
            eventlet.sleep(self._source.uniform(0, RESTART_LIMIT_S))
            self._fleet.start_gateway(gateway)
            if self._cut and gateway is self._cut.gateway:
                self._cut.apply()
            self._fleet.wait_until_ready(gateway)
            self._context.disturbed_gateways.discard(index)

    def _signal(self, process: subprocess.Popen, is_old_build: bool) -> PlannedStop:
        grace_s = self._options.grace_s
        if not self._options.kills:
            signal_s = self._send_sigterm(process)
            return PlannedStop(signal_s, grace_s, is_old_build=is_old_build)
        process.kill()
        now_s = time.monotonic()
        earlier = [stop for stops in self._stops.values() for stop in stops]
        return PlannedStop(
            now_s,
            grace_s,
            is_kill=True,
            follows_kill=any(s.signal_s > now_s - RETRY_WINDOW_S for s in earlier),
            is_old_build=is_old_build,
        )

    def _send_sigterm(self, process: subprocess.Popen) -> float:
        """Send SIGTERM, within a pause if there is one; return when."""
        pause_s = self._options.pause_s
        if pause_s:
            process.send_signal(signal.SIGSTOP)
            eventlet.spawn_after(pause_s, process.send_signal, signal.SIGCONT)
            eventlet.sleep(self._options.signal_after_s)
        process.send_signal(signal.SIGTERM)
        return time.monotonic()

    def _send_further_signals(self, gateway: GatewayProcess) -> None:
        process = gateway.process
        for number in FURTHER_SIGNALS:
            eventlet.sleep(self._source.uniform(*FURTHER_SIGNAL_RANGE_S))
            if process.poll() is None:
                process.send_signal(number)

    def _write_configurations(self) -> None:
        while True:
            eventlet.sleep(self._source.uniform(*CONFIGURATION_PAUSE_RANGE_S))
            self._context.version += 1
            version = self._context.version
            self._fleet.publish(version, TIMEOUT_S, f"/added-{version}/")

    def _stop_of(self, request: SentRequest) -> PlannedStop | None:
        if request.ended_s is None:
            return None
        stops = self._stops[request.gateway]
        return next((stop for stop in stops if stop.covers(request.ended_s)), None)

    def _peer_stops_of(self, request: SentRequest) -> list[PlannedStop]:
        if self._cut is None or request.ended_s is None:
            return []
        return self._cut.peer_stops(request, self._stops)

    def _log_lines(self, request: SentRequest) -> list[str]:
        gateways = self._fleet.gateways
        gateway = next(g for g in gateways if g.address() == request.gateway)
        lines = self._fleet.log_text(gateway).splitlines()
        found = [f"    {line}" for line in lines if request.request_id in line]
        return found[:LOG_LINES_LIMIT]
