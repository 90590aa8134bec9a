"""The settings file of a running instance, which is reloaded when it changes."""

from berylhaven.event_log import EventLog
from berylhaven.gateway._settings import (
    GatewaySettings,
    InvalidGatewaySettings,
    parse_gateway_settings,
)
from berylhaven.ini import read_text_file
from berylhaven.results import NotReadable


class SettingsFile:
    """Reads a settings file, and detects changes of its text.

    Parameters
    ----------
    path : str
        The file's path.

    Raises
    ------
    InvalidGatewaySettings
        With all problems of the file at the start.
    """

    __slots__ = ("_path", "_text", "settings")

    def __init__(self, path: str) -> None:
        self._path = path
        try:
            self._text = read_text_file(path)
        except NotReadable as problem:
            raise InvalidGatewaySettings("settings refused", [problem]) from None
        # The latest valid settings.
        self.settings = parse_gateway_settings(self._text)

    def reread(self, event_log: EventLog) -> GatewaySettings | None:
        """Return new settings if the file has changed and is valid.

        Parameters
        ----------
        event_log : EventLog
            Receives an event if the file cannot be read or is invalid.

        Returns
        -------
        GatewaySettings or None
            None if the previous ones stay active.
        """
        try:
            text = read_text_file(self._path)
        except NotReadable as problem:
            event_log.write_failure("instance", "settings unread", reason=str(problem))
            return None
        if text == self._text:
            return None
        # An invalid text is logged once, not at each check.
        self._text = text
        try:
            self.settings = parse_gateway_settings(text)
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
        The validated settings.

    Raises
    ------
    InvalidGatewaySettings
        With all problems found.
    """
    return SettingsFile(path).settings
