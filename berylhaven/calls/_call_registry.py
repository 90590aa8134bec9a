"""The home instance's registry of its call ids; each call starts at most once.

The class does no I/O and reads no clock. All times are the uptime of the home instance
in seconds, which is also the scale of the issue times in call ids.
"""

import enum
from collections import deque

from berylhaven.calls._call_id import CallId
from berylhaven.calls._call_record import (
    CallRecord,
    CallState,
    StoredAnswer,
    StoredRefusal,
)
from berylhaven.results import (
    CallIdExpired,
    CallIdNotIssued,
    CallIdReused,
    CallRefused,
    CallRegistryFull,
    HomeInstanceUnknown,
    Outcome,
)
from berylhaven.settings import CallsSettings

# Tolerance for rounding. A home instance never announces an uptime that it has not
# reached, so a later issue time in a call id is invalid.
FUTURE_TOLERANCE_S = 1.0
# A call that was not run can be started again after this time, which is also the
# Retry-After that its caller receives.
REOPEN_DELAY_S = 1.0


class OpenDecision(enum.Enum):
    """How to handle a request that carries a call id."""

    # Run the call.
    START = "start"
    # Wait for the end of the call, which is in flight.
    JOIN = "join"
    # Answer from the record of the ended call.
    ENDED = "ended"


class CallRegistry:
    """The registered calls of one run of one entry instance.

    Parameters
    ----------
    settings : CallsSettings
        Settings with the limits of memory use.
    call_id_lifetime_s : float
        Seconds for which a call id may be used after its issue.
    nonce : str
        The nonce of this run; call ids of other runs are refused.
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
        "stored_answer_bytes",
    )

    def __init__(
        self, settings: CallsSettings, call_id_lifetime_s: float, nonce: str
    ) -> None:
        self._settings = settings
        self._lifetime_s = call_id_lifetime_s
        self._nonce = nonce
        # Records by issue time, then by the caller's own part of the id.
        self._records: dict[int, dict[str, CallRecord]] = {}
        # Unregistered ids with these issue times are refused until they expire.
        self._closed_issue_times_s: set[int] = set()
        self._expired_before_s = 0
        self._with_answer: deque[CallRecord] = deque()
        # The number of registered call ids.
        self.remembered_count = 0
        # The approximate memory use of the stored answers, in bytes.
        self.stored_answer_bytes = 0

    def open(
        self,
        call_id: CallId,
        fingerprint: bytes,
        uptime_s: float,
        received_at_uptime_s: float,
    ) -> tuple[OpenDecision, CallRecord]:
        """Register a request with a call id, and decide how to handle it.

        Parameters
        ----------
        call_id : CallId
            The request's call id.
        fingerprint : bytes
            A digest of the request.
        uptime_s : float
            The home instance's current uptime.
        received_at_uptime_s : float
            The home instance's uptime when the first entry instance received the
            request.

        Returns
        -------
        tuple of OpenDecision and CallRecord
            After START, the caller must end the record by `record_answer` or
            `record_refusal`.

        Raises
        ------
        CallRefused
            If the id belongs to another run, has expired, has an issue time in the
            future, was used for another call, or is new while the registry is full.
        """
        if call_id.home_instance_nonce != self._nonce:
            raise HomeInstanceUnknown(
                "the call id belongs to another run of an entry instance"
            )
        self._remove_expired(uptime_s)
        self._check_age(call_id, uptime_s)
        record = self._find(call_id)
        if record is None:
            return OpenDecision.START, self._remember(call_id, fingerprint)
        if record.fingerprint != fingerprint:
            raise CallIdReused("the call id was used for another request")
        if record.state is CallState.RUNNING:
            return OpenDecision.JOIN, record
        if not self._reopens(record, uptime_s, received_at_uptime_s):
            return OpenDecision.ENDED, record
        record.state = CallState.RUNNING
        record.refusal = None
        return OpenDecision.START, record

    def record_answer(self, record: CallRecord, answer: StoredAnswer | None) -> None:
        """Record the end of a call that a backend server answered.

        Parameters
        ----------
        record : CallRecord
            The record that `open` returned.
        answer : StoredAnswer or None
            The complete answer, if it is small enough to be stored.
        """
        record.state = CallState.ANSWERED
        if answer is not None:
            self._store_answer(record, answer)
        record.notify_waiters()

    def record_refusal(
        self, record: CallRecord, refusal: CallRefused, uptime_s: float
    ) -> None:
        """Record the end of a call without an answer.

        Parameters
        ----------
        record : CallRecord
            The record that `open` returned.
        refusal : CallRefused
            The refusal that is returned to the caller.
        uptime_s : float
            The home instance's current uptime.
        """
        record.state = CallState.REFUSED
        record.refusal = StoredRefusal(type(refusal), refusal.outcome, uptime_s)
        record.notify_waiters()

    def is_proven_not_run(self, call_id: CallId, uptime_s: float) -> bool:
        """Return whether it is certain that no request with this id was started.

        Parameters
        ----------
        call_id : CallId
            Any well-formed id.
        uptime_s : float
            The home instance's current uptime.

        Returns
        -------
        bool
            True only for an unexpired id of this run that is not registered or whose
            call ended as not run.
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
            raise CallIdExpired(
                f"the call id has expired: its lifetime is {self._lifetime_s:g} s"
            )
        if call_id.issued_at_uptime_s > uptime_s + FUTURE_TOLERANCE_S:
            raise CallIdNotIssued("the call id has an issue time in the future")

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
            # The refused id is not registered, so a late duplicate of the request
            # would be taken for a new call. Therefore all unregistered ids that were
            # issued in the same second are refused from now on.
            self._closed_issue_times_s.add(issued_at_s)
        if issued_at_s in self._closed_issue_times_s:
            message = f"the call registry is full: it holds at most {limit} call ids"
            raise CallRegistryFull(message, REOPEN_DELAY_S)
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
        # A request received before the refusal is a late duplicate: its caller has
        # since been informed that the call was not run.
        if received_at_uptime_s <= refusal.refused_at_uptime_s:
            return False
        return uptime_s >= refusal.refused_at_uptime_s + REOPEN_DELAY_S

    def _store_answer(self, record: CallRecord, answer: StoredAnswer) -> None:
        if answer.size_bytes > self._settings.kept_answers_limit_bytes:
            return
        record.answer = answer
        self._with_answer.append(record)
        self.stored_answer_bytes += answer.size_bytes
        while self.stored_answer_bytes > self._settings.kept_answers_limit_bytes:
            self._drop_answer(self._with_answer.popleft())

    def _drop_answer(self, record: CallRecord) -> None:
        if record.answer is not None:
            self.stored_answer_bytes -= record.answer.size_bytes
            record.answer = None

    def _remove_expired(self, uptime_s: float) -> None:
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
