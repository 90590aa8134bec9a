"""The home's memory of its call ids: each call starts at most once.

The class does no I/O and has no clock. All times are the home's uptime in seconds,
the same scale on which call ids bear their time of issue.
"""

import enum
from collections import deque

from berylhaven.calls._call_id import CallId
from berylhaven.calls._call_record import (
    CallRecord,
    CallState,
    KeptAnswer,
    KeptRefusal,
)
from berylhaven.results import (
    CallIdExpired,
    CallIdNotIssued,
    CallIdReused,
    CallMemoryFull,
    CallRefused,
    HomeUnknown,
    Outcome,
)
from berylhaven.settings import CallsSettings

# A home never announces an uptime that it has not reached; this covers rounding.
FUTURE_TOLERANCE_S = 1.0
# A call that was not run stays closed for as long as its caller is told to wait.
REOPEN_DELAY_S = 1.0


class OpenDecision(enum.Enum):
    """What to do with a request that bears a call id."""

    # Run the call.
    START = "start"
    # Wait for the call in flight.
    JOIN = "join"
    # Answer from the record.
    ENDED = "ended"


class CallRegistry:
    """The calls of one run of one entry instance.

    Parameters
    ----------
    settings : CallsSettings
        With the memory bounds.
    call_id_lifetime_s : float
        How long a call id may be used after its issue.
    nonce : str
        The nonce of this run; ids of other runs are never opened.
    """

    __slots__ = (
        "_settings",
        "_lifetime_s",
        "_nonce",
        "_records",
        "_closed_issue_times_s",
        "_expired_before_s",
        "_with_answer",
        "remembered_count",
        "kept_answer_bytes",
    )

    def __init__(
        self, settings: CallsSettings, call_id_lifetime_s: float, nonce: str
    ) -> None:
        self._settings = settings
        self._lifetime_s = call_id_lifetime_s
        self._nonce = nonce
        # Records by time of issue and by the caller's own part of the id.
        self._records: dict[int, dict[str, CallRecord]] = {}
        # Ids that were issued at these times and are not remembered stay refused.
        self._closed_issue_times_s: set[int] = set()
        self._expired_before_s = 0
        self._with_answer: deque[CallRecord] = deque()
        # How many ids are remembered.
        self.remembered_count = 0
        # About how much memory the kept answers take.
        self.kept_answer_bytes = 0

    def open(
        self,
        call_id: CallId,
        fingerprint: bytes,
        uptime_s: float,
        received_at_uptime_s: float,
    ) -> tuple[OpenDecision, CallRecord]:
        """Decide what to do with a request.

        Parameters
        ----------
        call_id : CallId
            The request's id.
        fingerprint : bytes
            A digest of what the request asks for.
        uptime_s : float
            The home's uptime now.
        received_at_uptime_s : float
            The home's uptime when the first entry instance received the request.

        Returns
        -------
        tuple of OpenDecision and CallRecord
            The record is to be ended by `answered` or `refused` after START.

        Raises
        ------
        CallRefused
            If the id is of another run, expired, not issued yet, that of another
            call, or new while the memory is full.
        """
        if call_id.home_instance_nonce != self._nonce:
            raise HomeUnknown("the call id is of another run of an entry instance")
        self._forget_expired(uptime_s)
        self._check_age(call_id, uptime_s)
        record = self._find(call_id)
        if record is None:
            return OpenDecision.START, self._remember(call_id, fingerprint)
        if record.fingerprint != fingerprint:
            raise CallIdReused("another request bore this call id")
        if record.state is CallState.RUNNING:
            return OpenDecision.JOIN, record
        if not self._reopens(record, uptime_s, received_at_uptime_s):
            return OpenDecision.ENDED, record
        record.state = CallState.RUNNING
        record.refusal = None
        return OpenDecision.START, record

    def record_answer(self, record: CallRecord, answer: KeptAnswer | None) -> None:
        """End a call that a backend server answered.

        Parameters
        ----------
        record : CallRecord
            As `open` returned it.
        answer : KeptAnswer or None
            The whole answer, if it is small enough to be kept.
        """
        record.state = CallState.ANSWERED
        if answer is not None:
            self._keep(record, answer)
        record.notify_waiters()

    def record_refusal(
        self, record: CallRecord, refusal: CallRefused, uptime_s: float
    ) -> None:
        """End a call that got no answer.

        Parameters
        ----------
        record : CallRecord
            As `open` returned it.
        refusal : CallRefused
            What its caller is told.
        uptime_s : float
            The home's uptime now.
        """
        record.state = CallState.REFUSED
        record.refusal = KeptRefusal(type(refusal), refusal.outcome, uptime_s)
        record.notify_waiters()

    def is_proven_not_run(self, call_id: CallId, uptime_s: float) -> bool:
        """Tell whether it is proved that no request with this id was started.

        Parameters
        ----------
        call_id : CallId
            Any well-formed id.
        uptime_s : float
            The home's uptime now.

        Returns
        -------
        bool
            True only for an id of this run that has not expired and is new, or
            whose call ended as not run.
        """
        if call_id.home_instance_nonce != self._nonce or self._is_expired(
            call_id, uptime_s
        ):
            return False
        record = self._find(call_id)
        if record is None:
            return True
        refusal = record.refusal
        return refusal is not None and refusal.outcome is Outcome.NOT_RUN

    def _check_age(self, call_id: CallId, uptime_s: float) -> None:
        if self._is_expired(call_id, uptime_s):
            raise CallIdExpired(f"a call id may be used for {self._lifetime_s:g} s")
        if call_id.issued_at_uptime_s > uptime_s + FUTURE_TOLERANCE_S:
            raise CallIdNotIssued("the call id bears a time that has not come yet")

    def _is_expired(self, call_id: CallId, uptime_s: float) -> bool:
        age_s = uptime_s - call_id.issued_at_uptime_s
        return age_s > self._lifetime_s

    def _find(self, call_id: CallId) -> CallRecord | None:
        issued = self._records.get(call_id.issued_at_uptime_s)
        return issued.get(call_id.own_part) if issued else None

    def _remember(self, call_id: CallId, fingerprint: bytes) -> CallRecord:
        issued_at_s = call_id.issued_at_uptime_s
        limit = self._settings.remembered_calls_limit
        if self.remembered_count >= limit:
            # The refused id is not remembered, so that a late duplicate of it would
            # find it new. All ids of its second stay refused instead.
            self._closed_issue_times_s.add(issued_at_s)
        if issued_at_s in self._closed_issue_times_s:
            message = f"{limit} call ids are remembered, which is the most"
            raise CallMemoryFull(message, REOPEN_DELAY_S)
        record = CallRecord(fingerprint)
        self._records.setdefault(issued_at_s, {})[call_id.own_part] = record
        self.remembered_count += 1
        return record

    def _reopens(
        self, record: CallRecord, uptime_s: float, received_at_uptime_s: float
    ) -> bool:
        refusal = record.refusal
        if refusal is None or refusal.outcome is not Outcome.NOT_RUN:
            return False
        # A request that came in before the refusal is a late duplicate: its caller
        # has been told since that the call was not run.
        if received_at_uptime_s <= refusal.refused_at_uptime_s:
            return False
        return uptime_s >= refusal.refused_at_uptime_s + REOPEN_DELAY_S

    def _keep(self, record: CallRecord, answer: KeptAnswer) -> None:
        if answer.size_bytes > self._settings.kept_answers_limit_bytes:
            return
        record.answer = answer
        self._with_answer.append(record)
        self.kept_answer_bytes += answer.size_bytes
        while self.kept_answer_bytes > self._settings.kept_answers_limit_bytes:
            self._drop_answer(self._with_answer.popleft())

    def _drop_answer(self, record: CallRecord) -> None:
        if record.answer is not None:
            self.kept_answer_bytes -= record.answer.size_bytes
            record.answer = None

    def _forget_expired(self, uptime_s: float) -> None:
        oldest_s = int(uptime_s - self._lifetime_s)
        if oldest_s <= self._expired_before_s:
            return
        self._expired_before_s = oldest_s
        for issued_at_s in [t for t in self._records if t < oldest_s]:
            expired = self._records.pop(issued_at_s)
            self.remembered_count -= len(expired)
            for record in expired.values():
                self._drop_answer(record)
        self._closed_issue_times_s = {
            t for t in self._closed_issue_times_s if t >= oldest_s
        }
        while self._with_answer and self._with_answer[0].answer is None:
            self._with_answer.popleft()
