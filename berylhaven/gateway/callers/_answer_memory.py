"""A bound on the memory of the large answers that are held at one time."""

import weakref
from collections import deque

import eventlet.event

# Answers up to this size are not counted.
SMALL_ANSWER_BYTES = 65_536
# An answer in memory is copied up to twice while it is read and written.
ANSWER_MEMORY_LIMIT_BYTES = 24_000_000


class Reservation:
    """The reserved memory of one answer; released once nothing refers to it."""

    __slots__ = ("__weakref__",)


class AnswerMemory:
    """Reserves memory for answers; the next one waits while too much is reserved.

    Parameters
    ----------
    limit_bytes : int
        The most that is reserved at one time, except for a single larger answer.
    """

    __slots__ = ("_limit_bytes", "reserved_bytes", "_waiting")

    def __init__(self, limit_bytes: int = ANSWER_MEMORY_LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        # What is reserved now.
        self.reserved_bytes = 0
        self._waiting: deque[eventlet.event.Event] = deque()

    def reserve(self, size_bytes: int) -> Reservation | None:
        """Reserve memory for an answer of a known size, after a wait if necessary.

        Parameters
        ----------
        size_bytes : int
            The size of its body.

        Returns
        -------
        Reservation or None
            None for a small answer.
        """
        if size_bytes <= SMALL_ANSWER_BYTES:
            return None
        while not self._fits(size_bytes):
            released = eventlet.event.Event()
            self._waiting.append(released)
            try:
                released.wait()
            finally:
                if released in self._waiting:
                    self._waiting.remove(released)
        return self._add(Reservation(), size_bytes)

    def extend(self, reservation: Reservation, size_bytes: int) -> None:
        """Count more memory for an answer of unknown size, without a wait.

        Two such answers would otherwise wait for one another.

        Parameters
        ----------
        reservation : Reservation
            The reservation of the answer.
        size_bytes : int
            The additional size.
        """
        self._add(reservation, size_bytes)

    def _fits(self, size_bytes: int) -> bool:
        return not self.reserved_bytes or (
            self.reserved_bytes + size_bytes <= self._limit_bytes
        )

    def _add(self, reservation: Reservation, size_bytes: int) -> Reservation:
        self.reserved_bytes += size_bytes
        weakref.finalize(reservation, self._release, size_bytes)
        return reservation

    def _release(self, size_bytes: int) -> None:
        self.reserved_bytes -= size_bytes
        waiting, self._waiting = self._waiting, deque()
        for released in waiting:
            released.send()
