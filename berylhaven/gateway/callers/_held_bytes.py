"""The account of all bytes that the instance holds for callers and servers."""

import math
from collections import deque
from collections.abc import Callable

import eventlet.event

from berylhaven.clock import monotonic_s
from berylhaven.event_log import EventLog
from berylhaven.gateway._gateway_metrics import GatewayMetrics
from berylhaven.overload import (
    Admission,
    AdmissionDecision,
    HeldKind,
    ReleaseRate,
    answer_kind,
    decide_admission,
    decide_growth,
    room_bytes,
)

# Answers had a bound of 24 MB, and each could be in memory three times while it was
# read and written. They are held once now, so that the same memory is a third of this.
# A process takes 35 MB without callers, and 45 MB with 350 connections.
HELD_LIMIT_BYTES = 8_000_000
# A kind that was full has room again once at least this part of the account is free
# for it, so that the state does not change with every release.
ROOM_RATIO = 1 / 32
# How much more is admitted at the end of a drain, for answers that would be lost if
# they waited for room.
LAST_ANSWERS_BYTES = 16_000_000


class NoRoom(Exception):
    """The account has no room.

    Parameters
    ----------
    message : str
        One sentence with the details.
    return_s : float
        The time after which the caller may come back, in seconds.
    """

    def __init__(self, message: str, return_s: float) -> None:
        super().__init__(message)
        self.message = message
        self.return_s = return_s


class Reservation:
    """Bytes in the account; released at the latest once nothing refers to it.

    Parameters
    ----------
    account : HeldBytes
        The account.
    kind : HeldKind
        The kind of the bytes.
    size_bytes : int
        Their number, already counted.
    """

    __slots__ = ("_account", "kind", "size_bytes", "is_oversized")

    def __init__(self, account: "HeldBytes", kind: HeldKind, size_bytes: int) -> None:
        self._account = account
        # The kind of the bytes.
        self.kind = kind
        # Their number; 0 after the release.
        self.size_bytes = size_bytes
        # Whether it is the answer that exceeds the room for answers.
        self.is_oversized = False

    def release(self) -> None:
        """Release the bytes; a second call does nothing."""
        size_bytes, self.size_bytes = self.size_bytes, 0
        if size_bytes:
            self._account.release(self.kind, size_bytes)
        if self.is_oversized:
            self._account.end_excess(self)

    def shrink(self, size_bytes: int) -> None:
        """Release what exceeds the actual size.

        Parameters
        ----------
        size_bytes : int
            The actual number of bytes, not more than the present one.
        """
        excess_bytes = self.size_bytes - size_bytes
        self.size_bytes = size_bytes
        self._account.release(self.kind, excess_bytes)
        if self.is_oversized and self._account.has_room_left(self.kind):
            self._account.end_excess(self)

    __del__ = release


class HeldBytes:
    """Counts bytes by kind, and decides whether more are taken into memory.

    Parameters
    ----------
    limit_bytes : int
        The size of the account.
    event_log : EventLog or None
        Receives a line when a kind becomes full and when it has room again.
    metrics : GatewayMetrics or None
        Counts the refusals and shows the bytes held.
    """

    __slots__ = (
        "limit_bytes",
        "held_bytes",
        "_is_ending",
        "_has_oversized",
        "_event_log",
        "_refusals",
        "_gauge",
        "_rates",
        "_waiting",
        "_full_kinds",
    )

    def __init__(
        self,
        limit_bytes: int = HELD_LIMIT_BYTES,
        event_log: EventLog | None = None,
        metrics: GatewayMetrics | None = None,
    ) -> None:
        # The size of the account.
        self.limit_bytes = limit_bytes
        # The bytes held now, by kind.
        self.held_bytes = dict.fromkeys(HeldKind, 0)
        self._is_ending = False
        # Whether an answer exceeds the room for answers; only one at a time may.
        self._has_oversized = False
        self._event_log = event_log
        self._refusals = None
        self._gauge = None
        self._rates = {kind: ReleaseRate() for kind in HeldKind}
        self._waiting: deque[eventlet.event.Event] = deque()
        # The kinds for which there was no room when it was last requested, with the
        # room that ends this state.
        self._full_kinds: dict[HeldKind, float] = {}
        if metrics is not None:
            self._refusals = metrics.counter(
                "held_refusals_total",
                "Requests refused because the account of held bytes had no room.",
            )
            self._gauge = metrics.gauge(
                "held_bytes", "Bytes held for callers and servers, by kind."
            )
            metrics.add_refresher(self._refresh)

    @property
    def reserved_bytes(self) -> int:
        """The number of bytes held now."""
        return sum(self.held_bytes.values())

    def admit(
        self, kind: HeldKind, size_bytes: int, wait_limit_s: float = 0.0
    ) -> Reservation:
        """Reserve memory, after a wait if room is expected to become free in time.

        Parameters
        ----------
        kind : HeldKind
            The kind of the bytes.
        size_bytes : int
            Their number.
        wait_limit_s : float
            How long they may wait, in seconds; infinite if they cannot be refused.

        Returns
        -------
        Reservation
            The reserved memory.

        Raises
        ------
        NoRoom
            If there is no room and none is expected in time.
        """
        decision = self._await_decision(
            lambda left_s: self._decide(kind, size_bytes, left_s), wait_limit_s
        )
        if decision.admission is Admission.REFUSE:
            raise self._refusal(kind, size_bytes, decision)
        reservation = self.add(kind, size_bytes)
        self._mark_oversized(reservation)
        return reservation

    def _await_decision(
        self, decide: Callable[[float], AdmissionDecision], wait_limit_s: float
    ) -> AdmissionDecision:
        """Return a decision that does not let the bytes wait any more."""
        began_at_s = monotonic_s()
        left_s = wait_limit_s
        decision = decide(left_s)
        while decision.admission is Admission.WAIT:
            self._wait_for_release(left_s)
            left_s = wait_limit_s - (monotonic_s() - began_at_s)
            decision = decide(left_s)
        return decision

    def _refusal(
        self, kind: HeldKind, size_bytes: int, decision: AdmissionDecision
    ) -> NoRoom:
        if self._refusals is not None:
            self._refusals.inc({"kind": kind.value})
        return NoRoom(
            f"no room for {size_bytes} bytes of kind {kind.value}: "
            f"{self.held_bytes[kind]} of this kind and {self.reserved_bytes} in all "
            f"are held, the limit is {self.limit_bytes}",
            decision.return_s,
        )

    def _mark_oversized(self, reservation: Reservation) -> None:
        """Record that an answer was admitted beyond the room for answers."""
        if reservation.kind is not HeldKind.LARGE_ANSWER or reservation.is_oversized:
            return
        if not self.has_room_left(reservation.kind):
            reservation.is_oversized = self._has_oversized = True

    def end_excess(self, reservation: Reservation) -> None:
        """Let another answer exceed the room; called by the reservation."""
        reservation.is_oversized = self._has_oversized = False
        self._wake_waiting()

    def has_room_left(self, kind: HeldKind) -> bool:
        """Return whether no more bytes of a kind are held than there is room for."""
        return room_bytes(kind, self.held_bytes, self._present_limit_bytes()) >= 0

    def admit_last_answers(self) -> None:
        """Admit more from now on, because the instance takes few further requests."""
        if not self._is_ending:
            self._is_ending = True
            self._wake_waiting()

    def has_room(self, kind: HeldKind, size_bytes: int) -> bool:
        """Return whether bytes of a kind fit now, without a reservation."""
        return self._decide(kind, size_bytes, 0.0).admission is Admission.ADMIT

    def begin_answer(self, expected: Reservation | None = None) -> Reservation:
        """Return the memory of an answer whose body begins to arrive.

        Parameters
        ----------
        expected : Reservation or None
            What was reserved for it before its request was sent.

        Returns
        -------
        Reservation
            Has the bytes of the expected one, which has none afterwards.
        """
        if expected is None:
            return Reservation(self, HeldKind.SMALL_ANSWER, 0)
        reservation = Reservation(self, expected.kind, expected.size_bytes)
        reservation.is_oversized = expected.is_oversized
        expected.size_bytes = 0
        expected.is_oversized = False
        return reservation

    def grow(
        self,
        reservation: Reservation,
        total_bytes: int,
        wait_limit_s: float = 0.0,
        may_exceed: bool = False,
    ) -> None:
        """Reserve more memory for an answer, after a wait if necessary.

        Parameters
        ----------
        reservation : Reservation
            The memory of the answer.
        total_bytes : int
            Its size afterwards. A small answer never waits.
        wait_limit_s : float
            How long it may wait, in seconds; infinite if it cannot be refused.
        may_exceed : bool
            Whether it may exceed the room if no other one does.

        Raises
        ------
        NoRoom
            If there is no room and none is expected in time.
        """
        decision = self._await_decision(
            lambda left_s: self._decide_growth(
                reservation, total_bytes, left_s, may_exceed
            ),
            wait_limit_s,
        )
        if decision.admission is Admission.REFUSE:
            raise self._refusal(answer_kind(total_bytes), total_bytes, decision)
        self.held_bytes[reservation.kind] -= reservation.size_bytes
        reservation.size_bytes = total_bytes
        reservation.kind = answer_kind(total_bytes)
        self.held_bytes[reservation.kind] += total_bytes
        self._mark_oversized(reservation)

    def add(self, kind: HeldKind, size_bytes: int) -> Reservation:
        """Count bytes that are in memory, without a decision.

        Parameters
        ----------
        kind : HeldKind
            The kind of the bytes.
        size_bytes : int
            Their number.

        Returns
        -------
        Reservation
            The counted memory.
        """
        self.held_bytes[kind] += size_bytes
        return Reservation(self, kind, size_bytes)

    def release(self, kind: HeldKind, size_bytes: int) -> None:
        """Release bytes; called by their reservation.

        Parameters
        ----------
        kind : HeldKind
            The kind of the bytes.
        size_bytes : int
            Their number.
        """
        self.held_bytes[kind] -= size_bytes
        self._rates[kind].record(size_bytes, monotonic_s())
        if self._full_kinds:
            self._log_room()
        self._wake_waiting()

    def _wake_waiting(self) -> None:
        waiting, self._waiting = self._waiting, deque()
        for released in waiting:
            released.send()

    def _decide(
        self, kind: HeldKind, size_bytes: int, wait_limit_s: float
    ) -> AdmissionDecision:
        decision = decide_admission(
            kind,
            size_bytes,
            self.held_bytes,
            self._present_limit_bytes(),
            self._rates[kind].per_s(monotonic_s()),
            wait_limit_s,
        )
        self._note_decision(kind, size_bytes, decision)
        return decision

    def _decide_growth(
        self,
        reservation: Reservation,
        total_bytes: int,
        wait_limit_s: float,
        may_exceed: bool,
    ) -> AdmissionDecision:
        others_bytes = dict(self.held_bytes)
        others_bytes[reservation.kind] -= reservation.size_bytes
        kind = answer_kind(total_bytes)
        decision = decide_growth(
            total_bytes,
            others_bytes,
            self._present_limit_bytes(),
            self._rates[kind].per_s(monotonic_s()),
            wait_limit_s,
            may_exceed and (reservation.is_oversized or not self._has_oversized),
        )
        self._note_decision(kind, total_bytes, decision)
        return decision

    def _present_limit_bytes(self) -> int:
        return self.limit_bytes + (LAST_ANSWERS_BYTES if self._is_ending else 0)

    def _note_decision(
        self, kind: HeldKind, size_bytes: int, decision: AdmissionDecision
    ) -> None:
        """Log that a kind has become full."""
        if decision.admission is not Admission.ADMIT and kind not in self._full_kinds:
            room = ROOM_RATIO * self.limit_bytes
            self._full_kinds[kind] = max(room, size_bytes)
            self._log("full", kind, decision.admission.value)

    def _wait_for_release(self, limit_s: float) -> None:
        released = eventlet.event.Event()
        self._waiting.append(released)
        try:
            if limit_s == math.inf:
                released.wait()
            else:
                with eventlet.Timeout(limit_s, False):
                    released.wait()
        finally:
            if released in self._waiting:
                self._waiting.remove(released)

    def _log_room(self) -> None:
        for kind, needed_bytes in list(self._full_kinds.items()):
            room = room_bytes(kind, self.held_bytes, self.limit_bytes)
            has_room = room >= needed_bytes or not self.held_bytes[kind]
            # A finalizer may release bytes, and so come here, during the log line.
            if has_room and self._full_kinds.pop(kind, None) is not None:
                self._log("has room", kind, None)

    def _log(self, event: str, kind: HeldKind, admission: str | None) -> None:
        if self._event_log is not None:
            self._event_log.write_failure(
                "memory",
                event,
                kind=kind.value,
                admission=admission,
                held_bytes=self.held_bytes[kind],
                total_bytes=self.reserved_bytes,
                limit_bytes=self.limit_bytes,
            )

    def _refresh(self) -> None:
        for kind, size_bytes in self.held_bytes.items():
            self._gauge.set({"kind": kind.value}, size_bytes)
