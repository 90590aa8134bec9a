"""The WSGI application on the peers' port."""

from collections.abc import Callable, Iterable, Mapping

from berylhaven.exchange._peer_endpoint import PeerAnswer, PeerEndpoint, PeerRequest

MESSAGE_LIMIT_BYTES = 1_000_000


class PeersApplication:
    """Answers other entry instances.

    Parameters
    ----------
    endpoints : mapping of str to PeerEndpoint
        What answers each path.
    """

    __slots__ = ("_endpoints",)

    def __init__(self, endpoints: Mapping[str, PeerEndpoint]) -> None:
        self._endpoints = endpoints

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one request."""
        endpoint = self._endpoints.get(environ["PATH_INFO"])
        if endpoint is None:
            return _refuse(start_response, "404 Not Found", "no such path")
        request = PeerRequest(
            method=environ["REQUEST_METHOD"],
            query=environ.get("QUERY_STRING", ""),
            body=environ["wsgi.input"].read(MESSAGE_LIMIT_BYTES),
        )
        try:
            answer = endpoint.answer(request)
        except ValueError as error:
            return _refuse(start_response, "400 Bad Request", str(error))
        if answer is None:
            return _refuse(start_response, "404 Not Found", "nothing of that name now")
        start_response("200 OK", _headers(answer))
        return [answer.body]


def _headers(answer: PeerAnswer) -> list[tuple[str, str]]:
    return [
        ("Content-Type", answer.content_type),
        ("Content-Length", str(len(answer.body))),
        *answer.headers.items(),
    ]


def _refuse(start_response: Callable, status: str, message: str) -> list[bytes]:
    start_response(status, [("Content-Type", "text/plain; charset=utf-8")])
    return [message.encode()]
