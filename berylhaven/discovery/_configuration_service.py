"""The adapter to the configuration service, which is only read and watched."""

from dataclasses import dataclass
from urllib.parse import quote

from berylhaven.discovery._errors import PlatformUnavailable
from berylhaven.discovery._http import PlatformHttp
from berylhaven.settings import PlatformSettings

VERSION_HEADER = "Value-Version"


@dataclass(slots=True, frozen=True)
class ConfigurationValue:
    """One value as the configuration service holds it."""

    # The value's version, which rises with each change.
    version: int
    # The value itself.
    raw: bytes


class ConfigurationService:
    """Reads and watches of the catalogue's key.

    Parameters
    ----------
    settings : PlatformSettings
        With the service's address and the key.
    """

    __slots__ = ("_http", "_path")

    def __init__(self, settings: PlatformSettings) -> None:
        self._http = PlatformHttp(settings.configuration_service, settings)
        self._path = f"/v1/values/{quote(settings.catalogue_key, safe='')}"

    def read(self) -> ConfigurationValue:
        """Read the value.

        Returns
        -------
        ConfigurationValue
            As the service holds it, which may be stale.

        Raises
        ------
        PlatformUnavailable
            If the service does not answer.
        """
        return self._value(self._http.get(self._path))

    def watch(self, after_version: int, wait_s: float) -> ConfigurationValue | None:
        """Wait for a version above the one given.

        Parameters
        ----------
        after_version : int
            The version already known.
        wait_s : float
            How long the service holds the question.

        Returns
        -------
        ConfigurationValue or None
            None if nothing changed in that time.

        Raises
        ------
        PlatformUnavailable
            If the service does not answer.
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
            raise PlatformUnavailable(f"{self._path}: no {VERSION_HEADER}") from None
        return ConfigurationValue(version, answer.data)
