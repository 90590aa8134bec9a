"""Keeps this instance's share of the limits that servers name."""

from collections.abc import Callable
from random import Random

from berylhaven.event_log import EventLog
from berylhaven.gateway.servers._server_record import ServerRecord
from berylhaven.overload import LimitShare, parse_limit_per_s, turn_interval_s


class ServerLimits:
    """Records the limits that servers name in their answers.

    Parameters
    ----------
    sharer_count : callable
        Returns the number of instances that may send to a server.
    random : random.Random
        The source of random numbers.
    event_log : EventLog
        Receives a line for each server that names another limit, or none any more.
    """

    __slots__ = ("_sharer_count", "_random", "_event_log")

    def __init__(
        self, sharer_count: Callable[[], int], random: Random, event_log: EventLog
    ) -> None:
        self._sharer_count = sharer_count
        self._random = random
        self._event_log = event_log

    def record(
        self, server: ServerRecord, text: str | None, is_probe: bool, now_s: float
    ) -> None:
        """Record the limit in an answer.

        Parameters
        ----------
        server : ServerRecord
            The server that answered.
        text : str or None
            The limit as the server wrote it; None if it names none.
        is_probe : bool
            Whether the answer is that to a probe. One without a limit ends the limit
            only if probes of this server had it.
        now_s : float
            The time on the hub's clock.
        """
        if text is None:
            if server.limit is not None and (
                server.names_limit_in_probes or not is_probe
            ):
                self._end(server)
            return
        limit_per_s = parse_limit_per_s(text)
        if limit_per_s is None:
            self._event_log.write_failure(
                "fleet",
                "limit unreadable",
                server=server.entry.server_id,
                value=text[:100],
            )
            return
        server.names_limit_in_probes = server.names_limit_in_probes or is_probe
        sharer_count = self._sharer_count()
        interval_s = turn_interval_s(limit_per_s, sharer_count)
        before_per_s = server.limit.limit_per_s if server.limit else None
        if server.limit is None:
            first_turn_at_s = now_s + self._random.random() * interval_s
            server.limit = LimitShare(limit_per_s, interval_s, first_turn_at_s)
        else:
            server.limit.update(limit_per_s, interval_s, now_s)
        if limit_per_s != before_per_s:
            self._event_log.write(
                "fleet",
                "server names a limit",
                server=server.entry.server_id,
                service=server.entry.service,
                limit_per_s=limit_per_s,
                before_per_s=before_per_s,
                sharers=sharer_count,
            )

    def _end(self, server: ServerRecord) -> None:
        server.limit = None
        server.names_limit_in_probes = False
        self._event_log.write(
            "fleet",
            "server names no limit",
            server=server.entry.server_id,
            service=server.entry.service,
        )
