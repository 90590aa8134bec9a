"""The exchange topic that disseminates leaving backend servers."""

import math
from typing import Any

import orjson

from berylhaven.controllers._context import ControllerContext
from berylhaven.discovery import LeavingMark
from berylhaven.exchange import register_topic
from berylhaven.operations import ComponentLog

LOG = ComponentLog("leaving")
# A new mark is sent this many times the binary logarithm of the fleet's size; after
# that it is an old mark.
SENDS_PER_DOUBLING = 2
# Old marks are sent in turn, this many per message, so that joining instances and
# healed partitions receive them.
OLD_ROWS_PER_MESSAGE = 1
# The most rows that are accepted. A message has up to 1,100 bytes, and a row 15; each
# new row beyond the directory's limit takes 0.3 ms to find the oldest.
RECEIVED_ROWS_LIMIT = 128
# The size of the payload's own brackets and commas.
ARRAY_OVERHEAD_BYTES = 8


@register_topic("leaving")
class LeavingTopic:
    """Sends rows of address and incarnation, the least often sent first.

    Parameters
    ----------
    context : ControllerContext
        Provides the directory of backend servers and the peers.
    """

    def __init__(self, context: ControllerContext) -> None:
        self._directory = context.server_directory
        self._peer_table = context.peer_table
        self._urgent_signal = context.urgent_signal
        # By address, the incarnation sent and the number of times it was sent.
        self._sent: dict[str, tuple[int, int]] = {}
        self._old_mark_index = 0

    def outgoing(
        self, peers_address: str, now_s: float, limit_bytes: int
    ) -> list[list] | None:
        """Return rows of new marks, and a row of the old mark whose turn it is."""
        marks = self._directory.leaving_marks()
        if not marks:
            return None
        self._drop_counts_of_removed(marks)
        send_limit = self._sends_per_mark()
        new = [mark for mark in marks if self._sent_count(mark) < send_limit]
        new.sort(key=lambda mark: self._sent_count(mark))
        old = [mark for mark in marks if self._sent_count(mark) >= send_limit]
        if old:
            self._old_mark_index = (self._old_mark_index + 1) % len(old)
            new += old[
                self._old_mark_index : self._old_mark_index + OLD_ROWS_PER_MESSAGE
            ]
        return self._rows(new, limit_bytes) or None

    def incoming(self, payload: Any, peers_address: str, now_s: float) -> None:
        """Apply a peer's rows, and forward those that are new at once.

        Raises
        ------
        ValueError
            If the payload is malformed.
        """
        if not isinstance(payload, list):
            raise ValueError(
                f"leaving: payload of type {type(payload).__name__} is not an array"
            )
        if len(payload) > RECEIVED_ROWS_LIMIT:
            raise ValueError(
                f"leaving: {len(payload)} rows, over the limit of {RECEIVED_ROWS_LIMIT}"
            )
        for row in payload:
            address, incarnation = _parse_row(row)
            if self._directory.mark_leaving(address, incarnation, now_s):
                LOG.info("Peer %s reports that %s is leaving.", peers_address, address)
                self._urgent_signal.set()

    def _rows(self, marks: list[LeavingMark], limit_bytes: int) -> list[list]:
        rows = []
        remaining_bytes = limit_bytes - ARRAY_OVERHEAD_BYTES
        for mark in marks:
            row = [mark.address, mark.incarnation]
            remaining_bytes -= len(orjson.dumps(row)) + 1
            if remaining_bytes < 0:
                break
            rows.append(row)
            self._sent[mark.address] = (mark.incarnation, self._sent_count(mark) + 1)
        return rows

    def _drop_counts_of_removed(self, marks: list[LeavingMark]) -> None:
        if len(self._sent) > len(marks):
            kept = {mark.address for mark in marks}
            self._sent = {a: s for a, s in self._sent.items() if a in kept}

    def _sent_count(self, mark: LeavingMark) -> int:
        incarnation, count = self._sent.get(mark.address, (mark.incarnation, 0))
        return count if incarnation == mark.incarnation else 0

    def _sends_per_mark(self) -> int:
        return math.ceil(
            SENDS_PER_DOUBLING * math.log2(len(self._peer_table.peers()) + 2)
        )


def _parse_row(row: Any) -> tuple[str, int]:
    if not isinstance(row, list) or len(row) != 2:
        raise ValueError(f"leaving: row {row!r:.200} is not an array of two elements")
    address, incarnation = row
    if not isinstance(address, str) or type(incarnation) is not int:
        raise ValueError(f"leaving: row {row!r:.200} is not an address and an integer")
    return address, incarnation
