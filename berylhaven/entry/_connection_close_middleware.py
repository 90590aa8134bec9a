"""Closes callers' persistent connections while the instance closes."""

from collections.abc import Callable, Iterable

from berylhaven.blackboard import Blackboard
from berylhaven.membership import DRAIN_SECTION, DrainStage
from berylhaven.proxy import END_CONNECTION_KEY


class ConnectionCloseMiddleware:
    """Closes each caller's connection with its next answer while the instance closes.

    Parameters
    ----------
    application : callable
        The wrapped WSGI application.
    blackboard : Blackboard
        Provides the progress of the drain.
    """

    __slots__ = ("_application", "_blackboard")

    def __init__(self, application: Callable, blackboard: Blackboard) -> None:
        self._application = application
        self._blackboard = blackboard

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one request."""
        reading = self._blackboard.read(DRAIN_SECTION)
        if reading is not None and reading.value.stage is not DrainStage.ANNOUNCED:
            environ[END_CONNECTION_KEY]()
        return self._application(environ, start_response)
