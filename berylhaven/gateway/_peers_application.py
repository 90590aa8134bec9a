"""The WSGI application for requests of other instances."""

import re
import zlib
from collections.abc import Callable
from urllib.parse import parse_qs

from berylhaven.gateway._gateway_instance import GatewayInstance
from berylhaven.gateway._store_revision import StoreRevision
from berylhaven.gateway.members._evidence_spread import EVIDENCE_PATH, EVIDENCE_QUERY
from berylhaven.gateway.members._member_codec import (
    COMPRESSION_LEVEL,
    MESSAGE_LIMIT_BYTES,
)
from berylhaven.gateway.members._member_gossip import GOSSIP_PATH
from berylhaven.gateway.store._fleet_source import HistoryGone, SourceUnavailable
from berylhaven.gateway.store._relayed_source import UPDATE_ENCODING, UPDATES_PATH
from berylhaven.gateway.store._update_codec import encode_update
from berylhaven.http1 import answer_bytes, answer_status

MILLISECONDS_PER_SECOND = 1_000
# The longest time for which a request for an update is held.
WAIT_LIMIT_S = 5.0
# A number of a query; an answer can hold all of these.
NUMBER = re.compile(r"[0-9]{1,19}")


class PeersApplication:
    """Answers gossip and requests for updates of other instances.

    Parameters
    ----------
    instance : GatewayInstance
        The instance.
    """

    __slots__ = ("_instance",)

    # The size limit of a request body.
    BODY_LIMIT_BYTES = MESSAGE_LIMIT_BYTES

    def __init__(self, instance: GatewayInstance) -> None:
        self._instance = instance

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Answer one request."""
        path = environ["PATH_INFO"]
        if path == GOSSIP_PATH:
            return self._answer_gossip(environ, start_response)
        if path == EVIDENCE_PATH:
            return self._answer_evidence(environ, start_response)
        if path == UPDATES_PATH:
            return self._answer_update(environ, start_response)
        return answer_status(start_response, "404 Not Found")

    def _answer_update(self, environ: dict, start_response: Callable) -> list[bytes]:
        query = parse_qs(environ.get("QUERY_STRING", ""))
        try:
            wait_ms = _number(query, "wait_ms")
            revision = _revision(query)
        except ValueError:
            return answer_status(start_response, "400 Bad Request")
        wait_s = min(wait_ms / MILLISECONDS_PER_SECOND, WAIT_LIMIT_S)
        try:
            update = self._instance.update_after(revision, wait_s)
        except HistoryGone:
            return answer_status(start_response, "410 Gone")
        except SourceUnavailable:
            return answer_status(start_response, "503 Service Unavailable")
        body = encode_update(update)
        # Instances of earlier releases accept no compression.
        if environ.get("HTTP_ACCEPT_ENCODING") != UPDATE_ENCODING:
            return answer_bytes(start_response, "200 OK", body)
        return answer_bytes(
            start_response,
            "200 OK",
            zlib.compress(body, COMPRESSION_LEVEL),
            content_encoding=UPDATE_ENCODING,
        )

    def _answer_gossip(self, environ: dict, start_response: Callable) -> list[bytes]:
        return _answer_message(environ, start_response, self._instance.answer_gossip)

    def _answer_evidence(self, environ: dict, start_response: Callable) -> list[bytes]:
        is_complete = environ.get("QUERY_STRING", "") == EVIDENCE_QUERY
        return _answer_message(
            environ,
            start_response,
            lambda body: self._instance.answer_evidence(body, is_complete),
        )


def _answer_message(
    environ: dict, start_response: Callable, answer: Callable[[bytes], bytes]
) -> list[bytes]:
    """Answer a message of a peer; one that is malformed changes nothing."""
    try:
        length_bytes = int(environ.get("CONTENT_LENGTH") or 0)
        if length_bytes > MESSAGE_LIMIT_BYTES:
            return answer_status(start_response, "413 Content Too Large")
        body = answer(environ["wsgi.input"].read(length_bytes))
    except ValueError:
        return answer_status(start_response, "400 Bad Request")
    return answer_bytes(start_response, "200 OK", body)


def _revision(query: dict[str, list[str]]) -> StoreRevision | None:
    """Return the revision that a peer has, or None if it has none."""
    if "after" not in query:
        return None
    # Instances of earlier releases send no era.
    return StoreRevision(_number(query, "era"), _number(query, "after"))


def _number(query: dict[str, list[str]], name: str) -> int:
    """Return a number of a query, 0 if it is missing; raise ValueError if malformed."""
    text = query.get(name, ["0"])[0]
    if NUMBER.fullmatch(text) is None:
        raise ValueError(f"{name} is {text!r:.100}, not a number")
    return int(text)
