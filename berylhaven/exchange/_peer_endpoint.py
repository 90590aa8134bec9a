"""Registry of peer endpoints: further requests between peers, by path."""

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
    # The body, cut at the size limit of the peers' port.
    body: bytes


@dataclass(slots=True)
class PeerAnswer:
    """An endpoint's answer with status 200."""

    # The body.
    body: bytes
    # The media type of the body.
    content_type: str = "application/json"
    # Further headers by name.
    headers: dict[str, str] = field(default_factory=dict)


class PeerEndpoint(Protocol):
    """Answers the requests to one path; constructed with the controllers' context."""

    def answer(self, request: PeerRequest) -> PeerAnswer | None:
        """Answer a request.

        Parameters
        ----------
        request : PeerRequest
            The request of the peer.

        Returns
        -------
        PeerAnswer or None
            The answer; None if the requested item does not exist now (status 404).

        Raises
        ------
        ValueError
            If the request is malformed (status 400).
        """


def register_peer_endpoint(path: str) -> Callable[[C], C]:
    """Register a class as the endpoint of a path on the peers' port.

    Parameters
    ----------
    path : str
        The full path, without a query.

    Returns
    -------
    callable
        The class decorator.

    Raises
    ------
    ValueError
        If the path has an endpoint already.
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
