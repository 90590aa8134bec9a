"""The WSGI application on the peers' port."""

from collections.abc import Callable, Iterable, Mapping

from berylhaven.exchange._http_size import answer_size_bytes, request_size_bytes
from berylhaven.exchange._peer_endpoint import PeerAnswer, PeerEndpoint, PeerRequest
from berylhaven.exchange._traffic import PeerTraffic

MESSAGE_LIMIT_BYTES = 1_000_000
# The WSGI server adds it to each answer.
DATE_HEADER = ("Date", "Thu, 01 Jan 1970 00:00:00 GMT")
OK = "200 OK"
BAD_REQUEST = "400 Bad Request"
NOT_FOUND = "404 Not Found"


class PeersApplication:
    """Answers other entry instances.

    Parameters
    ----------
    endpoints : mapping of str to PeerEndpoint
        What answers each path.
    traffic : PeerTraffic
        Counts the bytes.
    """

    __slots__ = ("_endpoints", "_traffic")

    def __init__(
        self, endpoints: Mapping[str, PeerEndpoint], traffic: PeerTraffic
    ) -> None:
        self._endpoints = endpoints
        self._traffic = traffic

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one request."""
        request = PeerRequest(
            method=environ["REQUEST_METHOD"],
            query=environ.get("QUERY_STRING", ""),
            body=environ["wsgi.input"].read(MESSAGE_LIMIT_BYTES),
        )
        self._count_request(environ, request)
        status, answer = self._answer(environ["PATH_INFO"], request)
        headers = _headers(answer)
        size_bytes = answer_size_bytes(
            status, [*headers, DATE_HEADER], len(answer.body)
        )
        self._traffic.record_sent(size_bytes)
        start_response(status, headers)
        return [answer.body]

    def _answer(self, path: str, request: PeerRequest) -> tuple[str, PeerAnswer]:
        endpoint = self._endpoints.get(path)
        if endpoint is None:
            return NOT_FOUND, PeerAnswer(b"no such path", "text/plain")
        try:
            answer = endpoint.answer(request)
        except ValueError as error:
            return BAD_REQUEST, PeerAnswer(str(error).encode(), "text/plain")
        if answer is None:
            return NOT_FOUND, PeerAnswer(b"nothing of that name now", "text/plain")
        return OK, answer

    def _count_request(self, environ: dict, request: PeerRequest) -> None:
        target = environ["PATH_INFO"]
        if request.query:
            target += f"?{request.query}"
        headers = environ.get("headers_raw", ())
        size_bytes = request_size_bytes(
            request.method, target, headers, len(request.body)
        )
        self._traffic.record_received(size_bytes)


def _headers(answer: PeerAnswer) -> list[tuple[str, str]]:
    headers = [("Content-Length", str(len(answer.body))), *answer.headers.items()]
    # JSON is what peers expect; to say so would cost a tenth of a small message.
    if answer.content_type != "application/json":
        headers.append(("Content-Type", answer.content_type))
    return headers
