"""The state that the gateway keeps of one backend server."""

import dataclasses
import math
from dataclasses import dataclass
from typing import Protocol

from berylhaven.load_report import LoadReport
from berylhaven.overload import LimitShare

# Time constant: a failure has the weight 1/e after this time, so that a failed server
# is tried again.
FAILURE_DECAY_S = 3.0
# The weight of one attempt in the moving failure ratio.
FAILURE_WEIGHT = 0.25
# How long an unresponsive server is skipped before it is probed again: probing a
# stopped server delays a request by the probe's timeout.
UNRESPONSIVE_BACKOFF_S = 0.5
# How many times slower a server is just after its start; it reaches its normal speed
# gradually.
WARMUP_RATIO = 2.0


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """A backend server as the platform lists it."""

    # The id of the server, usually new with each start.
    server_id: str
    # The name of the service.
    service: str
    # The address as HOST:PORT.
    address: str
    # The data centre of the server.
    data_centre: str
    # The number of requests that it runs concurrently.
    slot_count: int
    # Whether it is draining and accepts no new requests.
    is_leaving: bool
    # The remaining warm-up time after its start, in seconds.
    warmup_left_s: float = 0.0
    # The Unix time of its start in milliseconds; 0 if unknown.
    started_at_ms: int = 0

    def is_older_run(self, other: "ServerEntry") -> bool:
        """Return whether this run of the server is known to have started earlier."""
        return 0 < self.started_at_ms < other.started_at_ms

    def is_same_run(self, other: "ServerEntry") -> bool:
        """Return whether both entries describe the same run of the server."""
        return (self.address, self.started_at_ms) == (
            other.address,
            other.started_at_ms,
        )


class WarmupAdmission(Protocol):
    """This instance's part of the rates of cold servers."""

    def warmup_s(self, service: str) -> float:
        """Return how long a server of a service is cold after its start, in seconds."""

    def limit_per_s(self, service: str) -> float:
        """Return the rate of each cold server of a service; 0 without a limit."""

    def wait_s(self, server: "ServerRecord", now_s: float) -> float:
        """Return the time until a request may be sent to a cold server, in seconds."""

    def record_send(self, server: "ServerRecord", now_s: float) -> None:
        """Record that a request is sent to a cold server."""

    def record_probe(self, server: "ServerRecord", now_s: float) -> None:
        """Record that a cold server was probed and not chosen."""


class ServerRecord:
    """A backend server with its load reports and failures.

    Parameters
    ----------
    entry : ServerEntry
        The entry that the platform lists.
    now_s : float
        The current time on the hub's clock, in seconds.
    admission : WarmupAdmission or None
        This instance's part of the rates of cold servers; None if there is no limit.
    """

    __slots__ = (
        "entry",
        "_admission",
        "warmup_share",
        "_says_leaving",
        "quiet_until_s",
        "held_until_s",
        "limit",
        "names_limit_in_probes",
        "first_seen_at_s",
        "warmup_end_s",
        "in_flight_count",
        "report",
        "reports_load",
        "_in_flight_at_report",
        "_failure_ratio",
        "_failure_at_s",
        "full_until_s",
        "is_unresponsive",
        "backoff_until_s",
    )

    def __init__(
        self,
        entry: ServerEntry,
        now_s: float,
        admission: WarmupAdmission | None = None,
    ) -> None:
        self.entry = entry
        self._admission = admission
        # This instance's turns while the server is cold; None before the first.
        self.warmup_share: LimitShare | None = None
        # Whether an answer of the server said that it is leaving.
        self._says_leaving = False
        # Until when nothing is sent to it because it asked for that.
        self.quiet_until_s = -math.inf
        # Until when nothing is sent to it because its run may have ended.
        self.held_until_s = -math.inf
        # This instance's share of the limit that the server names; None without one.
        self.limit: LimitShare | None = None
        # Whether its answers to probes name the limit too.
        self.names_limit_in_probes = False
        # When this run of the server was first listed, on the hub's clock.
        self.first_seen_at_s = now_s
        # When the server reaches its normal speed, on the hub's clock.
        self.warmup_end_s = now_s + entry.warmup_left_s
        # The number of requests from this instance that are not answered.
        self.in_flight_count = 0
        # The latest load report; None before the first.
        self.report: LoadReport | None = None
        # Whether its answers have load reports; if not, a probe would return no load
        # and might wait for a slot.
        self.reports_load = True
        self._in_flight_at_report = 0
        self._failure_ratio = 0.0
        self._failure_at_s = now_s
        # Until when it is treated as full because it refused a request.
        self.full_until_s = -math.inf
        # Whether the last probe was not answered in time and no load report came since.
        self.is_unresponsive = False
        # Until when other servers are probed first because it was unresponsive.
        self.backoff_until_s = -math.inf

    @property
    def is_leaving(self) -> bool:
        """Whether the server accepts no new requests."""
        return self.entry.is_leaving or self._says_leaving

    def record_leaving(self) -> bool:
        """Record that the server says it is leaving; return whether that is news."""
        is_news = not self.is_leaving
        self._says_leaving = True
        return is_news

    def reported_entry(self, now_s: float) -> ServerEntry:
        """Return the entry as peers should see it, leaving or cold if that is known."""
        left_s = self.entry.warmup_left_s
        if self.is_cold(now_s):
            left_s = self.warmup_end_s - now_s
        return dataclasses.replace(
            self.entry, is_leaving=self.is_leaving, warmup_left_s=left_s
        )

    def is_quiet(self, now_s: float) -> bool:
        """Return whether nothing may be sent to the server now."""
        return self.quiet_s(now_s) > 0

    def quiet_s(self, now_s: float) -> float:
        """Return for how long nothing may be sent to the server, in seconds."""
        paused_s = max(self.quiet_until_s, self.held_until_s) - now_s
        limited_s = self.limit.wait_s(now_s) if self.limit else 0.0
        return max(0.0, paused_s, limited_s, self.warmup_wait_s(now_s))

    def is_cold(self, now_s: float) -> bool:
        """Return whether the server is cold and takes a limited rate."""
        if self._admission is None or now_s >= self.warmup_end_s:
            return False
        return self._admission.limit_per_s(self.entry.service) > 0

    def warmup_wait_s(self, now_s: float) -> float:
        """Return for how long nothing may be sent because the server is cold."""
        if not self.is_cold(now_s):
            return 0.0
        return self._admission.wait_s(self, now_s)

    def record_send(self, now_s: float) -> None:
        """Record that a request is sent, in a turn if the server has a limit."""
        if self.limit is not None:
            self.limit.record_send()

        if self.is_cold(now_s):
            self._admission.record_send(self, now_s)

    def record_unused_probe(self, now_s: float) -> None:
        """Record that the server was probed and no request is sent to it."""
        if self.is_cold(now_s):
            self._admission.record_probe(self, now_s)

    def record_possible_cold(self, now_s: float) -> None:
        """Record that the server may have started now: it counts as cold.

        An answer may say otherwise later. Without a limit for cold servers, nothing
        changes.

        Parameters
        ----------
        now_s : float
            The current time on the hub's clock, in seconds.
        """
        if self._admission is None:
            return
        service = self.entry.service
        if self._admission.limit_per_s(service) > 0:
            end_s = now_s + self._admission.warmup_s(service)
            self.warmup_end_s = max(self.warmup_end_s, end_s)

    def record_warmup_left(self, left_s: float, now_s: float) -> None:
        """Record for how long the server says that it stays cold.

        Parameters
        ----------
        left_s : float
            The time, in seconds; 0 if it is warm.
        now_s : float
            The current time on the hub's clock, in seconds.
        """
        if self._admission is None:
            return
        if self._admission.limit_per_s(self.entry.service) > 0:
            self.warmup_end_s = now_s + left_s

    def hold(self, now_s: float, duration_s: float) -> None:
        """Send nothing to the server until its entry is written again, or for a time.

        Parameters
        ----------
        now_s : float
            The current time on the hub's clock, in seconds.
        duration_s : float
            The time, in seconds.
        """
        self.held_until_s = now_s + duration_s

    def end_hold(self, now_s: float) -> None:
        """Use the server again: its entry was written after the store was restored."""
        self.held_until_s = min(self.held_until_s, now_s)

    def record_quiet(self, now_s: float, duration_s: float) -> None:
        """Record that nothing may be sent to the server for a time.

        Parameters
        ----------
        now_s : float
            The current time on the hub's clock, in seconds.
        duration_s : float
            The time, in seconds.
        """
        self.quiet_until_s = max(self.quiet_until_s, now_s + duration_s)

    def update_entry(self, entry: ServerEntry, now_s: float) -> None:
        """Replace the entry by a newer one of the same run of the server.

        A run that was leaving stays so: its entry may be an old copy.

        Parameters
        ----------
        entry : ServerEntry
            The newer entry.
        now_s : float
            The current time on the hub's clock, in seconds.
        """
        if entry.warmup_left_s != self.entry.warmup_left_s:
            self.warmup_end_s = now_s + entry.warmup_left_s
        if self.entry.is_leaving and entry.started_at_ms:
            self._says_leaving = True
        self.entry = entry

    def record_report(self, report: LoadReport) -> None:
        """Record a load report, unless it is older than the latest one.

        Parameters
        ----------
        report : LoadReport
            The load report.
        """
        if self.report is None or report.received_at_s >= self.report.received_at_s:
            self.report = report
            self.reports_load = True
            self.is_unresponsive = False
            self._in_flight_at_report = self.in_flight_count

    def report_age_s(self, now_s: float) -> float:
        """Return the age of the latest report in seconds, infinite without one."""
        return math.inf if self.report is None else now_s - self.report.received_at_s

    @property
    def reported_count(self) -> int:
        """Requests at the server, running and queued, by the latest report."""
        if self.report is None:
            return 0
        return self.report.running_count + self.report.queued_count

    @property
    def occupied_count(self) -> int:
        """Requests at the server by the latest report and those sent since."""
        if self.report is None:
            return self.in_flight_count
        return max(
            0, self.reported_count + self.in_flight_count - self._in_flight_at_report
        )

    @property
    def slot_count(self) -> int:
        """The number of requests that the server runs concurrently."""
        if self.report is not None and self.report.slot_count:
            return self.report.slot_count
        return max(1, self.entry.slot_count)

    def warmup_ratio(self, now_s: float) -> float:
        """Return how many times slower the server is because of its warm-up."""
        return WARMUP_RATIO if now_s < self.warmup_end_s else 1.0

    def failure_ratio(self, now_s: float) -> float:
        """Return the recent share of failed attempts, which decays with time."""
        decay = math.exp((self._failure_at_s - now_s) / FAILURE_DECAY_S)
        return self._failure_ratio * decay

    def record_attempt(self, has_failed: bool, now_s: float) -> None:
        """Record the result of an attempt.

        Parameters
        ----------
        has_failed : bool
            Whether the attempt failed because of the server.
        now_s : float
            The current time on the hub's clock, in seconds.
        """
        ratio = self.failure_ratio(now_s)
        self._failure_ratio = ratio + FAILURE_WEIGHT * (float(has_failed) - ratio)
        self._failure_at_s = now_s

    def record_probe_failure(self, now_s: float) -> None:
        """Record that a probe was not answered in time, or by another server.

        Parameters
        ----------
        now_s : float
            The current time on the hub's clock, in seconds.
        """
        self.is_unresponsive = True
        self.backoff_until_s = now_s + UNRESPONSIVE_BACKOFF_S

    def record_refusal(self, now_s: float, backoff_s: float) -> None:
        """Record that the server refused a request because it was full.

        Parameters
        ----------
        now_s : float
            The current time on the hub's clock, in seconds.
        backoff_s : float
            How long to treat the server as full, in seconds.
        """
        self.full_until_s = now_s + backoff_s
