"""The WSGI application on the peers' port."""

from collections.abc import Callable, Iterable, Mapping

from berylhaven.exchange._http_size import answer_size_bytes, request_size_bytes
from berylhaven.exchange._peer_endpoint import PeerAnswer, PeerEndpoint, PeerRequest
from berylhaven.exchange._traffic import PeerTraffic

# The WSGI server adds this header to each answer; it is included in the counted size.
DATE_HEADER = ("Date", "Thu, 01 Jan 1970 00:00:00 GMT")
HTTP_STATUS_OK = "200 OK"
HTTP_STATUS_BAD_REQUEST = "400 Bad Request"
HTTP_STATUS_NOT_FOUND = "404 Not Found"


class PeersApplication:
    """Answers the requests of other entry instances.

    Parameters
    ----------
    endpoints : mapping of str to PeerEndpoint
        The endpoint of each path.
    traffic : PeerTraffic
        Counts messages and bytes.
    """

    __slots__ = ("_endpoints", "_traffic")

    # The size limit of a request body. Messages have a few kilobytes, and 1 MB of JSON
    # is decoded in one turn of 50 ms.
    BODY_LIMIT_BYTES = 65_536

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
            body=environ["wsgi.input"].read(self.BODY_LIMIT_BYTES),
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
            return HTTP_STATUS_NOT_FOUND, PeerAnswer(b"no such path", "text/plain")
        try:
            answer = endpoint.answer(request)
        except ValueError as error:
            return HTTP_STATUS_BAD_REQUEST, PeerAnswer(
                str(error).encode(), "text/plain"
            )
        if answer is None:
            return HTTP_STATUS_NOT_FOUND, PeerAnswer(
                b"the requested item does not exist", "text/plain"
            )
        return HTTP_STATUS_OK, answer

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
    # Peers expect JSON, and the header would add a tenth to a small message's size.
    if answer.content_type != "application/json":
        headers.append(("Content-Type", answer.content_type))
    return headers
