"""The exchange topic through which peers share load reports."""

from typing import TYPE_CHECKING, Any

import orjson

from berylhaven.exchange import register_topic
from berylhaven.load._load_table import LoadTable
from berylhaven.load._server_load import ServerLoad
from berylhaven.load_report import LoadReport

if TYPE_CHECKING:
    from berylhaven.controllers import ControllerContext

TOPIC_NAME = "load"
# Older reports are not sent, since they are of no use to a peer.
REPORT_AGE_LIMIT_S = 1.0
SLOW_AGE_LIMIT_S = 2.0
ROWS_PER_MESSAGE = 8
# The most rows that are accepted for a service, and the most services.
RECEIVED_ROWS_LIMIT = 64
# A server's report is sent at most once in this interval, so that only the last of
# the reports received in between is sent.
SEND_INTERVAL_S = 2.0
ROW_LENGTH = 6
# The bytes of brackets, colons and commas around one JSON value.
JSON_OVERHEAD_BYTES = 4
MILLISECONDS_PER_SECOND = 1000
# Upper bounds on values from a peer.
MAX_COUNT = 1_000_000
MAX_SLOW_RATIO = 1_000.0


@register_topic(TOPIC_NAME)
class LoadTopic:
    """Sends the newest reports of this instance, those of slow servers first.

    A row holds address, running, queued, age of the report in milliseconds, slow
    ratio, age of the slow ratio in milliseconds. Only reports that this instance
    received from servers are sent, so that no report circulates among peers.

    Parameters
    ----------
    context : ControllerContext
        The context with the load records.
    send_interval_s : float
        A server's report is sent at most once in this interval of seconds.
    """

    def __init__(
        self, context: "ControllerContext", send_interval_s: float = SEND_INTERVAL_S
    ) -> None:
        self._table: LoadTable = context.load_table
        self._send_interval_s = send_interval_s
        self._sent_at_s: dict[str, float] = {}

    def outgoing(
        self, peers_address: str, now_s: float, limit_bytes: int
    ) -> dict[str, list] | None:
        """Return rows by service, or None if there is nothing to send."""
        ranked = [
            (_rank(server, now_s), service, server)
            for service in self._table.services()
            for server in self._table.candidates(service)
            if self._is_worth_sending(server, now_s)
        ]
        ranked.sort(key=lambda entry: entry[0])
        rows: dict[str, list] = {}
        remaining_bytes = limit_bytes - JSON_OVERHEAD_BYTES
        for _, service, server in ranked[:ROWS_PER_MESSAGE]:
            row = _row(server, now_s)
            remaining_bytes -= len(orjson.dumps(row)) + JSON_OVERHEAD_BYTES
            if service not in rows:
                remaining_bytes -= len(orjson.dumps(service)) + JSON_OVERHEAD_BYTES
            if remaining_bytes < 0:
                break
            rows.setdefault(service, []).append(row)
            if self._send_interval_s:
                self._sent_at_s[server.address] = now_s
        return rows or None

    def incoming(self, payload: Any, peers_address: str, now_s: float) -> None:
        """Record a peer's rows, each with the age that the peer gives.

        Raises
        ------
        ValueError
            If the payload is malformed.
        """
        if not isinstance(payload, dict):
            raise ValueError(
                f"load: payload is of type {type(payload).__name__}, not an object"
            )
        if len(payload) > RECEIVED_ROWS_LIMIT:
            raise ValueError(f"load: {len(payload)} services, over the limit")
        for service, rows in payload.items():
            if not isinstance(rows, list):
                raise ValueError(
                    f"load: rows of service {service[:100]!r} are of type "
                    f"{type(rows).__name__}, not a list"
                )
            if len(rows) > RECEIVED_ROWS_LIMIT:
                raise ValueError(
                    f"load: {len(rows)} rows of service {service[:100]!r}, over the "
                    f"limit of {RECEIVED_ROWS_LIMIT}"
                )
            for row in rows:
                self._record_row(service, row, now_s)

    def _is_worth_sending(self, server: ServerLoad, now_s: float) -> bool:
        if server.is_report_from_peer or server.report is None:
            return False
        if now_s - server.report_received_at_s > REPORT_AGE_LIMIT_S:
            return False
        sent_at_s = self._sent_at_s.get(server.address)
        return sent_at_s is None or now_s - sent_at_s >= self._send_interval_s

    def _record_row(self, service: str, row: Any, now_s: float) -> None:
        is_row = isinstance(row, list) and len(row) == ROW_LENGTH
        if not is_row or not isinstance(row[0], str):
            raise ValueError(
                f"load: a row of service {service[:100]!r} is not a list of an "
                "address and five numbers"
            )
        if not all(_is_non_negative_number(value) for value in row[1:]):
            raise ValueError(
                f"load: row of {row[0][:100]!r} of service {service[:100]!r} holds a "
                f"value that is not a number >= 0: {row[1:]!r:.200}"
            )
        address, running, queued, age_ms, slow_ratio, slow_age_ms = row
        server = self._table.server(service, address)
        if server is None:
            return
        report = LoadReport(
            running_count=int(min(running, MAX_COUNT)),
            queued_count=int(min(queued, MAX_COUNT)),
            slot_count=None,
            service_time_s=None,
            is_leaving=False,
            received_at_s=now_s - age_ms / MILLISECONDS_PER_SECOND,
        )
        server.record_peer_report(report)
        slow_ratio_at_s = now_s - slow_age_ms / MILLISECONDS_PER_SECOND
        if 1 <= slow_ratio <= MAX_SLOW_RATIO and slow_ratio_at_s <= now_s:
            server.record_slow_ratio(float(slow_ratio), slow_ratio_at_s)


def _rank(server: ServerLoad, now_s: float) -> tuple[bool, float]:
    is_slow = (
        server.slow_ratio > 1 and now_s - server.slow_ratio_at_s < SLOW_AGE_LIMIT_S
    )
    return (not is_slow, now_s - server.report_received_at_s)


def _row(server: ServerLoad, now_s: float) -> list:
    slow_age_s = min(now_s - server.slow_ratio_at_s, SLOW_AGE_LIMIT_S * 2)
    return [
        server.address,
        server.report.running_count,
        server.report.queued_count,
        int((now_s - server.report_received_at_s) * MILLISECONDS_PER_SECOND),
        round(server.slow_ratio, 1),
        int(slow_age_s * MILLISECONDS_PER_SECOND),
    ]


def _is_non_negative_number(value: Any) -> bool:
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    return is_number and value >= 0
