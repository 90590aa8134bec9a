"""The client: it locates, keeps, spreads, repeats, and tells the outcome.

It works in plain threads and in green threads alike, and uses no clock but the one
that it is given.
"""

import random
import secrets
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import urllib3

from berylhaven.client._attempt import Attempt, CallSpec, send_attempt
from berylhaven.client._call_result import CallResult
from berylhaven.client._located_entries import (
    EntryAddress,
    LocatedEntries,
    NoEntryInstanceAvailable,
    fetch_entries,
)
from berylhaven.results import (
    HomeUnknown,
    HomeUnreachable,
    Outcome,
    StillRunning,
)

OWN_PART_BYTES = 12
CONNECTIONS_PER_ENTRY = 32
TRIES_LIMIT = 8
BACKOFF_BASE_S = 0.02
BACKOFF_LIMIT_S = 1.0
# A repeat with the same id can learn more after these.
WORTH_REPEATING = frozenset(
    result.code.number for result in (HomeUnknown, HomeUnreachable, StillRunning)
)


@dataclass(slots=True, frozen=True)
class ClientSettings:
    """What a client needs to know."""

    # HOST:PORT of some entry instances, asked first.
    seed_addresses: tuple[str, ...]
    # Where the caller stands; None if nowhere in particular.
    data_centre: str | None = None
    # The longest time for a call and all its tries, in seconds.
    timeout_s: float = 2.0


class Client:
    """Calls services through entry instances.

    Parameters
    ----------
    settings : ClientSettings
        What it needs to know.
    clock : callable
        Returns a monotonic time in seconds.
    sleep : callable
        Waits so many seconds.
    source : random.Random or None
        The source of random numbers for spreading and waiting.
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
        self._http = urllib3.PoolManager(
            num_pools=64, maxsize=CONNECTIONS_PER_ENTRY, retries=False
        )
        self._located: dict[str, LocatedEntries] = {}

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
        """Call a service.

        Parameters
        ----------
        service : str
            The service's name.
        method : str
            The HTTP method.
        path : str
            Path and query at the backend server.
        body : bytes or None
            The body, held whole so that it can be sent again.
        headers : mapping or None
            Further headers.
        is_idempotent : bool
            Whether the call may run more than once; it must be so in the catalogue.
        timeout_s : float or None
            The longest time for all tries; None for that of the settings.

        Returns
        -------
        CallResult
            With the outcome; a failing network is no exception.
        """
        order = CallSpec(service, method, path, body, headers or {})
        timeout_s = self._settings.timeout_s if timeout_s is None else timeout_s
        tries = _Tries(self, order, is_idempotent, self._clock() + timeout_s)
        return tries.run()

    def entries(self, service: str) -> tuple[EntryAddress, ...]:
        """Return the entry instances to use for a service, the preferred ones first.

        Parameters
        ----------
        service : str
            The service's name.

        Returns
        -------
        tuple of EntryAddress
            The kept answer while it is valid; an old one if none can be had.

        Raises
        ------
        NoEntryInstanceAvailable
            If none was ever had.
        """
        kept = self._located.get(service)
        if kept is not None and self._clock() < kept.valid_until_s:
            return kept.entries
        for address in self._locate_addresses(kept):
            try:
                located = fetch_entries(
                    self._http,
                    address,
                    service,
                    self._settings.data_centre,
                    self._clock(),
                )
            except NoEntryInstanceAvailable:
                continue
            self._located[service] = located
            return located.entries
        if kept is not None:
            return kept.entries
        raise NoEntryInstanceAvailable(f"no entry instance answered for {service}")

    def invalidate(self, service: str) -> None:
        """Ask again before the next call, since the kept answer looks out of date."""
        kept = self._located.get(service)
        if kept is not None:
            self._located[service] = LocatedEntries(kept.entries, self._clock())

    def _locate_addresses(self, kept: LocatedEntries | None) -> list[str]:
        addresses = [entry.address for entry in kept.entries] if kept else []
        self._random.shuffle(addresses)
        seeds = list(self._settings.seed_addresses)
        self._random.shuffle(seeds)
        return list(dict.fromkeys(addresses + seeds))

    def randomized_order(self, entries: tuple[EntryAddress, ...]) -> list[EntryAddress]:
        """Return the entry instances in the order of their use for one call.

        Those of the preferred one's data centre come first, in random order, so that
        callers do not all use the same one.
        """
        near = [e for e in entries if e.data_centre == entries[0].data_centre]
        far = [e for e in entries if e.data_centre != entries[0].data_centre]
        self._random.shuffle(near)
        self._random.shuffle(far)
        return near + far


class _Tries:
    """The tries of one call."""

    def __init__(
        self,
        client: Client,
        order: CallSpec,
        is_idempotent: bool,
        deadline_s: float,
    ) -> None:
        self._client = client
        self._order = order
        self._is_idempotent = is_idempotent
        self._deadline_s = deadline_s
        self._count = 0
        self._order_of_use: list[EntryAddress] = []
        self._call_id = ""
        # What the tries with the present id, or with any id if idempotent, prove.
        self._may_have_run = False
        self._last: Attempt | None = None

    def run(self) -> CallResult:
        """Attempt until there is an end or no time is left."""
        try:
            self._begin_anew()
        except NoEntryInstanceAvailable:
            return self._result(Outcome.NOT_RUN)
        while True:
            entry = self._order_of_use[self._count % len(self._order_of_use)]
            remaining_s = self._deadline_s - self._client._clock()
            if remaining_s <= 0:
                return self._result(self._outcome())
            last = send_attempt(
                self._client._http,
                entry.address,
                self._order,
                self._call_id,
                remaining_s,
            )
            self._count += 1
            self._take_in(last)
            if self._is_final(last) or not self._wait(last):
                return self._result(self._outcome())

    def _begin_anew(self) -> None:
        """Take a new id, whose home is the next entry instance to be used."""
        self._look_around()
        home = self._order_of_use[self._count % len(self._order_of_use)]
        self._call_id = home.call_id_prefix + secrets.token_hex(OWN_PART_BYTES)

    def _look_around(self) -> None:
        """Take the entry instances that there are now, in a new random order."""
        entries = self._client.entries(self._order.service)
        self._order_of_use = self._client.randomized_order(entries)

    def _take_in(self, last: Attempt) -> None:
        self._last = last
        if last.outcome is Outcome.UNKNOWN:
            self._may_have_run = True
        if not last.was_sent or last.result_code is None:
            self._client.invalidate(self._order.service)
        if last.outcome is Outcome.NOT_RUN and last.was_sent:
            # Of what may run once, the home speaks for all requests with this id.
            self._may_have_run &= self._is_idempotent

    def _is_final(self, last: Attempt) -> bool:
        if last.outcome is Outcome.RUN:
            return True
        if last.outcome is Outcome.NOT_RUN:
            return last.was_sent and last.retry_after_s is None
        if last.result_code is None or self._is_idempotent:
            return False
        return last.result_code not in WORTH_REPEATING

    def _wait(self, last: Attempt) -> bool:
        """Wait before the next try; tell whether there is time for one."""
        bound_s = min(BACKOFF_LIMIT_S, BACKOFF_BASE_S * 2 ** min(self._count, 6))
        wait_s = self._client._random.uniform(0.0, bound_s)
        if last.was_sent and last.outcome is Outcome.NOT_RUN:
            wait_s += last.retry_after_s or 0.0
        if self._count >= TRIES_LIMIT:
            return False
        if self._client._clock() + wait_s >= self._deadline_s:
            return False
        self._client._sleep(wait_s)
        try:
            if self._is_idempotent:
                self._look_around()
            elif not self._may_have_run:
                # The id was not used or is proved not to have run, so that another
                # home may take the call.
                self._begin_anew()
        except NoEntryInstanceAvailable:
            return False
        return True

    def _outcome(self) -> Outcome:
        if self._last is not None and self._last.outcome is Outcome.RUN:
            return Outcome.RUN
        return Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN

    def _result(self, outcome: Outcome) -> CallResult:
        last = self._last
        return CallResult(
            outcome=outcome,
            result_code=last.result_code if last else None,
            status=last.status if last else None,
            headers=(last.headers if last else None) or {},
            body=last.body if last else None,
            call_id=self._call_id,
            attempt_count=self._count,
        )
