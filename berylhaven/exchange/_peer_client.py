"""Requests to peers over kept-alive connections."""

import urllib3
from urllib3.util import SKIP_HEADER

from berylhaven.catalogue import CATALOGUE_LIMIT_BYTES
from berylhaven.exchange._http_size import answer_size_bytes, request_size_bytes
from berylhaven.exchange._traffic import PeerTraffic
from berylhaven.http1 import REQUEST_ERRORS, BoundedAnswer, BoundedClient

CONNECTIONS_PER_PEER = 2
# With more peers than this, some requests open a new connection.
POOL_COUNT = 256
# How long an answer may take in addition once its first byte is due: a catalogue of
# 1 MB over a link of 0.6 MB/s takes 1.7 s.
TRANSFER_TIMEOUT_S = 3.0
# Peers don't use these headers, which would be a large part of a small message.
SKIPPED_HEADERS = {"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER}


class PeerUnreachable(Exception):
    """A peer did not answer in time, or not with status 200."""


class PeerClient:
    """An HTTP client for peers.

    Parameters
    ----------
    traffic : PeerTraffic
        Counts messages and bytes.
    timeout_s : float
        The time limit for connecting and for each read, in seconds.
    """

    __slots__ = ("_client", "_timeout_s", "_traffic")

    def __init__(self, traffic: PeerTraffic, timeout_s: float = 1.0) -> None:
        # Messages are smaller than the largest catalogue.
        self._client = BoundedClient(
            CATALOGUE_LIMIT_BYTES, CONNECTIONS_PER_PEER, POOL_COUNT
        )
        self._timeout_s = timeout_s
        self._traffic = traffic

    def request(
        self, method: str, peers_address: str, path: str, body: bytes | None = None
    ) -> bytes:
        """Send a request and return the body of the answer.

        Parameters
        ----------
        method : str
            The HTTP method.
        peers_address : str
            HOST:PORT of the peer.
        path : str
            Path and query.
        body : bytes or None
            The JSON body, or None to send none.

        Returns
        -------
        bytes
            The body of the answer.

        Raises
        ------
        PeerUnreachable
            If there is no 200 answer in time.
        """
        return self.response(method, peers_address, path, body).data

    def response(
        self, method: str, peers_address: str, path: str, body: bytes | None = None
    ) -> BoundedAnswer:
        """Send a request and return the answer, its body read.

        Parameters
        ----------
        method : str
            The HTTP method.
        peers_address : str
            HOST:PORT of the peer.
        path : str
            Path and query.
        body : bytes or None
            The JSON body, or None to send none.

        Returns
        -------
        BoundedAnswer
            The answer with its headers.

        Raises
        ------
        PeerUnreachable
            If there is no 200 answer in time, or it exceeds the size limit.
        """
        url = f"http://{peers_address}{path}"
        self._count_request(method, peers_address, path, body)
        try:
            answer = self._client.request(
                method,
                url,
                self._timeout_s + TRANSFER_TIMEOUT_S,
                body=body,
                headers=SKIPPED_HEADERS,
                socket_timeout=urllib3.Timeout(
                    connect=self._timeout_s, read=self._timeout_s
                ),
            )
        except REQUEST_ERRORS as error:
            raise PeerUnreachable(f"{peers_address}{path}: {error}") from error
        status = f"{answer.status} {answer.reason}"
        size_bytes = answer_size_bytes(status, answer.headers.items(), len(answer.data))
        self._traffic.record_received(size_bytes)
        if answer.status != 200:
            raise PeerUnreachable(f"{peers_address}{path}: status {answer.status}")
        return answer

    def _count_request(
        self, method: str, peers_address: str, path: str, body: bytes | None
    ) -> None:
        headers = [("Host", peers_address)]
        if body is not None:
            headers.append(("Content-Length", str(len(body))))
        self._traffic.record_sent(
            request_size_bytes(method, path, headers, len(body or b""))
        )
