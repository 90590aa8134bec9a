"""The HTTP client shared by the clients of platform services."""

import urllib3

from berylhaven.discovery._errors import PlatformUnavailable
from berylhaven.http1 import REQUEST_ERRORS, BoundedAnswer, BoundedClient
from berylhaven.settings import PlatformSettings

# A watch and a read may be in progress at the same time.
CONNECTIONS_PER_SERVICE = 2
# How long an answer may take in addition once its first byte is due: 1 MB over a link
# of 0.6 MB/s takes 1.7 s.
TRANSFER_TIMEOUT_S = 3.0


class PlatformHttp:
    """An HTTP client for one service of the platform.

    Parameters
    ----------
    address : str
        HOST:PORT of the service.
    settings : PlatformSettings
        Settings with the request timeout.
    answer_limit_bytes : int
        The size limit of an answer's body, in bytes.
    """

    __slots__ = ("_address", "_client", "_settings")

    def __init__(
        self, address: str, settings: PlatformSettings, answer_limit_bytes: int
    ) -> None:
        self._address = address
        self._settings = settings
        self._client = BoundedClient(answer_limit_bytes, CONNECTIONS_PER_SERVICE)

    def get(
        self,
        path: str,
        extra_wait_s: float = 0.0,
        headers: dict[str, str] | None = None,
    ) -> BoundedAnswer:
        """Send a GET request and read the complete answer.

        Parameters
        ----------
        path : str
            The path and query of the request.
        extra_wait_s : float
            Seconds added to the timeout, as a watch is held by the service.
        headers : dict or None
            Additional request headers.

        Returns
        -------
        BoundedAnswer
            The answer with status 200 or 304 and its complete body.

        Raises
        ------
        PlatformUnavailable
            If there is no such answer within the timeout, or it exceeds its limit.
        """
        timeout_s = self._settings.timeout_s + extra_wait_s
        try:
            answer = self._client.request(
                "GET",
                f"http://{self._address}{path}",
                timeout_s + TRANSFER_TIMEOUT_S,
                headers=headers,
                socket_timeout=urllib3.Timeout(connect=timeout_s, read=timeout_s),
            )
        except REQUEST_ERRORS as error:
            raise PlatformUnavailable(f"{path}: {error}") from error
        if answer.status not in (200, 304):
            raise PlatformUnavailable(f"{path}: unexpected status {answer.status}")
        return answer
