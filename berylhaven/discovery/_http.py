"""The HTTP client that the adapters share."""

import urllib3

from berylhaven.discovery._errors import PlatformUnavailable
from berylhaven.settings import PlatformSettings

# A watch and a plain read may be open at once.
CONNECTIONS_PER_SERVICE = 2


class PlatformHttp:
    """Requests to one service of the platform.

    Parameters
    ----------
    address : str
        HOST:PORT of the service.
    settings : PlatformSettings
        With the time to wait for an answer.
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
        """Read a path whole.

        Parameters
        ----------
        path : str
            Path and query.
        extra_wait_s : float
            How long the service may hold the answer on purpose.
        headers : dict or None
            Further headers.

        Returns
        -------
        urllib3.BaseHTTPResponse
            With status 200 or 304 and its body read.

        Raises
        ------
        PlatformUnavailable
            If there is no such answer in time.
        """
        timeout_s = self._settings.timeout_s + extra_wait_s
        try:
            answer = self._pool.request("GET", path, timeout=timeout_s, headers=headers)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise PlatformUnavailable(f"{path}: {error}") from error
        if answer.status not in (200, 304):
            raise PlatformUnavailable(f"{path}: status {answer.status}")
        return answer
