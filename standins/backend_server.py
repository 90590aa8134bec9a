"""A stand-in backend server with slots, a queue, load reports and faults."""

import collections
from collections.abc import Iterator

import eventlet
import eventlet.semaphore
import fire
import orjson

from standins._program import (
    FAULTS_PATH,
    answer_faults,
    json_answer,
    serve_forever,
)
from standins._server_faults import (
    AnswerAborted,
    CancelledCalls,
    UnresponsiveConnections,
    hold_and_disconnect,
    server_faults,
)

CANCEL_PATH = "/cancel"
COLD_DURATION_RATIO = 10.0
CALL_ID_KEY = "HTTP_BERYLHAVEN_CALL_ID"


class BackendServerStandIn:
    """Runs calls in slots and counts the runs by call id.

    Parameters
    ----------
    name : str
        The server name in each answer.
    slot_count : int
        The number of calls that run at once.
    service_time_s : float
        The time that one call takes in a slot, in seconds.
    """

    def __init__(
        self, name: str, slot_count: int = 4, service_time_s: float = 0.002
    ) -> None:
        self.faults = server_faults(service_time_s)
        self.name = name
        self.runs: collections.Counter[str] = collections.Counter()
        # Calls received, whether they ran or not.
        self.call_count = 0
        self._slot_count = slot_count
        self._slots = eventlet.semaphore.Semaphore(slot_count)
        self._unresponsive = UnresponsiveConnections(self.faults)
        self._cancelled = CancelledCalls()
        self._running = 0
        self._queued = 0

    def __call__(self, environ, start_response):  # noqa: ANN001, ANN204
        """Answer one request."""
        path = environ["RAW_PATH_INFO"]
        if path == FAULTS_PATH:
            return answer_faults(self.faults, environ, start_response)
        if path == "/runs":
            return json_answer(start_response, dict(self.runs))
        if self._unresponsive.is_unresponsive(environ):
            hold_and_disconnect(environ, lambda: False)
        if path == "/load":
            return json_answer(start_response, {}, headers=(self._load_header(),))
        if path == "/health":
            return json_answer(start_response, {"healthy": True})
        call_id = environ.get(CALL_ID_KEY, "")
        if path == CANCEL_PATH:
            document = {"not_started": self._cancelled.cancel(call_id)}
            return json_answer(start_response, document)
        self.call_count += 1
        if self._is_shed():
            return self._shed(call_id, start_response)
        return self._run(call_id, environ, start_response)

    def _is_shed(self) -> bool:
        faults = self.faults
        is_full = 0 < faults.queue_limit <= self._queued
        return faults.sheds or faults.is_leaving or is_full

    def _shed(self, call_id: str, start_response):  # noqa: ANN001, ANN202
        if self.faults.runs_what_it_sheds:
            self.runs[call_id] += 1
        return json_answer(
            start_response,
            {"shed": True},
            "503 Service Unavailable",
            (("Berylhaven-Not-Started", "1"), self._load_header()),
        )

    def _run(self, call_id: str, environ, start_response):  # noqa: ANN001, ANN202
        self._queued += 1
        self._cancelled.add_waiting(call_id)
        with self._slots:
            self._queued -= 1
            if not self._cancelled.try_start(call_id):
                return self._shed(call_id, start_response)
            self._running += 1
            try:
                self.runs[call_id] += 1 + self.faults.runs_twice
                body = environ["wsgi.input"].read()
                if not self.faults.fails_fast:
                    eventlet.sleep(self._duration_s())
            finally:
                self._running -= 1
        if self.faults.never_answers:
            hold_and_disconnect(environ, lambda: not self.faults.never_answers)
        if self.faults.late_s:
            eventlet.sleep(self.faults.late_s)
        return self._answer(call_id, environ, len(body), start_response)

    def _duration_s(self) -> float:
        faults = self.faults
        duration_s = faults.service_time_s * faults.straggle_ratio
        if faults.cold_calls > 0:
            faults.set({"cold_calls": faults.cold_calls - 1})
            duration_s *= COLD_DURATION_RATIO
        return duration_s

    def _answer(
        self,
        call_id: str,
        environ: dict,
        body_bytes: int,
        start_response,  # noqa: ANN001
    ) -> Iterator[bytes]:
        shown_id = call_id
        if self.faults.echoes_foreign_id:
            shown_id = call_id[:-1] + ("1" if call_id.endswith("0") else "0")
        document = {
            "server": self.name,
            "call_id": shown_id,
            "path": environ["RAW_PATH_INFO"],
            "body_bytes": body_bytes,
        }
        data = orjson.dumps(document)
        status = "200 OK"
        if self.faults.fails_fast:
            status = "500 Internal Server Error"
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
            self._load_header(),
        ]
        start_response(status, headers)
        return self._body_chunks(data)

    def _body_chunks(self, data: bytes) -> Iterator[bytes]:
        if self.faults.cuts_answer:
            yield data[: len(data) // 2]
            raise AnswerAborted("answer truncated by the fault cuts_answer")
        yield data
        if self.faults.surplus_bytes:
            yield b"HTTP/1.1 200 OK\r\n".ljust(self.faults.surplus_bytes, b"x")

    def _load_header(self) -> tuple[str, str]:
        running = self._running
        if self.faults.reported_running >= 0:
            running = self.faults.reported_running
        return (
            "endpoint-load-metrics",
            f"TEXT named_metrics.running={running},"
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
