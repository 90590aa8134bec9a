"""The WSGI application by which instances talk to one another."""

from collections.abc import Callable

from berylhaven.gateway._gateway_instance import GatewayInstance
from berylhaven.gateway._member_gossip import GOSSIP_PATH

PLAIN = [("Content-Type", "text/plain; charset=utf-8")]
MESSAGE_LIMIT_BYTES = 1_000_000


class PeersApplication:
    """Answers the other instances.

    Parameters
    ----------
    instance : GatewayInstance
        The instance.
    """

    __slots__ = ("_instance",)

    def __init__(self, instance: GatewayInstance) -> None:
        self._instance = instance

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Answer one request."""
        if environ["PATH_INFO"] != GOSSIP_PATH:
            return _plain(start_response, "404 Not Found")
        length_bytes = int(environ.get("CONTENT_LENGTH") or 0)
        if length_bytes > MESSAGE_LIMIT_BYTES:
            return _plain(start_response, "413 Content Too Large")
        try:
            body = self._instance.hear(environ["wsgi.input"].read(length_bytes))
        except ValueError:
            return _plain(start_response, "400 Bad Request")
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        start_response("200 OK", headers)
        return [body]


def _plain(start_response: Callable, status: str) -> list[bytes]:
    body = (status + "\n").encode()
    start_response(status, [*PLAIN, ("Content-Length", str(len(body)))])
    return [body]
