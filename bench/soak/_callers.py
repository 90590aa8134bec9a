"""The callers of a soak: threads that make mixed calls through the client."""

import random
import threading

from bench.soak._verdict import EndedCall
from berylhaven.client import Client, ClientSettings

TIMEOUT_S = 2.0
PAUSE_LIMIT_S = 0.02
LARGE_BODY_BYTES = 150_000
UPLOAD_SHARE_RATIO = 0.05


class Callers:
    """Threads that call until they are told to stop.

    Parameters
    ----------
    addresses : tuple of str
        HOST:PORT of the entry instances.
    services : tuple of str
        The services; GET is idempotent in each.
    thread_count : int
        How many calls are in flight at once.
    seed : int
        Decides which calls are made.
    """

    def __init__(
        self,
        addresses: tuple[str, ...],
        services: tuple[str, ...],
        thread_count: int,
        seed: int,
    ) -> None:
        self._client = Client(ClientSettings(addresses, timeout_s=TIMEOUT_S))
        self._services = services
        self._stopping = threading.Event()
        # All calls that have ended.
        self.calls: list[EndedCall] = []
        self._threads = [
            threading.Thread(target=self._call_on, args=(random.Random(seed + index),))
            for index in range(thread_count)
        ]

    def start(self) -> None:
        """Begin to call."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Begin no further calls and wait for those in flight."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _call_on(self, source: random.Random) -> None:
        while not self._stopping.is_set():
            self.calls.append(self._call(source))
            self._stopping.wait(source.uniform(0, PAUSE_LIMIT_S))

    def _call(self, source: random.Random) -> EndedCall:
        service = source.choice(self._services)
        is_idempotent = source.random() < 0.5
        if is_idempotent:
            result = self._client.call(service, "GET", "/item", is_idempotent=True)
            return EndedCall(result, True, 0)
        body = b"x" * source.randrange(200)
        if source.random() < UPLOAD_SHARE_RATIO:
            body = b"x" * LARGE_BODY_BYTES
        result = self._client.call(service, "POST", "/item", body)
        return EndedCall(result, False, len(body))
