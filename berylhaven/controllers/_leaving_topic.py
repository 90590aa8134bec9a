"""The exchange's topic about backend servers that leave."""

import math
from typing import Any

import orjson

from berylhaven.controllers._context import ControllerContext
from berylhaven.discovery import LeavingMark
from berylhaven.exchange import register_topic
from berylhaven.operations import ComponentLog

LOG = ComponentLog("leaving")
# News goes out this many times the logarithm of the fleet's size, and then in turn.
SENDS_PER_DOUBLING = 2
# Old marks go in turn, a few a message, so that joiners and healed partitions learn.
OLD_PER_MESSAGE = 1
# What the payload's own brackets and commas take.
FRAME_BYTES = 8


@register_topic("leaving")
class LeavingTopic:
    """Rows of address and incarnation, the newest first.

    Parameters
    ----------
    context : ControllerContext
        With the directory of backend servers and the peers.
    """

    def __init__(self, context: ControllerContext) -> None:
        self._directory = context.server_directory
        self._peer_table = context.peer_table
        self._urgent_signal = context.urgent_signal
        # By address, the incarnation that was sent and how often.
        self._sent: dict[str, tuple[int, int]] = {}
        self._turn = 0

    def outgoing(
        self, peers_address: str, now_s: float, limit_bytes: int
    ) -> list[list] | None:
        """Return rows of what is new, and one of what is old in its turn."""
        marks = self._directory.leaving_marks()
        if not marks:
            return None
        self._forget(marks)
        sends = self._sends()
        new = [mark for mark in marks if self._sent_count(mark) < sends]
        new.sort(key=lambda mark: self._sent_count(mark))
        old = [mark for mark in marks if self._sent_count(mark) >= sends]
        if old:
            self._turn = (self._turn + 1) % len(old)
            new += old[self._turn : self._turn + OLD_PER_MESSAGE]
        return self._rows(new, limit_bytes) or None

    def incoming(self, payload: Any, peers_address: str, now_s: float) -> None:
        """Take in a peer's rows, and pass on at once what is news.

        Raises
        ------
        ValueError
            If the payload is malformed.
        """
        if not isinstance(payload, list):
            raise ValueError("leaving: not an array")
        for row in payload:
            address, incarnation = _checked(row)
            if self._directory.mark_leaving(address, incarnation, now_s):
                LOG.info("Peer %s says that %s leaves.", peers_address, address)
                self._urgent_signal.set()

    def _rows(self, marks: list[LeavingMark], limit_bytes: int) -> list[list]:
        rows = []
        left_bytes = limit_bytes - FRAME_BYTES
        for mark in marks:
            row = [mark.address, mark.incarnation]
            left_bytes -= len(orjson.dumps(row)) + 1
            if left_bytes < 0:
                break
            rows.append(row)
            self._sent[mark.address] = (mark.incarnation, self._sent_count(mark) + 1)
        return rows

    def _forget(self, marks: list[LeavingMark]) -> None:
        if len(self._sent) > len(marks):
            kept = {mark.address for mark in marks}
            self._sent = {a: s for a, s in self._sent.items() if a in kept}

    def _sent_count(self, mark: LeavingMark) -> int:
        incarnation, count = self._sent.get(mark.address, (mark.incarnation, 0))
        return count if incarnation == mark.incarnation else 0

    def _sends(self) -> int:
        return math.ceil(
            SENDS_PER_DOUBLING * math.log2(len(self._peer_table.peers()) + 2)
        )


def _checked(row: Any) -> tuple[str, int]:
    if not isinstance(row, list) or len(row) != 2:
        raise ValueError("leaving: not a row of two")
    address, incarnation = row
    if not isinstance(address, str) or type(incarnation) is not int:
        raise ValueError("leaving: not an address and an incarnation")
    return address, incarnation
