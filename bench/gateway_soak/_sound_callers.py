"""Callers that send ordinary requests beside a sender without end."""

import collections
import secrets
import time
from dataclasses import dataclass

import eventlet
import urllib3

from standins.gateway_fleet import HTTP_STATUS_OK, ROUTES_HOST

# An instance whose event loop is held answers nothing for longer than this.
ANSWER_TIMEOUT_S = 2.0
PAUSE_S = 0.1


@dataclass(slots=True, frozen=True)
class SoundAnswer:
    """The end of one request."""

    # When it was sent, on the monotonic clock.
    began_s: float
    # The time until its answer was read or given up.
    duration_s: float
    # The status; None without an answer.
    status: int | None


class SoundCallers:
    """Sends requests of one service to one instance, each caller on one connection.

    Parameters
    ----------
    address : str
        HOST:PORT of the instance.
    method : str
        The method of the requests.
    path : str
        Their path.
    count : int
        The number of callers.
    """

    __slots__ = ("_url", "_method", "_is_stopping", "_threads", "answers")

    def __init__(self, address: str, method: str, path: str, count: int) -> None:
        self._url = f"http://{address}{path}"
        self._method = method
        self._is_stopping = False
        # The ends of all requests.
        self.answers: list[SoundAnswer] = []
        self._threads = [eventlet.spawn(self._send_repeatedly) for _ in range(count)]

    def stop_sending(self) -> None:
        """Send no further requests."""
        self._is_stopping = True

    def wait(self) -> None:
        """Wait until the requests in flight have ended."""
        for thread in self._threads:
            thread.wait()

    def between(self, begin_s: float, end_s: float = float("inf")) -> list[SoundAnswer]:
        """Return the ends of the requests that were sent within a time."""
        return [each for each in self.answers if begin_s <= each.began_s < end_s]

    def _send_repeatedly(self) -> None:
        pool = urllib3.PoolManager(retries=False, timeout=ANSWER_TIMEOUT_S)
        while not self._is_stopping:
            headers = {"Host": ROUTES_HOST, "X-Request-Id": secrets.token_hex(8)}
            began_s = time.monotonic()
            try:
                answer = pool.request(self._method, self._url, headers=headers)
                status = answer.status
            except urllib3.exceptions.HTTPError:
                status = None
            duration_s = time.monotonic() - began_s
            self.answers.append(SoundAnswer(began_s, duration_s, status))
            eventlet.sleep(PAUSE_S)


def describe_answers(answers: list[SoundAnswer]) -> str:
    """Return the counts and the longest time of answers in a few words."""
    statuses = collections.Counter(answer.status for answer in answers)
    served = statuses.pop(HTTP_STATUS_OK, 0)
    lost = statuses.pop(None, 0)
    worst_s = max((answer.duration_s for answer in answers), default=0.0)
    others = "".join(f", {n} of {status}" for status, n in sorted(statuses.items()))
    return f"{served} served{others}, {lost} lost, worst {worst_s:.2f} s"
