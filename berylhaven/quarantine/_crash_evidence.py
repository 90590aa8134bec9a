"""Which requests are held because servers ended under them.

Load pattern: a request crashes every server that begins to run it, and its caller
sends it again at any instance. Each send takes a server, and with it the other requests
there, so that a service runs out of servers within seconds. When a server ends, all
requests that it was running are suspects, most of them innocent.

All functions are free of input and output. Merging is commutative and idempotent:
instances that were told the same observations hold the same requests.
"""

import math
import zlib
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

# The number of ended servers from which a request is held.
HOLD_RUN_COUNT = 3
# Servers that end within this time of each other probably have one cause, such as a
# loss of power, and count once.
COINCIDENCE_MS = 50
# The time from the last end until the request is tried again, once in the whole fleet:
# by the number of ends beyond the first three. An innocent request is cleared by the
# first trial; one that crashes gets few of them, each of which costs a server.
TRIAL_DELAYS_S = (10.0, 300.0, 3_600.0, 86_400.0)
# Observations older than this are dropped.
RETENTION_S = 86_400.0
# A request that was answered completely within this time before a server ended, or
# since, is not the cause.
ANSWER_VALIDITY_S = 10.0
# The most fingerprints with observations; the ones with the fewest strikes are dropped.
FINGERPRINTS_LIMIT = 1_024
# The most strikes that are kept of one fingerprint, the youngest ones.
STRIKES_LIMIT = 16
# The most fingerprints of recently answered requests.
RECENT_ANSWERS_LIMIT = 1_024


@dataclass(slots=True, frozen=True)
class Strike:
    """A run of a server ended while a request was there."""

    # The fingerprint of the request.
    fingerprint: str
    # Identifies the run of the server.
    server_run: str
    # The id of the request, or an empty string.
    request_id: str
    # When the run ended, in Unix milliseconds of the instance that saw it: unlike an
    # age, it is the same wherever the strike is told.
    ended_at_ms: int


@dataclass(slots=True, frozen=True)
class Answered:
    """A request was answered completely."""

    # The fingerprint of the request.
    fingerprint: str


Observation = Strike | Answered


@dataclass(slots=True, frozen=True)
class Hold:
    """Why and for how long a request is not sent to servers."""

    # The number of times at which servers ended under the request.
    run_count: int
    # How long ago the last of them ended, in seconds.
    age_s: float
    # The time until the next trial, in seconds; not positive if one is due.
    remaining_s: float


@dataclass(slots=True)
class _Record:
    """The observations of one fingerprint."""

    # When each strike occurred, on the hub's clock.
    strikes: dict[Strike, float] = field(default_factory=dict)
    # When the request was last known to be answered; None if never.
    answered_at_s: float | None = None
    # The digest of the observations; None until it is computed again.
    digest: int | None = None

    def runs(self) -> set[str]:
        """Return the runs of servers that ended under the request."""
        return {strike.server_run for strike in self.strikes}

    def is_void(self, occurred_at_s: float) -> bool:
        """Return whether an answer shows that a strike has another cause."""
        answered_at_s = self.answered_at_s
        if answered_at_s is None:
            return False
        return occurred_at_s <= answered_at_s + ANSWER_VALIDITY_S

    def observations(self, fingerprint: str) -> Iterable[tuple[Observation, float]]:
        """Yield the observations and when they were made, on the hub's clock."""
        yield from self.strikes.items()
        if self.answered_at_s is not None:
            yield Answered(fingerprint), self.answered_at_s

    def update_digest(self, fingerprint: str) -> None:
        """Compute the digest, which all records together need after each change."""
        self.digest = 0
        for observation, _ in self.observations(fingerprint):
            self.digest ^= zlib.crc32(repr(observation).encode())

    def drop_void(self) -> None:
        """Drop the strikes that have another cause, and the oldest beyond the limit."""
        kept = [(s, at_s) for s, at_s in self.strikes.items() if not self.is_void(at_s)]
        kept.sort(key=lambda entry: (entry[1], entry[0].server_run), reverse=True)
        self.strikes = dict(kept[:STRIKES_LIMIT])
        self.digest = None


class CrashEvidence:
    """The observations of all instances, and the decision which requests are held."""

    __slots__ = ("_records", "_recent_answers", "_digest", "_likeliest_causes")

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        # When requests without strikes were answered, the oldest first.
        self._recent_answers: OrderedDict[str, float] = OrderedDict()
        # Derived from the records; None until it is computed again.
        self._digest: int | None = 0
        self._likeliest_causes: dict[str, tuple[int, str | None]] | None = {}

    def merge(
        self, observation: Observation, occurred_at_s: float
    ) -> list[Observation]:
        """Add an observation of this instance or of another one.

        Parameters
        ----------
        observation : Strike or Answered
            The observation.
        occurred_at_s : float
            When it was made, on the hub's clock.

        Returns
        -------
        list of Strike or Answered
            What other instances may not know yet; empty if it changes nothing.
        """
        if isinstance(observation, Answered):
            return self._merge_answer(observation.fingerprint, occurred_at_s)
        return self._merge_strike(observation, occurred_at_s)

    def record_answer(self, fingerprint: str, now_s: float) -> list[Observation]:
        """Record that this instance got a complete answer to a request.

        Returns
        -------
        list of Strike or Answered
            The answer, if strikes are known that it makes void.
        """
        self._recent_answers[fingerprint] = now_s
        self._recent_answers.move_to_end(fingerprint)
        if len(self._recent_answers) > RECENT_ANSWERS_LIMIT:
            self._recent_answers.popitem(last=False)
        record = self._records.get(fingerprint)
        if record is None or not record.strikes:
            return []
        return self._merge_answer(fingerprint, now_s)

    def _merge_answer(
        self, fingerprint: str, occurred_at_s: float
    ) -> list[Observation]:
        record = self._record(fingerprint)
        if record.answered_at_s is None or occurred_at_s > record.answered_at_s:
            strike_count = len(record.strikes)
            is_new = record.answered_at_s is None
            record.answered_at_s = occurred_at_s
            record.drop_void()
            self._forget_derived()
            if is_new or len(record.strikes) < strike_count:
                return [Answered(fingerprint)]
        return []

    def _merge_strike(self, strike: Strike, occurred_at_s: float) -> list[Observation]:
        record = self._record(strike.fingerprint)
        news: list[Observation] = []
        answered_at_s = self._recent_answers.get(strike.fingerprint)
        if answered_at_s is not None:
            news = self._merge_answer(strike.fingerprint, answered_at_s)
        if record.is_void(occurred_at_s):
            return news
        known_at_s = record.strikes.get(strike)
        if known_at_s is not None and occurred_at_s <= known_at_s:
            return news
        record.strikes[strike] = occurred_at_s
        record.drop_void()
        self._forget_derived()
        if known_at_s is None and strike in record.strikes:
            news.append(strike)
        return news

    def _record(self, fingerprint: str) -> _Record:
        record = self._records.get(fingerprint)
        if record is None:
            if len(self._records) >= FINGERPRINTS_LIMIT:
                del self._records[min(self._records, key=self._retention_key)]
                self._forget_derived()
            record = self._records[fingerprint] = _Record()
        return record

    def _forget_derived(self) -> None:
        self._digest = None
        self._likeliest_causes = None

    def _retention_key(self, fingerprint: str) -> tuple[int, float]:
        strikes = self._records[fingerprint].strikes
        return len(strikes), max(strikes.values(), default=0.0)

    def drop_expired(self, now_s: float) -> None:
        """Drop what is older than the retention time."""
        oldest_s = now_s - RETENTION_S
        for fingerprint, record in list(self._records.items()):
            times_s = list(record.strikes.values())
            if record.answered_at_s is not None:
                times_s.append(record.answered_at_s)
            if max(times_s, default=oldest_s) <= oldest_s:
                del self._records[fingerprint]
                self._forget_derived()

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a server has ended under a request."""
        record = self._records.get(fingerprint)
        return record is not None and bool(record.strikes)

    def has_run(self, fingerprint: str, request_id: str) -> bool:
        """Return whether a request with this very id was at a server that ended."""
        record = self._records.get(fingerprint)
        return record is not None and any(
            strike.request_id == request_id for strike in record.strikes
        )

    def hold(self, fingerprint: str, now_s: float) -> Hold | None:
        """Return the hold of a request, or None if it may be sent.

        Parameters
        ----------
        fingerprint : str
            The fingerprint of the request.
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        Hold or None
            None while too few servers ended under it.
        """
        record = self._records.get(fingerprint)
        if record is None or len(record.strikes) < HOLD_RUN_COUNT:
            return None
        run_count = self._count_ends(fingerprint)
        if run_count < HOLD_RUN_COUNT:
            return None
        age_s = now_s - max(record.strikes.values())
        extra_count = min(run_count - HOLD_RUN_COUNT, len(TRIAL_DELAYS_S) - 1)
        return Hold(run_count, age_s, TRIAL_DELAYS_S[extra_count] - age_s)

    def held_count(self, now_s: float) -> int:
        """Return the number of requests that are held."""
        return sum(self.hold(f, now_s) is not None for f in self._records)

    def _count_ends(self, fingerprint: str) -> int:
        runs = self._attributed_runs(fingerprint)
        ended_at_ms: dict[str, int] = {}
        for strike in self._records[fingerprint].strikes:
            if strike.server_run in runs:
                known_at_ms = ended_at_ms.get(strike.server_run, strike.ended_at_ms)
                ended_at_ms[strike.server_run] = min(known_at_ms, strike.ended_at_ms)
        count = 0
        counted_at_ms = -math.inf
        for at_ms in sorted(ended_at_ms.values()):
            if at_ms - counted_at_ms > COINCIDENCE_MS:
                count += 1
                counted_at_ms = at_ms
        return count

    def _attributed_runs(self, fingerprint: str) -> set[str]:
        """Return the ended runs of which no other request is as likely the cause.

        The likelier cause of an end is the request under which more servers ended.
        """
        if self._likeliest_causes is None:
            self._likeliest_causes = self._find_likeliest_causes()
        causes = self._likeliest_causes
        runs = self._records[fingerprint].runs()
        return {run for run in runs if causes[run] == (len(runs), fingerprint)}

    def _find_likeliest_causes(self) -> dict[str, tuple[int, str | None]]:
        """Return the highest count of ends, and whose it is if it is of one request."""
        causes: dict[str, tuple[int, str | None]] = {}
        for fingerprint, record in self._records.items():
            runs = record.runs()
            for run in runs:
                highest = causes.get(run, (0, None))[0]
                if len(runs) > highest:
                    causes[run] = (len(runs), fingerprint)
                elif len(runs) == highest:
                    causes[run] = (highest, None)
        return causes

    def observations(self) -> Iterable[tuple[Observation, float]]:
        """Yield all observations and when they were made, on the hub's clock."""
        for fingerprint, record in self._records.items():
            yield from record.observations(fingerprint)

    @property
    def digest(self) -> int:
        """A number that is the same on instances that know the same observations."""
        if self._digest is None:
            self._digest = 0
            for fingerprint, record in self._records.items():
                if record.digest is None:
                    record.update_digest(fingerprint)
                self._digest ^= record.digest
        return self._digest
