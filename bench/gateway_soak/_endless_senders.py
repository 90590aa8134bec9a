"""A run in which a peer of a gateway sends without end beside sound callers."""

import random
import re
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field, replace
from pathlib import Path

import eventlet
import urllib3

from bench.gateway_soak._sound_callers import (
    SoundAnswer,
    SoundCallers,
    describe_answers,
)
from standins._endless_bytes import (
    CALLER,
    KINDS,
    PROBE,
    SERVER,
    STORE,
    UNREAD_REQUESTS,
)
from standins.endless_sender import READY_LINE, SWITCH_OFF_PATH, SWITCH_ON_PATH
from standins.gateway_fleet import HTTP_STATUS_OK, READS, GatewayFleet

# The stated target: what holds while a peer sends without end.
EXCESS_LIMIT_S = 0.5
PEAK_LIMIT_BYTES = 100_000_000
NOTICE_LIMIT_S = 0.5
RECOVERY_LIMIT_S = 1.0

WORK_S = 0.05
# With fewer the uploads of four callers would exceed what their servers get at once.
SERVERS_PER_SERVICE = 5
# With fewer the callers would find all slots taken at times.
SLOT_COUNT = 5
# Uploads of 60 MB have the time to be slower.
TIMEOUT_S = 10.0
SENDER_LIMIT = 4
STOP_RATIO = 0.5
WARM_UP_S = 0.3
CALM_S = 0.5
NOTICE_TIMEOUT_S = 3.0
POLL_S = 0.02
BYTES_PER_KIB = 1_024
# The method and the path of a request of each service.
READ, ORDER = ("GET", "/read/x"), ("POST", "/order/x")
CALLERS_PORT = "callers"
# The index of each port of a gateway and a path that it serves.
PORTS = {
    CALLERS_PORT: (0, "/upload/x"),
    "readiness": (1, "/ready"),
    "peers": (2, "/v1/members"),
    "locate": (3, "/resolve"),
    "metrics": (4, "/metrics"),
}


@dataclass(slots=True, frozen=True)
class SenderOptions:
    """What happens in a run with endless senders."""

    # The role of the senders, and the kinds of bytes that they send in turn, as
    # `standins.endless_sender` names them.
    role: str
    kinds: tuple[str, ...]
    # The names of the gateway's ports to which callers send in turn.
    ports: tuple[str, ...] = (CALLERS_PORT,)
    # The number of senders, each a process of its own.
    sender_count: int = 1
    # For how long they send, in seconds.
    duration_s: float = 3.0
    # Whether the gateway is stopped while they send. Otherwise they end, and it must
    # serve as before.
    stops: bool = False
    # The number of callers of the service to which the endless server belongs, or to
    # which endless callers send, and of the other one.
    beside_count: int = 30
    sound_count: int = 10


def draw_options(seed: int, **fixed: object) -> SenderOptions:
    """Draw what happens in a run.

    Parameters
    ----------
    seed : int
        The seed of the draw.
    **fixed : object
        Fields of `SenderOptions` that are not drawn.

    Returns
    -------
    SenderOptions
        The options.
    """
    source = random.Random(seed)
    drawn_role = source.choice((SERVER, PROBE, STORE, CALLER, CALLER))
    role = str(fixed.get("role", drawn_role))
    kinds = [kind.name for kind in KINDS.values() if role in kind.roles]
    options = SenderOptions(
        role,
        (source.choice(kinds),),
        (source.choice(list(PORTS)),),
        1 if role == STORE else source.randint(1, SENDER_LIMIT),
        stops=source.random() < STOP_RATIO,
    )
    return replace(options, **fixed)


@dataclass(slots=True)
class SenderReport:
    """What was found in a run with endless senders."""

    options: SenderOptions
    # The ends of the requests while the senders sent: of the sound service, and of the
    # one with the endless server.
    sound: list[SoundAnswer] = field(default_factory=list)
    beside: list[SoundAnswer] = field(default_factory=list)
    # The statuses of uploads that the senders sent; 0 without an answer.
    upload_statuses: list[int] = field(default_factory=list)
    # The highest resident memory of the gateway's process.
    peak_bytes: int = 0
    # The time from SIGTERM until its log line; None if it was not noticed in time.
    noticed_after_s: float | None = None
    # The ends of the requests of both services after the senders had gone.
    afterwards: list[SoundAnswer] = field(default_factory=list)

    @property
    def broken(self) -> list[str]:
        """What missed the stated target, in one line each."""
        found = []
        if not self.sound or not all(map(_is_served, self.sound)):
            found.append(f"the sound service: {describe_answers(self.sound)}")
        if self.peak_bytes >= PEAK_LIMIT_BYTES:
            found.append(f"the process took {self.peak_bytes / 1e6:.0f} MB")
        if self.options.stops:
            after_s = self.noticed_after_s
            if after_s is None or after_s > NOTICE_LIMIT_S:
                found.append(f"SIGTERM noticed after {after_s} s")
        elif not self.afterwards or not all(map(_is_served, self.afterwards)):
            found.append(f"afterwards: {describe_answers(self.afterwards)}")
        # The other ports take no uploads.
        if self.options.ports == (CALLERS_PORT,) and any(
            status != HTTP_STATUS_OK for status in self.upload_statuses
        ):
            found.append(f"uploads: {self.upload_statuses}")
        return found


def _is_served(answer: SoundAnswer) -> bool:
    is_ok = answer.status == HTTP_STATUS_OK
    return is_ok and answer.duration_s <= WORK_S + EXCESS_LIMIT_S


def run_endless_senders(options: SenderOptions) -> SenderReport:
    """Let senders send without end beside sound callers of one gateway.

    Parameters
    ----------
    options : SenderOptions
        What happens in the run.

    Returns
    -------
    SenderReport
        What was found.
    """
    fleet = GatewayFleet(
        gateway_count=1,
        work_s=WORK_S,
        servers_per_service=SERVERS_PER_SERVICE,
        slot_count=SLOT_COUNT,
        slow_share=0.0,
        timeout_s=TIMEOUT_S,
        endless_store_kind=options.kinds[0] if options.role == STORE else "",
    )
    with fleet:
        run = _SenderRun(fleet, options)
        try:
            run.play()
        finally:
            run.end_senders()
    return run.report


class _SenderRun:
    """One run: the senders, the callers and what was found."""

    __slots__ = ("_fleet", "_options", "_gateway", "_senders", "report")

    def __init__(self, fleet: GatewayFleet, options: SenderOptions) -> None:
        self._fleet = fleet
        self._options = options
        self._gateway = fleet.gateways[0]
        self._senders: list[subprocess.Popen] = []
        self.report = SenderReport(options)

    def play(self) -> None:
        """Send and call, then stop the gateway or let the senders end."""
        options, report = self._options, self.report
        address = self._gateway.address()
        sound_request, beside_request = ORDER, READ
        if options.role == CALLER and UNREAD_REQUESTS not in options.kinds:
            # Their uploads go to the servers of orders.
            sound_request, beside_request = READ, ORDER
        beside = SoundCallers(address, *beside_request, options.beside_count)
        sound = SoundCallers(address, *sound_request, options.sound_count)
        callers = (sound, beside)
        eventlet.sleep(WARM_UP_S)
        self._start_senders()
        began_s = time.monotonic()
        eventlet.sleep(options.duration_s)
        ended_s = time.monotonic()
        if options.stops:
            for each in callers:
                each.stop_sending()
            self._record_peak()
            report.noticed_after_s = self._stop_gateway()
        else:
            self.end_senders()
            self._record_peak()
            calm_s = time.monotonic() + RECOVERY_LIMIT_S
            eventlet.sleep(RECOVERY_LIMIT_S + CALM_S)
        for each in callers:
            each.stop_sending()
        for each in callers:
            each.wait()
        report.sound = sound.between(began_s, ended_s)
        report.beside = beside.between(began_s, ended_s)
        if not options.stops:
            report.afterwards = sound.between(calm_s) + beside.between(calm_s)

    def end_senders(self) -> None:
        """End the senders and read what their processes printed."""
        self._switch_stores(SWITCH_OFF_PATH)
        senders, self._senders = self._senders, []
        for sender in senders:
            sender.kill()
        for sender in senders:
            output, _ = sender.communicate()
            self.report.upload_statuses += map(int, output.split())

    def _start_senders(self) -> None:
        if self._options.role == STORE:
            self._switch_stores(SWITCH_ON_PATH)
            return
        for index in range(self._options.sender_count):
            command = [sys.executable, "-m", "standins.endless_sender"]
            self._senders.append(
                subprocess.Popen(
                    [*command, *self._arguments(index)],
                    stdout=subprocess.PIPE,
                    text=True,
                    process_group=0,
                )
            )
        for sender in self._senders:
            line = sender.stdout.readline().strip()
            if line != READY_LINE:
                raise RuntimeError(f"a sender printed {line!r} instead of being ready")

    def _arguments(self, index: int) -> list[str]:
        """Return the arguments of one of the senders."""
        options = self._options
        kind = options.kinds[index % len(options.kinds)]
        if options.role != CALLER:
            return [SERVER, options.role, kind, self._fleet.store, READS]
        port_index, path = PORTS[options.ports[index % len(options.ports)]]
        return [CALLER, self._gateway.address(port_index), kind, path]

    def _switch_stores(self, path: str) -> None:
        for store in self._fleet.endless_stores:
            urllib3.request("GET", f"http://{store}{path}")

    def _record_peak(self) -> None:
        """Record the highest resident memory of the gateway's process."""
        path = Path(f"/proc/{self._gateway.process.pid}/status")
        found = re.search(r"VmHWM:\s+(\d+) kB", path.read_text())
        self.report.peak_bytes = int(found[1]) * BYTES_PER_KIB

    def _stop_gateway(self) -> float | None:
        """Return the time from SIGTERM until the gateway tells that it is leaving."""
        signal_s = time.monotonic()
        self._gateway.process.send_signal(signal.SIGTERM)
        while time.monotonic() - signal_s < NOTICE_TIMEOUT_S:
            if self._is_leaving():
                return time.monotonic() - signal_s
            eventlet.sleep(POLL_S)
        return None

    def _is_leaving(self) -> bool:
        url = f"http://{self._gateway.address(1)}/ready"
        try:
            answer = urllib3.request("GET", url, retries=False, timeout=NOTICE_LIMIT_S)
        except urllib3.exceptions.HTTPError:
            return self._gateway.process.poll() is not None
        return answer.status != HTTP_STATUS_OK
