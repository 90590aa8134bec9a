"""The signal that news should not wait for the next round."""

import eventlet
import eventlet.event


class UrgentSignal:
    """Set by whoever has urgent news; the exchange waits for it."""

    __slots__ = ("_event",)

    def __init__(self) -> None:
        self._event = eventlet.event.Event()

    def set(self) -> None:
        """Ask that news goes out at once."""
        if not self._event.ready():
            self._event.send()

    def wait(self, timeout_s: float) -> bool:
        """Wait for the signal and clear it.

        Parameters
        ----------
        timeout_s : float
            How long to wait.

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
