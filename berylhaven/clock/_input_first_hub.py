"""A hub that handles received input before timers that are overdue."""

from eventlet import hubs
from eventlet.hubs import epolls

# A hub that is less late than this has polled just before.
OVERDUE_LIMIT_S = 0.01


class InputFirstHub(epolls.Hub):
    """Polls once more before it fires timers that are overdue.

    A hub fires its timers before it polls. When a turn has taken long, the timeout of
    a wait would be over although its input was received in time.
    """

    def fire_timers(self, when: float) -> None:
        """Fire the timers that are due, after input if they are overdue.

        Parameters
        ----------
        when : float
            The time on the hub's clock.
        """
        if self.timers and when - self.timers[0][0] > OVERDUE_LIMIT_S:
            self.wait(0)
        super().fire_timers(when)


def use_input_first_hub() -> None:
    """Make it the hub of this thread; called before any green thread is started."""
    hubs.use_hub(InputFirstHub)
