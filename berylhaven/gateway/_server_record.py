"""What the gateway knows of one backend server."""

import math
from dataclasses import dataclass

from berylhaven.load_report import LoadReport

# A failure counts for 1/e after this time, so that a server is tried again.
FAILURE_TRUST_S = 3.0
# The weight of one attempt in the failure ratio.
FAILURE_WEIGHT = 0.25
# How long a silent server is passed over before it is probed again: a probe of one
# that is gone holds a request up by the probe's timeout.
SILENCE_REST_S = 0.5
# A server that has just started works this many times slower at first, and comes to
# its usual speed step by step.
WARMUP_RATIO = 2.0


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """A backend server as the platform lists it."""

    # Its id, new with each start as a rule.
    server_id: str
    # The name of its service.
    service: str
    # HOST:PORT.
    address: str
    # The data centre in which it stands.
    data_centre: str
    # How many requests it runs at once.
    slot_count: int
    # Whether it takes no new requests.
    is_leaving: bool
    # How much longer it is slow after its start, in seconds.
    warmup_left_s: float = 0.0
    # The Unix time of its start in milliseconds; 0 if it did not say.
    started_at_ms: int = 0

    def is_same_run(self, other: "ServerEntry") -> bool:
        """Tell whether both tell of one run of the server."""
        return (self.address, self.started_at_ms) == (
            other.address,
            other.started_at_ms,
        )


class ServerRecord:
    """A backend server with its load and its failures.

    Parameters
    ----------
    entry : ServerEntry
        As the platform lists it.
    now_s : float
        The time on the hub's clock.
    """

    __slots__ = (
        "entry",
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

    def __init__(self, entry: ServerEntry, now_s: float) -> None:
        self.entry = entry
        # When this run of it was first heard of, on the hub's clock.
        self.first_seen_at_s = now_s
        # From when it works at its usual speed, on the hub's clock.
        self.warmup_end_s = now_s + entry.warmup_left_s
        # Requests that this instance has sent and that are not answered.
        self.in_flight_count = 0
        # The last load report; None before the first.
        self.report: LoadReport | None = None
        # Whether its answers bear its load; if not, a probe would tell nothing, and
        # might wait for a slot.
        self.reports_load = True
        self._in_flight_at_report = 0
        self._failure_ratio = 0.0
        self._failure_at_s = now_s
        # Until when it is taken as full, since it has just refused a request.
        self.full_until_s = -math.inf
        # Whether the last probe got no answer in time, and no report came since.
        self.is_unresponsive = False
        # Until when it is not probed again if there are others, since it was silent.
        self.backoff_until_s = -math.inf

    def update_entry(self, entry: ServerEntry, now_s: float) -> None:
        """Take in a newer entry of the same server.

        Parameters
        ----------
        entry : ServerEntry
            The newer entry.
        now_s : float
            The time on the hub's clock.
        """
        if entry.warmup_left_s != self.entry.warmup_left_s:
            self.warmup_end_s = now_s + entry.warmup_left_s
        self.entry = entry

    def record_report(self, report: LoadReport) -> None:
        """Take in a load report; an older one than the last is passed over.

        Parameters
        ----------
        report : LoadReport
            As received.
        """
        if self.report is None or report.received_at_s >= self.report.received_at_s:
            self.report = report
            self.reports_load = True
            self.is_unresponsive = False
            self._in_flight_at_report = self.in_flight_count

    def report_age_s(self, now_s: float) -> float:
        """Return the age of the last report in seconds, infinite without one."""
        return math.inf if self.report is None else now_s - self.report.received_at_s

    @property
    def occupied_count(self) -> int:
        """Requests at the server by the last report and by what was sent since."""
        if self.report is None:
            return self.in_flight_count
        reported = self.report.running_count + self.report.queued_count
        return max(0, reported + self.in_flight_count - self._in_flight_at_report)

    @property
    def slot_count(self) -> int:
        """How many requests the server runs at once."""
        if self.report is not None and self.report.slot_count:
            return self.report.slot_count
        return max(1, self.entry.slot_count)

    def warmup_ratio(self, now_s: float) -> float:
        """Return how many times slower it is for having just started."""
        return WARMUP_RATIO if now_s < self.warmup_end_s else 1.0

    def failure_ratio(self, now_s: float) -> float:
        """Return the recent share of failed attempts, which fades with time."""
        fading = math.exp((self._failure_at_s - now_s) / FAILURE_TRUST_S)
        return self._failure_ratio * fading

    def record_attempt(self, has_failed: bool, now_s: float) -> None:
        """Take in how an attempt ended.

        Parameters
        ----------
        has_failed : bool
            Whether the server is to blame for a failure.
        now_s : float
            The time on the hub's clock.
        """
        ratio = self.failure_ratio(now_s)
        self._failure_ratio = ratio + FAILURE_WEIGHT * (float(has_failed) - ratio)
        self._failure_at_s = now_s

    def record_probe_failure(self, now_s: float) -> None:
        """Take in that a probe got no answer in time, or that of another server.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        """
        self.is_unresponsive = True
        self.backoff_until_s = now_s + SILENCE_REST_S

    def record_refusal(self, now_s: float, rest_s: float) -> None:
        """Take in that the server was full.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.
        rest_s : float
            How long to take it as full, in seconds.
        """
        self.full_until_s = now_s + rest_s
