"""Peer endpoints: further requests that peers may send, in a registry by path."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

C = TypeVar("C", bound=type)

_ENDPOINTS: dict[str, type] = {}


@dataclass(slots=True)
class PeerRequest:
    """A peer's request to an endpoint."""

    # The HTTP method.
    method: str
    # The query string, without the question mark.
    query: str
    # The body, at most as long as the peers' port takes.
    body: bytes


@dataclass(slots=True)
class PeerAnswer:
    """An endpoint's answer with status 200."""

    # The body.
    body: bytes
    # The body's media type.
    content_type: str = "application/json"
    # Further headers by name.
    headers: dict[str, str] = field(default_factory=dict)


class PeerEndpoint(Protocol):
    """Answers the requests to one path; built with the controllers' context."""

    def answer(self, request: PeerRequest) -> PeerAnswer | None:
        """Answer a request.

        Parameters
        ----------
        request : PeerRequest
            As the peer sent it.

        Returns
        -------
        PeerAnswer or None
            None answers 404: there is nothing of that name now.

        Raises
        ------
        ValueError
            If the request is malformed, which answers 400.
        """


def register_peer_endpoint(path: str) -> Callable[[C], C]:
    """Register a class as the endpoint of a path on the peers' port.

    Parameters
    ----------
    path : str
        The whole path, without a query.

    Returns
    -------
    callable
        The class decorator.

    Raises
    ------
    ValueError
        If the path is taken.
    """

    def decorate(endpoint: C) -> C:
        if path in _ENDPOINTS:
            raise ValueError(f"peer endpoint {path} is registered twice")
        _ENDPOINTS[path] = endpoint
        endpoint.path = path
        return endpoint

    return decorate


def peer_endpoint_classes() -> dict[str, type]:
    """Return the registered endpoints by path."""
    return dict(_ENDPOINTS)
