"""The demonstration's callers: they use the library for callers, in threads."""

import collections
import itertools
import random
import threading
import time
from dataclasses import dataclass

import orjson

from berylhaven.client import CallResult, Client, ClientSettings
from berylhaven.results import Outcome
from standins.fleet import HOST, EntryProcess, FleetShape, ServiceShape

# Callers and the longest pause between their calls, by class.
CALLER_COUNTS = {"interactive": 4, "transaction": 2, "bulk": 1}
PAUSE_S = {"interactive": 0.03, "transaction": 0.04, "bulk": 0.2}
UPLOAD_BYTES = 200_000
TRANSACTION_BYTES = 200
RECORDS_KEPT = 500_000


@dataclass(slots=True, frozen=True)
class CallRecord:
    """How one call of the demonstration ended."""

    # The service called.
    service: str
    # Whether the catalogue calls it idempotent.
    is_idempotent: bool
    # The id of the last try.
    call_id: str
    # From before the first try to the whole answer.
    duration_s: float
    # What the caller was told.
    outcome: Outcome
    # The number of the last result; None if nobody answered.
    result: int | None
    # Whether a backend server's whole answer came.
    is_answered: bool
    # Whether that answer is not the one to this call, or not whole.
    is_foreign: bool


class DemoCallers:
    """Threads that call the services of both firms.

    Parameters
    ----------
    shape : FleetShape
        With the services.
    entries : list of EntryProcess
        The entry instances, asked for addresses.
    stopping : threading.Event
        Ends the callers.
    """

    def __init__(
        self,
        shape: FleetShape,
        entries: list[EntryProcess],
        stopping: threading.Event,
    ) -> None:
        # The calls that ended, the oldest dropped in a very long run.
        self.records: collections.deque[CallRecord] = collections.deque(
            maxlen=RECORDS_KEPT
        )
        self._stopping = stopping
        self._numbers = itertools.count(1)
        self._seeds = tuple(f"{HOST}:{entry.ports[0]}" for entry in entries)
        self._threads = [
            threading.Thread(target=self._call_on, args=(service, index), daemon=True)
            for service in shape.services
            for index in range(CALLER_COUNTS[service.call_class])
        ]

    def start(self) -> None:
        """Begin to call."""
        for thread in self._threads:
            thread.start()

    def join(self) -> None:
        """Wait until the calls in flight have ended."""
        for thread in self._threads:
            thread.join()

    def _call_on(self, service: ServiceShape, index: int) -> None:
        source = random.Random(f"{service.name} {index}")
        data_centre = f"{service.firm}-{index % 3 + 1}"
        client = Client(ClientSettings(self._seeds, data_centre))
        while not self._stopping.is_set():
            self.records.append(self._call(client, service))
            self._stopping.wait(source.uniform(0, PAUSE_S[service.call_class]))

    def _call(self, client: Client, service: ServiceShape) -> CallRecord:
        path = f"/item/{next(self._numbers)}"
        method, body = _request(service.call_class)
        started_s = time.monotonic()
        result = client.call(
            service.name, method, path, body, is_idempotent=method == "GET"
        )
        return CallRecord(
            service.name,
            method == "GET",
            result.call_id,
            time.monotonic() - started_s,
            result.outcome,
            result.result,
            result.is_answered,
            result.is_answered and _is_foreign(result, path, len(body or b"")),
        )


def _request(call_class: str) -> tuple[str, bytes | None]:
    if call_class == "interactive":
        return "GET", None
    size = UPLOAD_BYTES if call_class == "bulk" else TRANSACTION_BYTES
    return "POST", b"x" * size


def _is_foreign(result: CallResult, path: str, body_bytes: int) -> bool:
    try:
        document = orjson.loads(result.body)
    except ValueError:
        return True
    return (
        document.get("path") != path
        or document.get("call_id") != result.call_id
        or document.get("body_bytes") != body_bytes
    )
