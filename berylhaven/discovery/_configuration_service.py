"""The client of the configuration service; it only reads and watches."""

from dataclasses import dataclass
from urllib.parse import quote

from berylhaven.catalogue import CATALOGUE_LIMIT_BYTES
from berylhaven.discovery._errors import PlatformUnavailable
from berylhaven.discovery._http import PlatformHttp
from berylhaven.settings import PlatformSettings

VERSION_HEADER = "Value-Version"
# A catalogue that is a little too large is read, and rejected with its size.
ANSWER_LIMIT_BYTES = 2 * CATALOGUE_LIMIT_BYTES


@dataclass(slots=True, frozen=True)
class ConfigurationValue:
    """One value of the configuration service."""

    # The version of the value, which increases with each change.
    version: int
    # The value's content.
    raw: bytes


class ConfigurationService:
    """Reads and watches the value of the catalogue's key.

    Parameters
    ----------
    settings : PlatformSettings
        Settings with the address of the service and the key.
    """

    __slots__ = ("_http", "_path")

    def __init__(self, settings: PlatformSettings) -> None:
        self._http = PlatformHttp(
            settings.configuration_service, settings, ANSWER_LIMIT_BYTES
        )
        self._path = f"/v1/values/{quote(settings.catalogue_key, safe='')}"

    def read(self) -> ConfigurationValue:
        """Read the value.

        Returns
        -------
        ConfigurationValue
            The value that the service returns, which may be stale.

        Raises
        ------
        PlatformUnavailable
            If the service does not answer with a valid value in time.
        """
        return self._value(self._http.get(self._path))

    def watch(self, after_version: int, wait_s: float) -> ConfigurationValue | None:
        """Wait for a version above the one given.

        Parameters
        ----------
        after_version : int
            The version that is already stored.
        wait_s : float
            The maximum time in seconds for which the service holds the request.

        Returns
        -------
        ConfigurationValue or None
            The newer value; None if the value did not change in that time.

        Raises
        ------
        PlatformUnavailable
            If the service does not answer with a valid value in time.
        """
        query = f"?after_version={after_version}&wait_ms={int(wait_s * 1000)}"
        answer = self._http.get(self._path + query, extra_wait_s=wait_s)
        if answer.status == 304:
            return None
        return self._value(answer)

    def _value(self, answer) -> ConfigurationValue:  # noqa: ANN001
        try:
            version = int(answer.headers[VERSION_HEADER])
        except (KeyError, ValueError):
            raise PlatformUnavailable(
                f"{self._path}: missing or invalid header {VERSION_HEADER}"
            ) from None
        return ConfigurationValue(version, answer.data)
