"""A stand-in backend server: slots, a queue, load reports, and faults."""

import collections

import eventlet
import eventlet.semaphore
import fire

from standins._program import (
    FAULTS_PATH,
    Faults,
    answer_faults,
    json_answer,
    serve_forever,
)


class BackendServerStandIn:
    """Runs calls in slots and counts each run by its call id.

    Parameters
    ----------
    name : str
        Shown in each answer.
    slot_count : int
        How many calls it runs at once.
    service_time_s : float
        How long one call takes in a slot.
    """

    def __init__(
        self, name: str, slot_count: int = 4, service_time_s: float = 0.002
    ) -> None:
        self.faults = Faults(
            service_time_s=service_time_s, is_leaving=False, sheds=False
        )
        self.name = name
        self.runs: collections.Counter[str] = collections.Counter()
        self._slot_count = slot_count
        self._slots = eventlet.semaphore.Semaphore(slot_count)
        self._running = 0
        self._queued = 0

    def __call__(self, environ, start_response):  # noqa: ANN001, ANN204
        """Answer one request."""
        path = environ["RAW_PATH_INFO"]
        if path == FAULTS_PATH:
            return answer_faults(self.faults, environ, start_response)
        if path == "/load":
            return json_answer(start_response, {}, headers=(self._load_header(),))
        if path == "/health":
            return json_answer(start_response, {"healthy": True})
        if path == "/runs":
            return json_answer(start_response, dict(self.runs))
        if self.faults.sheds or self.faults.is_leaving:
            return json_answer(
                start_response,
                {"shed": True},
                "503 Service Unavailable",
                (("Berylhaven-Not-Started", "1"), self._load_header()),
            )
        return self._run(environ, start_response)

    def _run(self, environ, start_response):  # noqa: ANN001, ANN202
        call_id = environ.get("HTTP_BERYLHAVEN_CALL_ID", "")
        self._queued += 1
        with self._slots:
            self._queued -= 1
            self._running += 1
            self.runs[call_id] += 1
            body = environ["wsgi.input"].read()
            eventlet.sleep(self.faults.service_time_s)
            self._running -= 1
        document = {
            "server": self.name,
            "call_id": call_id,
            "path": environ["RAW_PATH_INFO"],
            "body_bytes": len(body),
        }
        return json_answer(start_response, document, headers=(self._load_header(),))

    def _load_header(self) -> tuple[str, str]:
        return (
            "endpoint-load-metrics",
            f"TEXT named_metrics.running={self._running},"
            f"named_metrics.queued={self._queued},"
            f"named_metrics.slots={self._slot_count},"
            f"named_metrics.leaving={int(self.faults.is_leaving)}",
        )


def main(
    port: int,
    host: str = "127.0.0.1",
    slot_count: int = 4,
    service_time_s: float = 0.002,
) -> None:
    """Run the stand-in."""
    standin = BackendServerStandIn(f"{host}:{port}", slot_count, service_time_s)
    serve_forever(host, port, standin)


if __name__ == "__main__":
    fire.Fire(main)
