"""The callers of a soak: threads that send mixed calls through the client."""

import random
import threading

from bench.soak._verdict import EndedCall
from berylhaven.client import Client, ClientSettings

TIMEOUT_S = 2.0
PAUSE_LIMIT_S = 0.02
LARGE_BODY_BYTES = 150_000
LARGE_BODY_RATIO = 0.05


class Callers:
    """Threads that send calls until they are stopped.

    Parameters
    ----------
    addresses : tuple of str
        HOST:PORT of each entry instance.
    services : tuple of str
        The names of the services; GET is idempotent in each.
    thread_count : int
        The number of threads, each with one call in flight.
    seed : int
        The seed of the choice of calls.
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
        # All calls that have ended, in no particular order.
        self.calls: list[EndedCall] = []
        self._threads = [
            threading.Thread(
                target=self._send_calls, args=(random.Random(seed + index),)
            )
            for index in range(thread_count)
        ]

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Start no further calls and wait for those in flight."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _send_calls(self, source: random.Random) -> None:
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
        if source.random() < LARGE_BODY_RATIO:
            body = b"x" * LARGE_BODY_BYTES
        result = self._client.call(service, "POST", "/item", body)
        return EndedCall(result, False, len(body))
