"""A stand-in instance list whose answers can lag behind its updates."""

import hashlib

import eventlet
import fire
import orjson
from eventlet import hubs

from standins._program import (
    FAULTS_PATH,
    Faults,
    answer_faults,
    json_answer,
    serve_forever,
)

INSTANCES_PATH = "/v1/instances"
EMPTY_DOCUMENT = {"backend_servers": [], "entry_instances": []}


class InstanceListStandIn:
    """Answers with the document that was current ``lag_s`` ago."""

    def __init__(self, document: dict | None = None) -> None:
        self.faults = Faults(is_down=False, is_empty=False, lag_s=0.0, delay_s=0.0)
        # Reads since the start, and those of them that were answered 304.
        self.read_count = 0
        self.unchanged_count = 0
        self._history: list[tuple[float, dict]] = [(-1e9, document or EMPTY_DOCUMENT)]

    def __call__(self, environ, start_response):  # noqa: ANN001, ANN204
        """Answer one request."""
        if environ["PATH_INFO"] == FAULTS_PATH:
            return answer_faults(self.faults, environ, start_response)
        if environ["REQUEST_METHOD"] == "PUT":
            self.put(orjson.loads(environ["wsgi.input"].read()))
            return json_answer(start_response, {})
        if environ["PATH_INFO"] == "/counters":
            counts = {"reads": self.read_count, "unchanged": self.unchanged_count}
            return json_answer(start_response, counts)
        return self._read(environ, start_response)

    def _read(self, environ, start_response):  # noqa: ANN001, ANN202
        self.read_count += 1
        if self.faults.delay_s:
            eventlet.sleep(self.faults.delay_s)
        if self.faults.is_down:
            return json_answer(start_response, {}, "503 Service Unavailable")
        document = self.visible_document()
        digest = hashlib.blake2b(orjson.dumps(document), digest_size=8).hexdigest()
        entity_tag = f'"{digest}"'
        if environ.get("HTTP_IF_NONE_MATCH") == entity_tag:
            self.unchanged_count += 1
            start_response("304 Not Modified", [("ETag", entity_tag)])
            return []
        return json_answer(start_response, document, headers=(("ETag", entity_tag),))

    def put(self, document: dict) -> None:
        """Replace the document."""
        self._history.append((hubs.get_hub().clock(), document))

    def visible_document(self) -> dict:
        """Return the document that readers receive at present."""
        if self.faults.is_empty:
            return EMPTY_DOCUMENT
        visible_until_s = hubs.get_hub().clock() - self.faults.lag_s
        return [doc for at_s, doc in self._history if at_s <= visible_until_s][-1]


def main(port: int, host: str = "127.0.0.1", document: str = "") -> None:
    """Run the stand-in with a JSON file as its initial document."""
    initial_document = None
    if document:
        with open(document, "rb") as file:
            initial_document = orjson.loads(file.read())
    serve_forever(host, port, InstanceListStandIn(initial_document))


if __name__ == "__main__":
    fire.Fire(main)
