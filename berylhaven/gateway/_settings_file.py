"""The settings file of a running instance, read again when it changes."""

from berylhaven.event_log import EventLog
from berylhaven.gateway._settings import (
    GatewaySettings,
    InvalidGatewaySettings,
    read_gateway_settings,
)
from berylhaven.ini import read_text_file
from berylhaven.results import NotReadable


class SettingsFile:
    """Reads a settings file, and tells when its text has changed.

    Parameters
    ----------
    path : str
        The file's path.

    Raises
    ------
    InvalidGatewaySettings
        With every fault of the file as it is at the start.
    """

    __slots__ = ("_path", "_text", "settings")

    def __init__(self, path: str) -> None:
        self._path = path
        try:
            self._text = read_text_file(path)
        except NotReadable as problem:
            raise InvalidGatewaySettings("settings refused", [problem]) from None
        # The settings that were sound last.
        self.settings = read_gateway_settings(self._text)

    def reread(self, event_log: EventLog) -> GatewaySettings | None:
        """Return new settings if the file has changed and is sound.

        Parameters
        ----------
        event_log : EventLog
            Gets a line if the file cannot be read or is refused.

        Returns
        -------
        GatewaySettings or None
            None if the last ones stay in force.
        """
        try:
            text = read_text_file(self._path)
        except NotReadable as problem:
            event_log.write_failure("instance", "settings unread", reason=str(problem))
            return None
        if text == self._text:
            return None
        # A refused text is told once, not at each look.
        self._text = text
        try:
            self.settings = read_gateway_settings(text)
        except InvalidGatewaySettings as refused:
            reasons = "; ".join(str(problem) for problem in refused.exceptions)
            event_log.write_failure("instance", "settings refused", reason=reasons)
            return None
        return self.settings


def load_gateway_settings(path: str) -> GatewaySettings:
    """Read a settings file once.

    Parameters
    ----------
    path : str
        The file's path.

    Returns
    -------
    GatewaySettings
        The checked settings.

    Raises
    ------
    InvalidGatewaySettings
        With every fault found.
    """
    return SettingsFile(path).settings
