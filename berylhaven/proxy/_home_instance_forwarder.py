"""Forwarding of a call to the home instance of its call id."""

import dataclasses

from berylhaven.blackboard import Blackboard
from berylhaven.calls import AttemptFailed
from berylhaven.clock import monotonic_s
from berylhaven.http1._hop_headers import end_to_end_headers
from berylhaven.http1._upstream_answer import UpstreamAnswer
from berylhaven.http1._upstream_connection import UpstreamConnection
from berylhaven.membership import MEMBERSHIP_SECTION
from berylhaven.proxy._answer_body import stream_body
from berylhaven.proxy._attempt import AttemptLimits, send_attempt
from berylhaven.proxy._call_answer import OUTCOME_HEADER, RESULT_HEADER, CallAnswer
from berylhaven.proxy._call_request import (
    FORWARDED_BY_HEADER,
    RECEIVED_AGO_HEADER,
    CallRequest,
)
from berylhaven.proxy._stop_watch import StopWatch
from berylhaven.results import HomeInstanceUnknown, HomeInstanceUnreachable
from berylhaven.settings import ProxySettings

RETRY_AFTER_S = 1.0
SERVICES_PREFIX = "/v1/services/"
# Headers of the home instance's own answer that go to the caller unchanged.
FORWARDED_ANSWER_HEADERS = (OUTCOME_HEADER, RESULT_HEADER, "Retry-After")


class HomeInstanceForwarder:
    """Forwards calls to the entry instances that may run them.

    Parameters
    ----------
    blackboard : Blackboard
        Holds the membership table.
    own_nonce : str
        The nonce of this run.
    settings : ProxySettings
        Gives the size limits of heads and body pieces.
    stop_watch : StopWatch
        Ends the forwarding when the instance stops.
    """

    __slots__ = ("_blackboard", "_own_nonce", "_settings", "_stop_watch")

    def __init__(
        self,
        blackboard: Blackboard,
        own_nonce: str,
        settings: ProxySettings,
        stop_watch: StopWatch,
    ) -> None:
        self._stop_watch = stop_watch
        self._blackboard = blackboard
        self._own_nonce = own_nonce
        self._settings = settings

    def forward(self, request: CallRequest) -> CallAnswer:
        """Forward a call and return the home instance's answer.

        Every refusal raised here has the outcome `unknown`: an earlier request with
        the same id may have reached the home instance by another path.

        Parameters
        ----------
        request : CallRequest
            The call, whose id names another run as its home instance.

        Returns
        -------
        CallAnswer
            The home instance's answer, its body streamed.

        Raises
        ------
        CallRefused
            If the home instance is unknown or does not answer.
        """
        if request.is_forwarded:
            raise HomeInstanceUnknown(
                "the call was forwarded to a run that is not its home instance"
            )
        connection = self._connection_to(request.home_instance_nonce)
        limits = AttemptLimits(self._settings.chunk_bytes)
        upstream = None
        try:
            upstream = send_attempt(
                connection, self._forwarded_request(request), limits, self._stop_watch
            )
        except AttemptFailed as failure:
            message = (
                f"the home instance of the call id did not answer: {failure.message}"
            )
            raise HomeInstanceUnreachable(message, RETRY_AFTER_S) from failure
        finally:
            if upstream is None:
                connection.close()
        if upstream.fields.get(OUTCOME_HEADER) is None:
            connection.close()
            raise HomeInstanceUnreachable(
                "the answer from the home instance's address has no outcome header"
            )
        return CallAnswer(
            f"{upstream.status} {upstream.reason}",
            _answer_headers(upstream),
            stream_body(
                upstream,
                self._settings.chunk_bytes,
                request.deadline_s,
                lambda _: connection.close(),
            ),
        )

    def _connection_to(self, home_instance_nonce: str) -> UpstreamConnection:
        table = self._blackboard.value(MEMBERSHIP_SECTION)
        for peer in table.peers():
            if peer.announcement.nonce == home_instance_nonce:
                # A new connection for each call: an idle one may be unresponsive.
                return UpstreamConnection(
                    peer.announcement.callers_address, self._settings.header_limit_bytes
                )
        message = "the entry instance that issued the call id is not a known member"
        raise HomeInstanceUnknown(message, RETRY_AFTER_S)

    def _forwarded_request(self, request: CallRequest) -> CallRequest:
        ago_ms = int((monotonic_s() - request.received_at_s) * 1000)
        added = [
            (FORWARDED_BY_HEADER, self._own_nonce),
            (RECEIVED_AGO_HEADER, str(ago_ms)),
        ]
        return dataclasses.replace(
            request,
            target=f"{SERVICES_PREFIX}{request.service.name}{request.target}",
            headers=request.headers + added,
        )


def _answer_headers(upstream: UpstreamAnswer) -> list[tuple[str, str]]:
    kept = end_to_end_headers(upstream.headers, frozenset())
    names = {name.lower() for name, _ in kept}
    for name in FORWARDED_ANSWER_HEADERS:
        value = upstream.fields.get(name)
        if value is not None and name.lower() not in names:
            kept.append((name, value))
    return kept
