"""At-most-once execution, by the call ids that the home instance remembers."""

from collections.abc import Callable
from hashlib import blake2b

import eventlet
import eventlet.event

from berylhaven.calls import (
    REOPEN_DELAY_S,
    CallRecord,
    CallRegistry,
    CallState,
    OpenDecision,
    StoredAnswer,
)
from berylhaven.clock import monotonic_s
from berylhaven.membership import LocalInstance
from berylhaven.proxy._call_answer import CallAnswer
from berylhaven.proxy._call_request import CallRequest
from berylhaven.proxy._recording_body import RecordingBody
from berylhaven.results import (
    AnswerNotStored,
    CallRefused,
    DeadlineExceeded,
    Outcome,
    StillRunning,
    UpstreamBroken,
)
from berylhaven.settings import CallsSettings

FINGERPRINT_BYTES = 8
RETRY_AFTER_S = 1.0


class AtMostOnceRunner:
    """Starts a call, joins a running one, or answers from a stored record.

    Parameters
    ----------
    settings : CallsSettings
        Gives the size limit of stored answers.
    registry : CallRegistry
        The records of the call ids that this run issued.
    local_instance : LocalInstance
        Gives the uptime, which dates call ids.
    """

    __slots__ = ("_settings", "_registry", "_local_instance")

    def __init__(
        self,
        settings: CallsSettings,
        registry: CallRegistry,
        local_instance: LocalInstance,
    ) -> None:
        self._settings = settings
        self._registry = registry
        self._local_instance = local_instance

    def run(self, request: CallRequest, start: Callable[[], CallAnswer]) -> CallAnswer:
        """Answer a request whose home instance is this run.

        Parameters
        ----------
        request : CallRequest
            The call.
        start : callable
            Runs the call; called at most once for each call id, unless the earlier
            run ended with proof that no backend server started the call.

        Returns
        -------
        CallAnswer
            The answer, or the one stored for an earlier request.

        Raises
        ------
        CallRefused
            If no answer is available.
        """
        uptime_s = self._local_instance.uptime_s
        received_at_uptime_s = uptime_s - (monotonic_s() - request.received_at_s)
        opening, record = self._registry.open(
            request.call_id_parts, fingerprint(request), uptime_s, received_at_uptime_s
        )
        if opening is OpenDecision.START:
            return self._start(request, record, start)
        if opening is OpenDecision.JOIN:
            self._join(request, record)
        return _ended_answer(record)

    def _start(
        self, request: CallRequest, record: CallRecord, start: Callable
    ) -> CallAnswer:
        try:
            answer = start()
            return self._store_answer(request, record, answer)
        except CallRefused as refusal:
            self._record_refusal(record, refusal)
            raise
        except BaseException:
            self._record_refusal(
                record, UpstreamBroken("the call was cancelled before its answer")
            )
            raise

    def _record_refusal(self, record: CallRecord, refusal: CallRefused) -> None:
        if record.state is CallState.RUNNING:
            self._registry.record_refusal(
                record, refusal, self._local_instance.uptime_s
            )

    def _store_answer(
        self, request: CallRequest, record: CallRecord, answer: CallAnswer
    ) -> CallAnswer:
        """Read a small answer fully, to store it even if the caller disconnected."""
        limit_bytes = self._settings.kept_answer_limit_bytes
        length = _content_length(answer)
        if length is not None and length <= limit_bytes:
            body = _read_body(answer, request.deadline_s)
            self._registry.record_answer(record, _stored_answer(answer, body))
            return CallAnswer(answer.status, answer.headers, [body])

        def end_record(body: bytes | None) -> None:
            """Store the answer, with its body if that was recorded."""
            stored = None if body is None else _stored_answer(answer, body)
            self._registry.record_answer(record, stored)

        if length is not None:
            end_record(None)
            return answer
        recording_body = RecordingBody(answer.body, limit_bytes, end_record)
        return CallAnswer(answer.status, answer.headers, recording_body)

    def _join(self, request: CallRequest, record: CallRecord) -> None:
        ended = eventlet.event.Event()
        record.add_waiter(ended.send)
        ended.wait(timeout=max(0.0, request.deadline_s - monotonic_s()))
        if record.state is CallState.RUNNING:
            raise StillRunning(
                "the call was still running at the deadline of this request",
                RETRY_AFTER_S,
            )


def fingerprint(request: CallRequest) -> bytes:
    """Return a digest that identifies the content of a request.

    Parameters
    ----------
    request : CallRequest
        The call.

    Returns
    -------
    bytes
        Equal for a retry; different for another service, method, target or length.
    """
    parts = (
        request.service.name,
        request.method,
        request.target,
        str(request.body.content_length),
    )
    text = "\n".join(parts).encode("utf-8", "surrogateescape")
    return blake2b(text, digest_size=FINGERPRINT_BYTES).digest()


def _content_length(answer: CallAnswer) -> int | None:
    for name, value in answer.headers:
        if name.lower() == "content-length" and value.isdigit():
            return int(value)
    return None


def _read_body(answer: CallAnswer, deadline_s: float) -> bytes:
    if isinstance(answer.body, list):
        return b"".join(answer.body)
    timeout_error = DeadlineExceeded(
        "the answer body was not complete at the deadline", RETRY_AFTER_S
    )
    try:
        with eventlet.Timeout(max(0.0, deadline_s - monotonic_s()), timeout_error):
            return b"".join(answer.body)
    finally:
        answer.body.close()


def _stored_answer(answer: CallAnswer, body: bytes) -> StoredAnswer:
    return StoredAnswer(answer.status, list(answer.headers), body)


def _ended_answer(record: CallRecord) -> CallAnswer:
    if record.refusal is not None:
        may_return = record.refusal.outcome is Outcome.NOT_RUN
        raise record.refusal.to_exception(REOPEN_DELAY_S if may_return else None)
    stored = record.answer
    if stored is None:
        raise AnswerNotStored("the call ran, but its answer is no longer stored")
    return CallAnswer(stored.status, list(stored.headers), [stored.body])
