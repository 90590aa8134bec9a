"""The HTTP client shared by the clients of platform services."""

import urllib3

from berylhaven.discovery._errors import PlatformUnavailable
from berylhaven.settings import PlatformSettings

# A watch and a read may be in progress at the same time.
CONNECTIONS_PER_SERVICE = 2


class PlatformHttp:
    """An HTTP client for one service of the platform.

    Parameters
    ----------
    address : str
        HOST:PORT of the service.
    settings : PlatformSettings
        Settings with the request timeout.
    """

    __slots__ = ("_pool", "_settings")

    def __init__(self, address: str, settings: PlatformSettings) -> None:
        host, _, port = address.rpartition(":")
        self._settings = settings
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=CONNECTIONS_PER_SERVICE, retries=False
        )

    def get(
        self,
        path: str,
        extra_wait_s: float = 0.0,
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
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
        urllib3.BaseHTTPResponse
            The answer with status 200 or 304 and its complete body.

        Raises
        ------
        PlatformUnavailable
            If there is no such answer within the timeout.
        """
        timeout_s = self._settings.timeout_s + extra_wait_s
        try:
            answer = self._pool.request("GET", path, timeout=timeout_s, headers=headers)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise PlatformUnavailable(f"{path}: {error}") from error
        if answer.status not in (200, 304):
            raise PlatformUnavailable(f"{path}: unexpected status {answer.status}")
        return answer
