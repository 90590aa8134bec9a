"""The callers of the demonstration: threads that use the client library."""

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

# The number of callers and the longest pause between their calls, by call class.
CALLER_COUNTS = {"interactive": 4, "transaction": 2, "bulk": 1}
LONGEST_PAUSE_S = {"interactive": 0.03, "transaction": 0.04, "bulk": 0.2}
UPLOAD_BYTES = 200_000
TRANSACTION_BYTES = 200
RECORD_LIMIT = 500_000


@dataclass(slots=True, frozen=True)
class CallRecord:
    """The outcome of one call of the demonstration."""

    # The service called.
    service: str
    # Whether the call is idempotent according to the catalogue.
    is_idempotent: bool
    # The call id of the last attempt.
    call_id: str
    # The time from before the first attempt to the complete answer.
    duration_s: float
    # The outcome that was reported to the caller.
    outcome: Outcome
    # The code of the last result; None if no instance answered.
    result: int | None
    # Whether a complete answer of a backend server was received.
    is_answered: bool
    # Whether that answer belongs to another call or is truncated.
    is_foreign: bool


class DemoCallers:
    """Threads that call the services of both firms.

    Parameters
    ----------
    shape : FleetShape
        The configuration of the fleet, with the services to call.
    entries : list of EntryProcess
        The entry instances to send locate requests to.
    stopping : threading.Event
        Stops the callers when it is set.
    """

    def __init__(
        self,
        shape: FleetShape,
        entries: list[EntryProcess],
        stopping: threading.Event,
    ) -> None:
        # The calls that ended; beyond RECORD_LIMIT the oldest are dropped.
        self.records: collections.deque[CallRecord] = collections.deque(
            maxlen=RECORD_LIMIT
        )
        self._stopping = stopping
        self._numbers = itertools.count(1)
        self._seeds = tuple(f"{HOST}:{entry.ports[0]}" for entry in entries)
        self._threads = [
            threading.Thread(
                target=self._call_repeatedly, args=(service, index), daemon=True
            )
            for service in shape.services
            for index in range(CALLER_COUNTS[service.call_class])
        ]

    def start(self) -> None:
        """Start the callers."""
        for thread in self._threads:
            thread.start()

    def join(self) -> None:
        """Wait until the calls in flight have ended."""
        for thread in self._threads:
            thread.join()

    def _call_repeatedly(self, service: ServiceShape, index: int) -> None:
        source = random.Random(f"{service.name} {index}")
        data_centre = f"{service.firm}-{index % 3 + 1}"
        client = Client(ClientSettings(self._seeds, data_centre))
        while not self._stopping.is_set():
            self.records.append(self._call(client, service))
            self._stopping.wait(source.uniform(0, LONGEST_PAUSE_S[service.call_class]))

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
