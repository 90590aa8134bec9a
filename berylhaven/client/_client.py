"""The client: locates entry instances, spreads calls over them and retries.

It works in operating-system threads and in green threads, and reads no clock but the
one passed in.
"""

import random
import secrets
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from berylhaven.client._attempt import Attempt, CallSpec, send_attempt
from berylhaven.client._bounded_http import create_http
from berylhaven.client._call_result import CallResult
from berylhaven.client._located_entries import (
    EntryAddress,
    LocatedEntries,
    NoEntryInstance,
    fetch_entries,
)
from berylhaven.results import (
    HomeInstanceUnknown,
    HomeInstanceUnreachable,
    Outcome,
    StillRunning,
)

CALL_ID_RANDOM_BYTES = 12
CONNECTIONS_PER_ENTRY = 32
ATTEMPT_LIMIT = 8
BACKOFF_BASE_S = 0.02
BACKOFF_LIMIT_S = 1.0
# After these, a retry with the same call id can settle whether the call ran.
RETRYABLE_RESULT_CODES = frozenset(
    result.code.number
    for result in (HomeInstanceUnknown, HomeInstanceUnreachable, StillRunning)
)


@dataclass(slots=True, frozen=True)
class ClientSettings:
    """The settings of a client."""

    # HOST:PORT of some entry instances, which locate the others.
    seed_addresses: tuple[str, ...]
    # The data centre that the caller runs in; None if unspecified.
    data_centre: str | None = None
    # The time limit for a call with all its attempts, in seconds.
    timeout_s: float = 2.0
    # The largest body of an answer, in bytes. A larger one is not received: the call
    # ran, and its result has no body.
    answer_limit_bytes: int = 32_000_000


class Client:
    """Calls services through entry instances.

    Parameters
    ----------
    settings : ClientSettings
        Seed addresses, data centre and time limit.
    clock : callable
        Returns a monotonic time in seconds.
    sleep : callable
        Waits for the given number of seconds.
    source : random.Random or None
        The source of random numbers for spreading calls and for backoff.
    """

    def __init__(
        self,
        settings: ClientSettings,
        clock: Callable[[], float] = time.monotonic,
        sleep: Callable[[float], None] = time.sleep,
        source: random.Random | None = None,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._sleep = sleep
        self._random = source or random.Random()
        self._http = create_http(CONNECTIONS_PER_ENTRY)
        self._located_by_service: dict[str, LocatedEntries] = {}

    def call(
        self,
        service: str,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        is_idempotent: bool = False,
        timeout_s: float | None = None,
    ) -> CallResult:
        """Call a service, with retries until the time limit.

        Parameters
        ----------
        service : str
            The name of the service.
        method : str
            The HTTP method.
        path : str
            The path and query at the backend server.
        body : bytes or None
            The complete body, so that it can be sent again; None for no body.
        headers : mapping or None
            Headers in addition to those that the client sets.
        is_idempotent : bool
            Whether the call may run more than once; the catalogue must declare it
            idempotent.
        timeout_s : float or None
            The time limit for all attempts, in seconds; None for that of the
            settings.

        Returns
        -------
        CallResult
            The outcome and the answer; network errors are not raised.
        """
        spec = CallSpec(service, method, path, body, headers or {})
        timeout_s = self._settings.timeout_s if timeout_s is None else timeout_s
        execution = _CallExecution(self, spec, is_idempotent, self._clock() + timeout_s)
        return execution.run()

    def entries(self, service: str) -> tuple[EntryAddress, ...]:
        """Return the entry instances to use for a service, preferred ones first.

        Parameters
        ----------
        service : str
            The name of the service.

        Returns
        -------
        tuple of EntryAddress
            The cached locate answer while it is valid, or else a new one; the expired
            one if no entry instance answers.

        Raises
        ------
        NoEntryInstance
            If no entry instance answers and no answer is cached.
        """
        cached = self._located_by_service.get(service)
        if cached is not None and self._clock() < cached.valid_until_s:
            return cached.entries
        for address in self._locate_request_addresses(cached):
            try:
                located = fetch_entries(
                    self._http,
                    address,
                    service,
                    self._settings.data_centre,
                    self._clock(),
                )
            except NoEntryInstance:
                continue
            self._located_by_service[service] = located
            return located.entries
        if cached is not None:
            return cached.entries
        raise NoEntryInstance(
            f'no entry instance answered a locate request for service "{service}"'
        )

    def forget(self, service: str) -> None:
        """Mark the cached locate answer as expired, so that the next call renews it."""
        cached = self._located_by_service.get(service)
        if cached is not None:
            self._located_by_service[service] = LocatedEntries(
                cached.entries, self._clock()
            )

    def _locate_request_addresses(self, cached: LocatedEntries | None) -> list[str]:
        addresses = [entry.address for entry in cached.entries] if cached else []
        self._random.shuffle(addresses)
        seeds = list(self._settings.seed_addresses)
        self._random.shuffle(seeds)
        return list(dict.fromkeys(addresses + seeds))

    def spread(self, entries: tuple[EntryAddress, ...]) -> list[EntryAddress]:
        """Return the entry instances in the order in which one call uses them.

        Those of the data centre of the first one come first. The order within each
        group is random, so that callers do not all use the same instance.
        """
        local = [e for e in entries if e.data_centre == entries[0].data_centre]
        remote = [e for e in entries if e.data_centre != entries[0].data_centre]
        self._random.shuffle(local)
        self._random.shuffle(remote)
        return local + remote


class _CallExecution:
    """The attempts of one call."""

    def __init__(
        self,
        client: Client,
        spec: CallSpec,
        is_idempotent: bool,
        deadline_s: float,
    ) -> None:
        self._client = client
        self._spec = spec
        self._is_idempotent = is_idempotent
        self._deadline_s = deadline_s
        self._attempt_count = 0
        self._entry_order: list[EntryAddress] = []
        self._call_id = ""
        # Whether an attempt with the current call id may have run; if the call is
        # idempotent, an attempt with any call id.
        self._may_have_run = False
        self._last_attempt: Attempt | None = None

    def run(self) -> CallResult:
        """Send attempts until one is final, or the time or the attempts are used up."""
        try:
            self._assign_call_id()
        except NoEntryInstance:
            return self._result(Outcome.NOT_RUN)
        while True:
            entry = self._entry_order[self._attempt_count % len(self._entry_order)]
            remaining_s = self._deadline_s - self._client._clock()
            if remaining_s <= 0:
                return self._result(self._outcome())
            last = send_attempt(
                self._client._http,
                entry.address,
                self._spec,
                self._call_id,
                remaining_s,
                self._client._settings.answer_limit_bytes,
            )
            self._attempt_count += 1
            self._record_attempt(last)
            if self._is_final(last) or not self._wait_for_retry(last):
                return self._result(self._outcome())

    def _assign_call_id(self) -> None:
        """Assign a new call id whose home instance is the entry instance used next."""
        self._refresh_entries()
        home_instance = self._entry_order[self._attempt_count % len(self._entry_order)]
        self._call_id = home_instance.call_id_prefix + secrets.token_hex(
            CALL_ID_RANDOM_BYTES
        )

    def _refresh_entries(self) -> None:
        """Update the entry instances and put them in a new random order."""
        entries = self._client.entries(self._spec.service)
        self._entry_order = self._client.spread(entries)

    def _record_attempt(self, last: Attempt) -> None:
        self._last_attempt = last
        if last.outcome is Outcome.UNKNOWN:
            self._may_have_run = True
        if not last.was_sent or last.result is None:
            self._client.forget(self._spec.service)
        if last.outcome is Outcome.NOT_RUN and last.was_sent:
            # For a call that may run at most once, the answer of the home instance
            # covers all attempts with this call id.
            self._may_have_run &= self._is_idempotent

    def _is_final(self, last: Attempt) -> bool:
        if last.outcome is Outcome.RUN:
            return True
        if last.outcome is Outcome.NOT_RUN:
            return last.was_sent and last.retry_after_s is None
        if last.result is None or self._is_idempotent:
            return False
        return last.result not in RETRYABLE_RESULT_CODES

    def _wait_for_retry(self, last: Attempt) -> bool:
        """Wait before the next attempt; return whether one is possible."""
        bound_s = min(
            BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2 ** min(self._attempt_count, 6)
        )
        wait_s = self._client._random.uniform(0.0, bound_s)
        if last.was_sent and last.outcome is Outcome.NOT_RUN:
            wait_s += last.retry_after_s or 0.0
        if self._attempt_count >= ATTEMPT_LIMIT:
            return False
        if self._client._clock() + wait_s >= self._deadline_s:
            return False
        self._client._sleep(wait_s)
        try:
            if self._is_idempotent:
                self._refresh_entries()
            elif not self._may_have_run:
                # No attempt with this call id ran, so that the call may get another
                # home instance.
                self._assign_call_id()
        except NoEntryInstance:
            return False
        return True

    def _outcome(self) -> Outcome:
        if self._last_attempt is not None and self._last_attempt.outcome is Outcome.RUN:
            return Outcome.RUN
        return Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN

    def _result(self, outcome: Outcome) -> CallResult:
        last = self._last_attempt
        return CallResult(
            outcome=outcome,
            result=last.result if last else None,
            status=last.status if last else None,
            headers=(last.headers if last else None) or {},
            body=last.body if last else None,
            call_id=self._call_id,
            try_count=self._attempt_count,
        )
