"""The signal that an update must not wait for the next round."""

import eventlet
import eventlet.event


class UrgentSignal:
    """Set by components with an urgent update; the exchange waits for it."""

    __slots__ = ("_event",)

    def __init__(self) -> None:
        self._event = eventlet.event.Event()

    def set(self) -> None:
        """Request an exchange at once."""
        if not self._event.ready():
            self._event.send()

    def wait(self, timeout_s: float) -> bool:
        """Wait for the signal and clear it.

        Parameters
        ----------
        timeout_s : float
            The wait limit, in seconds.

        Returns
        -------
        bool
            Whether the signal was set.
        """
        with eventlet.Timeout(timeout_s, False):
            self._event.wait()
        is_set = self._event.ready()
        if is_set:
            self._event = eventlet.event.Event()
        return is_set
