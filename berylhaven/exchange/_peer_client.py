"""Requests to peers over kept-alive connections."""

import urllib3

CONNECTIONS_PER_PEER = 2
POOLS = 64


class PeerUnreachable(Exception):
    """A peer did not answer, or not as the protocol says."""


class PeerClient:
    """An HTTP client for peers.

    Parameters
    ----------
    timeout_s : float
        How long to wait for a peer.
    """

    __slots__ = ("_pools", "_timeout_s")

    def __init__(self, timeout_s: float = 1.0) -> None:
        self._pools = urllib3.PoolManager(
            num_pools=POOLS, maxsize=CONNECTIONS_PER_PEER, retries=False
        )
        self._timeout_s = timeout_s

    def request(
        self, method: str, peers_address: str, path: str, body: bytes | None = None
    ) -> bytes:
        """Send a request and return the body of a 200 answer.

        Parameters
        ----------
        method : str
            The HTTP method.
        peers_address : str
            HOST:PORT of the peer.
        path : str
            Path and query.
        body : bytes or None
            JSON to send.

        Returns
        -------
        bytes
            The answer's body.

        Raises
        ------
        PeerUnreachable
            If there is no 200 answer in time.
        """
        return self.response(method, peers_address, path, body).data

    def response(
        self, method: str, peers_address: str, path: str, body: bytes | None = None
    ) -> urllib3.BaseHTTPResponse:
        """Send a request and return the 200 answer, its body read.

        Parameters
        ----------
        method : str
            The HTTP method.
        peers_address : str
            HOST:PORT of the peer.
        path : str
            Path and query.
        body : bytes or None
            JSON to send.

        Returns
        -------
        urllib3.BaseHTTPResponse
            The answer with its headers.

        Raises
        ------
        PeerUnreachable
            If there is no 200 answer in time.
        """
        url = f"http://{peers_address}{path}"
        try:
            answer = self._pools.request(
                method, url, body=body, timeout=self._timeout_s
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise PeerUnreachable(f"{peers_address}{path}: {error}") from error
        if answer.status != 200:
            raise PeerUnreachable(f"{peers_address}{path}: status {answer.status}")
        return answer
