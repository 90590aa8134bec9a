"""How far a request has come on its way to an answer."""

import enum
import math


class RequestStage(enum.Enum):
    """What a request that has been read still waits for."""

    # No byte of it was sent, or each server that it was sent to has not run it.
    UNSENT = "unsent"
    # A server, or an instance that it was passed on to, may be running it.
    SENT = "sent"
    # Its answer is complete and not yet written whole.
    ANSWERED = "answered"


class RequestProgress:
    """The times of one request; all on the hub's clock.

    Parameters
    ----------
    request_id : str
        The request id from the caller, or an empty string.
    received_at_s : float
        When its first byte was received.
    """

    __slots__ = (
        "request_id",
        "received_at_s",
        "due_at_s",
        "sent_at_s",
        "sent_to",
        "_open_send_count",
        "answered_at_s",
    )

    def __init__(self, request_id: str, received_at_s: float) -> None:
        # The request id from the caller, or an empty string.
        self.request_id = request_id
        # When its first byte was received.
        self.received_at_s = received_at_s
        # When it has its final answer at the latest; infinite while its route is not
        # known.
        self.due_at_s = math.inf
        # When it was last sent to a server or another instance; None before that.
        self.sent_at_s: float | None = None
        # The server or instance that it was last sent to.
        self.sent_to: str | None = None
        # The sends that may have been run.
        self._open_send_count = 0
        # When its answer was complete; None before that.
        self.answered_at_s: float | None = None

    @property
    def stage(self) -> RequestStage:
        """What the request waits for."""
        if self.answered_at_s is not None:
            return RequestStage.ANSWERED
        return RequestStage.SENT if self._open_send_count else RequestStage.UNSENT

    def record_sent(self, receiver: str, now_s: float) -> None:
        """Record the first byte of a send.

        Parameters
        ----------
        receiver : str
            The server's id, or the address of another instance.
        now_s : float
            The time on the hub's clock.
        """
        self.sent_at_s = now_s
        self.sent_to = receiver
        self._open_send_count += 1

    def record_not_run(self) -> None:
        """Record that the receiver of a send has proved not to have run it."""
        self._open_send_count -= 1

    def record_answered(self, now_s: float) -> None:
        """Record that the final answer is complete."""
        self.answered_at_s = now_s
