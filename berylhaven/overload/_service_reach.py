"""Whether an instance reaches the servers of a service.

Load pattern: some instances, up to all of a data centre, lose their links to the
servers while callers and the other instances still reach them. Each request would wait
for the connection timeouts of its attempts, and be refused then, although the other
instances could serve it. A single server that fails is no such cut, nor are a few.
"""

import enum
import math
from collections.abc import Collection

# With so many servers that don't answer, and none that does, no server is reached.
MIN_SILENT_COUNT = 3
# For how long they must not have answered.
DETECTION_S = 0.25
# A server that is not tried counts as silent for this time.
SILENCE_VALIDITY_S = 3.0
# From this share of silent servers on, few are reached.
FEW_SILENT_RATIO = 0.5


class Reach(enum.Enum):
    """How many servers of a service answer an instance."""

    # All, as far as known, or all but some.
    MOST = "most"
    # Half of them or fewer.
    FEW = "few"
    # None.
    NONE = "none"


class ServiceReach:
    """What is known from attempts and probes about the servers of one service."""

    __slots__ = ("_silent_at_s", "_answered_at_s", "_failing_since_s")

    def __init__(self) -> None:
        # When each server without an answer since then failed last.
        self._silent_at_s: dict[str, float] = {}
        # When the last answer of any server was received.
        self._answered_at_s = -math.inf
        # When the first server failed after that answer; None if none has.
        self._failing_since_s: float | None = None

    def record_answer(self, server_id: str, now_s: float) -> None:
        """Record that a server answered a request or a probe.

        Parameters
        ----------
        server_id : str
            The server.
        now_s : float
            The current time on the hub's clock, in seconds.
        """
        self._silent_at_s.pop(server_id, None)
        self._answered_at_s = now_s
        self._failing_since_s = None

    def record_silence(self, server_id: str, now_s: float) -> None:
        """Record that a server could not be connected to, or did not answer in time.

        Parameters
        ----------
        server_id : str
            The server.
        now_s : float
            The current time on the hub's clock, in seconds.
        """
        self._silent_at_s[server_id] = now_s
        if self._failing_since_s is None:
            self._failing_since_s = now_s

    def state(self, server_ids: Collection[str], now_s: float) -> Reach:
        """Return how many servers are reached.

        Parameters
        ----------
        server_ids : collection of str
            The servers that accept requests.
        now_s : float
            The current time on the hub's clock, in seconds.

        Returns
        -------
        Reach
            NONE only if no server answered since several of them failed.
        """
        self._drop_outdated(server_ids, now_s)
        silent_count = len(self._silent_at_s)
        since_answer_count = sum(
            at_s > self._answered_at_s for at_s in self._silent_at_s.values()
        )
        if (
            0 < min(MIN_SILENT_COUNT, len(server_ids)) <= since_answer_count
            and now_s - self._failing_since_s >= DETECTION_S
        ):
            return Reach.NONE
        if silent_count >= MIN_SILENT_COUNT and silent_count >= FEW_SILENT_RATIO * len(
            server_ids
        ):
            return Reach.FEW
        return Reach.MOST

    @property
    def has_silent_servers(self) -> bool:
        """Whether a server has failed and not answered since."""
        return bool(self._silent_at_s)

    @property
    def is_failing(self) -> bool:
        """Whether a server has failed, and none has answered since."""
        return self._failing_since_s is not None

    def _drop_outdated(self, server_ids: Collection[str], now_s: float) -> None:
        for server_id, at_s in list(self._silent_at_s.items()):
            is_outdated = now_s - at_s > SILENCE_VALIDITY_S
            if is_outdated or server_id not in server_ids:
                del self._silent_at_s[server_id]
        if not self._silent_at_s:
            self._failing_since_s = None
