"""The WSGI application on the callers' port."""

import random
import secrets
import traceback
from collections.abc import Callable, Iterable
from urllib.parse import parse_qs

from berylhaven.backend import CALL_ID_HEADER as CALL_ID_ANSWER_HEADER
from berylhaven.blackboard import Blackboard
from berylhaven.calls import CallId, parse_call_id
from berylhaven.catalogue import CATALOGUE_SECTION, ActiveCatalogue, ServiceEntry
from berylhaven.clock import PauseWatch, monotonic_s
from berylhaven.http1._hop_headers import REQUEST_FRAMING, end_to_end_headers
from berylhaven.http1._request_body import RequestBody
from berylhaven.membership import (
    DRAIN_SECTION,
    MEMBERSHIP_SECTION,
    Announcement,
    DrainStage,
    PeerState,
)
from berylhaven.operations import ComponentLog
from berylhaven.proxy._call_answer import (
    CallAnswer,
    json_answer,
    outcome_headers,
    refusal_answer,
)
from berylhaven.proxy._call_handler import CallHandler
from berylhaven.proxy._call_request import (
    CALL_ID_HEADER,
    FORWARDED_BY_KEY,
    CallRequest,
    parse_deadline_s,
    parse_received_at_s,
)
from berylhaven.proxy._callers_protocol import (
    ANSWER_BODY_KEY,
    CALLER_SOCKET_KEY,
    END_CONNECTION_KEY,
)
from berylhaven.proxy._locate import locate_document
from berylhaven.proxy._pending_calls import PendingCalls
from berylhaven.proxy._stop_watch import StopRequested, StopWatch
from berylhaven.results import (
    BodyTooLarge,
    CallRefused,
    InstanceLeaving,
    InternalError,
    Located,
    NotReady,
    Outcome,
    UnknownService,
)
from berylhaven.settings import Settings

LOG = ComponentLog("callers")
ENTRIES_PATH = "/v1/entries"
SERVICES_PREFIX = "/v1/services/"
# Environment key of the record of the request.
PENDING_CALL_KEY = "berylhaven.pending_call"
CALL_ID_RANDOM_BYTES = 12
# How long one announcement is used to issue call ids; uptimes are whole seconds.
ISSUER_CACHE_TIME_S = 0.25
RETRY_AFTER_S = 1.0


class CallersApplication:
    """Answers requests on the callers' port.

    Parameters
    ----------
    settings : Settings
        The settings of the process.
    blackboard : Blackboard
        Holds the catalogue and the membership table.
    handler : CallHandler
        Runs the calls.
    own_announcement : callable
        Returns the current announcement of this instance.
    """

    __slots__ = (
        "_settings",
        "_blackboard",
        "_handler",
        "_own_announcement",
        "pending",
        "_arrivals",
        "_pause_watch",
        "_random",
        "_issuer_announcement",
        "_issuer_expires_at_s",
    )

    def __init__(
        self,
        settings: Settings,
        blackboard: Blackboard,
        handler: CallHandler,
        own_announcement: Callable[[], Announcement],
    ) -> None:
        self._settings = settings
        self._blackboard = blackboard
        self._handler = handler
        self._own_announcement = own_announcement
        # The requests that are not answered yet.
        self.pending = PendingCalls()
        # The requests of which the first part is still arriving.
        self._arrivals = StopWatch()
        self._random = random.Random()
        self._issuer_announcement: Announcement | None = None
        self._issuer_expires_at_s = float("-inf")
        self._pause_watch = PauseWatch()
        self._pause_watch.start()

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one request; an internal error is answered with a result code too."""
        environ[PENDING_CALL_KEY] = self.pending.begin(environ)
        try:
            answer = self._answer(environ)
        except CallRefused as refusal:
            answer = self._refuse(environ, refusal)
        except Exception as error:
            LOG.error(
                "A call failed with an internal error: %s.", traceback.format_exc()
            )
            refusal = InternalError(f"internal error of type {type(error).__name__}")
            answer = self._refuse(environ, refusal)
        start_response(answer.status, answer.headers)
        environ[ANSWER_BODY_KEY] = answer.body
        return answer.body

    def _refuse(self, environ: dict, refusal: CallRefused) -> CallAnswer:
        body = environ["wsgi.input"]
        if body.awaits_continue or not body.is_ended:
            # The unread rest of the body must not be parsed as the next request.
            environ[END_CONNECTION_KEY]()
        return refusal_answer(refusal)

    def _answer(self, environ: dict) -> CallAnswer:
        path = environ["RAW_PATH_INFO"]
        if path == ENTRIES_PATH:
            return self._locate(environ)
        if path.startswith(SERVICES_PREFIX):
            return self._call(environ, path.removeprefix(SERVICES_PREFIX))
        raise UnknownService(f"path {path[:100]!r} does not exist")

    def _active_catalogue(self) -> ActiveCatalogue:
        reading = self._blackboard.read(CATALOGUE_SECTION)
        if reading is None:
            raise NotReady("no catalogue has been loaded yet", RETRY_AFTER_S)
        return reading.value

    def _service(self, active: ActiveCatalogue, name: str) -> ServiceEntry:
        service = active.catalogue.services.get(name)
        if service is None:
            raise UnknownService(f"service {name[:100]!r} is not in the catalogue")
        return service

    def _locate(self, environ: dict) -> CallAnswer:
        query = parse_qs(environ.get("QUERY_STRING", ""))
        name = query.get("service", [""])[0]
        data_centre = query.get("data_centre", [None])[0]
        active = self._active_catalogue()
        service = self._service(active, name)
        table = self._blackboard.value(MEMBERSHIP_SECTION)
        live = table.in_state(monotonic_s(), PeerState.LIVE)
        announcements = [peer.announcement for peer in live]
        announcements.append(self._own_announcement())
        answer = json_answer(
            locate_document(
                name,
                service.owner,
                active.revision,
                self._settings.proxy.locate_time_to_live_s,
                announcements,
                data_centre,
                self._random,
            )
        )
        answer.headers.extend(outcome_headers(Located.code, Outcome.RUN))
        return answer

    def _call(self, environ: dict, rest: str) -> CallAnswer:
        call_id = self._call_id(environ)
        try:
            answer = self._identified_call(environ, rest, call_id)
        except CallRefused as refusal:
            answer = self._refuse(environ, refusal)
        answer.headers.append((CALL_ID_ANSWER_HEADER, str(call_id)))
        return answer

    def _identified_call(self, environ: dict, rest: str, call_id: CallId) -> CallAnswer:
        name, _, path = rest.partition("/")
        try:
            active = self._active_catalogue()
            service = self._service(active, name)
            request = self._request(environ, service, "/" + path, call_id)
        except CallRefused as refusal:
            self._handler.correct_outcome(refusal, call_id)
            raise
        return self._handler.handle(active.catalogue, request)

    def _request(
        self, environ: dict, service: ServiceEntry, path: str, call_id: CallId
    ) -> CallRequest:
        query = environ.get("QUERY_STRING")
        body = environ["wsgi.input"]
        now_s = monotonic_s()
        # The request may have waited this long in the socket before it was read.
        waited_s = self._pause_watch.possible_unread_s(now_s)
        received_at_s = parse_received_at_s(environ, now_s) - waited_s
        deadline_s = parse_deadline_s(environ, service, now_s - waited_s)
        if (body.content_length or 0) > service.body_limit_bytes:
            raise BodyTooLarge(
                f"the body of {body.content_length} bytes exceeds the limit of "
                f"{service.body_limit_bytes} bytes"
            )
        self._check_drain(environ, deadline_s)
        body.limit_bytes = service.body_limit_bytes
        if not body.awaits_continue:
            # Until this part has arrived, a slow sender holds only its connection.
            self._buffer_first_part(body)
            # It may have arrived late.
            self._check_drain(environ, deadline_s)
        return CallRequest(
            service=service,
            method=environ["REQUEST_METHOD"],
            target=f"{path}?{query}" if query else path,
            headers=end_to_end_headers(environ["headers_raw"], REQUEST_FRAMING),
            body=body,
            deadline_s=deadline_s,
            call_id=str(call_id),
            call_id_parts=call_id,
            received_at_s=received_at_s,
            is_forwarded=FORWARDED_BY_KEY in environ,
            caller_socket=environ[CALLER_SOCKET_KEY],
            pending=environ[PENDING_CALL_KEY],
        )

    def refuse_arriving(self) -> None:
        """Refuse the requests that have not arrived yet; they can't be run in time."""
        self._arrivals.stop()

    def _buffer_first_part(self, body: RequestBody) -> None:
        thread = None
        try:
            thread = self._arrivals.begin()
            body.buffer_first_part(self._settings.proxy.chunk_bytes)
        except StopRequested:
            raise InstanceLeaving(
                "this instance stopped before the request had arrived"
            ) from None
        finally:
            self._arrivals.end(thread)

    def _check_drain(self, environ: dict, deadline_s: float) -> None:
        """Refuse a call whose answer may be due after the end of this instance."""
        reading = self._blackboard.read(DRAIN_SECTION)
        if reading is None:
            return
        progress, now_s = reading.value, monotonic_s()
        is_done = progress.stage is DrainStage.DONE
        if is_done or not progress.drain.takes(now_s, deadline_s):
            environ[END_CONNECTION_KEY]()
            left_s = max(0.0, progress.drain.cuts_at_s - now_s)
            raise InstanceLeaving(
                f"this instance stops; calls are answered for {left_s:.1f} s more at "
                f"most, and this one may take {deadline_s - now_s:.1f} s"
            )

    def _call_id(self, environ: dict) -> CallId:
        text = environ.get(CALL_ID_HEADER)
        if text is not None:
            return parse_call_id(text)
        announcement = self._issuer()
        random_part = secrets.token_hex(CALL_ID_RANDOM_BYTES)
        return CallId(announcement.nonce, announcement.uptime_s, random_part)

    def _issuer(self) -> Announcement:
        """Return a recent announcement; its uptime may lag, as in locate answers."""
        now_s = monotonic_s()
        if now_s >= self._issuer_expires_at_s:
            self._issuer_announcement = self._own_announcement()
            self._issuer_expires_at_s = now_s + ISSUER_CACHE_TIME_S
        return self._issuer_announcement
