"""The body of a backend server's answer while it is read, and its memory."""

import math

import eventlet.hubs

from berylhaven.gateway.callers._held_bytes import HeldBytes, Reservation
from berylhaven.overload import (
    CLAIM_LIMIT_S,
    MIN_STEP_BYTES,
    SMALL_BYTES,
    growth_step_bytes,
    may_claim,
)

# The maximum size of an answer body, which is held in memory.
ANSWER_LIMIT_BYTES = 32_000_000
PIECE_BYTES = 65_536
# How long an answer without an announced length waits for room that is expected by
# then. Its end is unknown, so its server's connection may be held for nothing.
UNANNOUNCED_WAIT_LIMIT_S = 0.2


class AnswerTooLarge(Exception):
    """An answer exceeds the size limit of one answer."""


class AnswerBuffer:
    """Joins the pieces of one body in memory that grows with what has come.

    A part that was expected or announced keeps its room for `CLAIM_LIMIT_S`. Beyond
    that, room is reserved in steps, so that a server that sends nothing takes nothing.

    Parameters
    ----------
    memory : HeldBytes
        The account of held bytes.
    announced_bytes : int or None
        The length of the body; None if only its end tells it.
    expected : Reservation or None
        What was reserved for the answer before its request was sent.
    """

    __slots__ = (
        "body",
        "_memory",
        "_announced_bytes",
        "_reservation",
        "_readable_bytes",
        "_may_claim",
        "_claim_timer",
    )

    def __init__(
        self,
        memory: HeldBytes,
        announced_bytes: int | None,
        expected: Reservation | None,
    ) -> None:
        # What has been received.
        self.body = bytearray()
        self._memory = memory
        self._announced_bytes = announced_bytes
        self._may_claim = False
        limit_bytes = ANSWER_LIMIT_BYTES
        if announced_bytes is not None:
            check_length(announced_bytes)
            limit_bytes = announced_bytes
            self._may_claim = may_claim(announced_bytes, memory.limit_bytes)
        self._reservation = memory.begin_answer(expected)
        if self._reservation.size_bytes > limit_bytes:
            self._reservation.shrink(limit_bytes)
        first_bytes = limit_bytes if limit_bytes <= SMALL_BYTES else MIN_STEP_BYTES
        if self._reservation.size_bytes < first_bytes:
            memory.grow(self._reservation, first_bytes)
        # The size that the body may reach by the read in progress.
        self._readable_bytes = 0
        self._claim_timer = None
        if self._reservation.size_bytes > SMALL_BYTES:
            self._start_claim()

    def readable_bytes(self) -> int:
        """Return how many bytes the next read may return.

        Returns
        -------
        int
            What is reserved; one byte otherwise, which tells whether there are more.
        """
        free_bytes = self._reservation.size_bytes - len(self.body)
        count = min(PIECE_BYTES, max(1, free_bytes))
        self._readable_bytes = len(self.body) + count
        return count

    def append(self, piece: bytes) -> None:
        """Add bytes that were read, and wait for room if there is none.

        Parameters
        ----------
        piece : bytes
            At most as many bytes as `readable_bytes` returned.

        Raises
        ------
        AnswerTooLarge
            If the body exceeds the limit of one answer.
        NoRoom
            If its length is unknown, and there is no room and none is expected soon.
        """
        received_bytes = len(self.body) + len(piece)
        check_length(received_bytes)
        if received_bytes > self._reservation.size_bytes:
            self._grow(received_bytes)
        self.body += piece

    def finish(self) -> Reservation:
        """Return the memory of the complete body."""
        self._end_claim()
        reservation = self._reservation
        if reservation.size_bytes > len(self.body):
            reservation.shrink(len(self.body))
        return reservation

    def release(self) -> None:
        """Release the memory; a second call does nothing."""
        self._end_claim()
        self._reservation.release()
        self.body = bytearray()

    def _grow(self, received_bytes: int) -> None:
        total_bytes = received_bytes + growth_step_bytes(received_bytes)
        if self._announced_bytes is None:
            limit_bytes, wait_limit_s = ANSWER_LIMIT_BYTES, UNANNOUNCED_WAIT_LIMIT_S
        else:
            limit_bytes, wait_limit_s = self._announced_bytes, math.inf
        is_claim = self._may_claim and received_bytes > SMALL_BYTES
        total_bytes = limit_bytes if is_claim else min(total_bytes, limit_bytes)
        if received_bytes <= SMALL_BYTES:
            total_bytes = min(total_bytes, SMALL_BYTES)
        # A claim that waits holds little, so that it need not exceed the room.
        self._memory.grow(
            self._reservation, total_bytes, wait_limit_s, may_exceed=not is_claim
        )
        if is_claim:
            self._may_claim = False
            self._start_claim()

    def _start_claim(self) -> None:
        self._end_claim()
        hub = eventlet.hubs.get_hub()
        self._claim_timer = hub.schedule_call_global(CLAIM_LIMIT_S, self._lapse)

    def _end_claim(self) -> None:
        if self._claim_timer is not None:
            self._claim_timer.cancel()
            self._claim_timer = None

    def _lapse(self) -> None:
        """Release what was reserved and has not come."""
        self._claim_timer = None
        used_bytes = max(self._readable_bytes, len(self.body))
        if self._reservation.size_bytes > used_bytes:
            self._reservation.shrink(used_bytes)


def check_length(size_bytes: int) -> None:
    """Raise AnswerTooLarge for a size over the limit of one answer."""
    if size_bytes > ANSWER_LIMIT_BYTES:
        raise AnswerTooLarge(
            f"{size_bytes} bytes exceed the limit of one answer of "
            f"{ANSWER_LIMIT_BYTES} bytes"
        )
