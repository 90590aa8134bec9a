"""The steps of an instance's drain, from the signal to the end of the process."""

from berylhaven.clock import LoopLateness, monotonic_s, sleep_s
from berylhaven.event_log import EventLog
from berylhaven.gateway.callers._callers_port import CallersPort
from berylhaven.gateway.callers._drain import Drain

# A connection is accepted in one turn of the hub, its handler starts in the next one
# and reads a request. An answer is read in one turn and taken in the next two.
HUB_TURNS = 4


class InstanceDrain:
    """Closes callers' connections in a drain, and tells when the instance may stop.

    Parameters
    ----------
    drain : Drain
        Decides what is done when.
    port : CallersPort
        The callers' connections.
    lateness : LoopLateness
        How late the hub runs.
    event_log : EventLog
        Receives a line at the begin and at the end of the drain.
    """

    __slots__ = ("_drain", "_port", "_lateness", "_event_log", "_is_logged")

    def __init__(
        self,
        drain: Drain,
        port: CallersPort,
        lateness: LoopLateness,
        event_log: EventLog,
    ) -> None:
        self._drain = drain
        self._port = port
        self._lateness = lateness
        self._event_log = event_log
        self._is_logged = False

    def step(self) -> bool:
        """Do what is due; return whether the instance may stop."""
        if not self._drain.has_begun:
            return False
        now_s = monotonic_s()
        if not self._is_logged:
            self._is_logged = True
            self._event_log.write(
                "instance",
                "drain",
                pending=self._port.pending_count,
                noticed_after_s=self._drain.age_s(now_s),
                unnoticed_for_s=self._drain.unnoticed_s,
                lateness_s=self._lateness.recent_s,
            )
        if not self._drain.closes_idle(now_s):
            return False
        self._port.context.held.admit_last_answers()
        # What has arrived is read before requests are given up or the process ends.
        _turn_hub()
        while True:
            # Reading and writing take long on a starved machine: at the end of the
            # grace requests are given up once more, and the process ends.
            now_s = monotonic_s()
            self._port.give_up()
            self._port.close_idle()
            # The answers of what was given up are written, also in the last step.
            _turn_hub()
            unfinished_count = self._port.unfinished_count
            if self._drain.has_ended(now_s, unfinished_count):
                return True
            if not self._drain.has_ended(monotonic_s(), unfinished_count):
                return False

    def record_end(self) -> None:
        """Log the end of the process, with the requests that it leaves unanswered."""
        self._event_log.write(
            "instance",
            "stop",
            **self._port.end_requests(),
            drained_s=self._drain.age_s(monotonic_s()),
            lateness_s=self._lateness.recent_s,
        )


def _turn_hub() -> None:
    for _ in range(HUB_TURNS):
        sleep_s(0)
