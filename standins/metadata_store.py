"""A stand-in for the platform's metadata store: revisioned items, reads and watches."""

import base64
from collections.abc import Callable
from urllib.parse import parse_qs

import eventlet
import fire

from standins._program import (
    FAULTS_PATH,
    Faults,
    answer_faults,
    json_answer,
    serve_forever,
)

WATCH_POLL_S = 0.02
PAGE_ITEMS = 50
MILLISECONDS_PER_SECOND = 1_000
WRITE_PATH = "/items/"
FORGET_PATH = "/forget"
COPY_PATH = "/copy"
RESTORE_PATH = "/restore"


class MetadataStoreStandIn:
    """Holds items in memory; operators and servers write them by PUT and DELETE."""

    def __init__(self) -> None:
        # refuse_status: every read is answered with this status; 0 for off.
        self.faults = Faults(refuse_status=0, delay_s=0.0, cut_watches=False)
        # Reads since the start, and those of them that allowed a stale answer.
        self.call_count = 0
        self.stale_call_count = 0
        self._revision = 1
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._compacted_revision = 0
        # Rises with each restore.
        self.era = 1
        # The revision, items and events at the last copy.
        self._copy: tuple[int, dict, list] = (self._revision, {}, [])

    @property
    def revision(self) -> int:
        """The revision of the latest change."""
        return self._revision

    def put(self, key: str, value: bytes) -> int:
        """Write an item and return its revision."""
        self._revision += 1
        created = self._items.get(key, {}).get("Created", self._revision)
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self._revision,
            "Created": created,
            "Lease": 0,
        }
        self._items[key] = item
        self._events.append(item)
        return self._revision

    def delete(self, key: str) -> int:
        """Remove an item and return the revision of the removal."""
        self._revision += 1
        self._items.pop(key, None)
        removal = {"Key": key, "Revision": self._revision, "Removed": True}
        self._events.append(removal)
        return self._revision

    def compact_history(self) -> None:
        """Drop all events; watches from earlier revisions are answered 410 Gone."""
        self._events.clear()
        self._compacted_revision = self._revision

    def make_copy(self) -> None:
        """Copy the current state for a later `restore`."""
        self._copy = (self._revision, dict(self._items), list(self._events))

    def restore(self) -> None:
        """Return to the copied state, which begins a new era."""
        self._revision, items, events = self._copy
        self._items, self._events = dict(items), list(events)
        self.era += 1

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Answer one request."""
        path = environ["PATH_INFO"]
        if path == FAULTS_PATH:
            return answer_faults(self.faults, environ, start_response)
        if path == "/counters":
            return json_answer(start_response, {"calls": self.call_count})
        if path == FORGET_PATH:
            self.compact_history()
            return json_answer(start_response, {"Revision": self._revision})
        if path == COPY_PATH:
            self.make_copy()
            return json_answer(start_response, {"Revision": self._revision})
        if path == RESTORE_PATH:
            self.restore()
            return json_answer(start_response, {"Era": self.era})
        if path.startswith(WRITE_PATH):
            return self._write(environ, path.removeprefix(WRITE_PATH), start_response)
        return self._read(environ, path, start_response)

    def _write(self, environ: dict, key: str, start_response: Callable) -> list[bytes]:
        if environ["REQUEST_METHOD"] == "DELETE":
            revision = self.delete(key)
        else:
            revision = self.put(key, environ["wsgi.input"].read())
        return json_answer(start_response, {"Revision": revision})

    def _answer(
        self, start_response: Callable, document: dict, status: str = "200 OK"
    ) -> list[bytes]:
        """Answer with a JSON object and the era."""
        headers = (("Store-Era", str(self.era)),)
        return json_answer(start_response, document, status, headers)

    def _read(self, environ: dict, path: str, start_response: Callable) -> list[bytes]:
        self.call_count += 1
        if self.faults.delay_s:
            eventlet.sleep(self.faults.delay_s)
        if self.faults.refuse_status:
            error = {"Error": "refused"}
            status = f"{self.faults.refuse_status} Refused"
            return self._answer(start_response, error, status)
        query = {
            name: values[0]
            for name, values in parse_qs(
                environ.get("QUERY_STRING", ""), keep_blank_values=True
            ).items()
        }
        if query.get("AllowStale") == "1":
            self.stale_call_count += 1
        if path == "/kv-key":
            return self._answer_item(query, start_response)
        if path == "/kv-range":
            return self._answer_range(query, start_response)
        if path == "/kv-watch":
            return self._answer_watch(query, start_response)
        return self._answer(start_response, {"Error": "no such call"}, "404 Not Found")

    def _answer_item(self, query: dict, start_response: Callable) -> list[bytes]:
        item = self._items.get(query.get("Key", ""))
        if item is None:
            return self._answer(start_response, {"Error": "no item"}, "404 Not Found")
        return self._answer(start_response, {**item, "At": self._revision})

    def _answer_range(self, query: dict, start_response: Callable) -> list[bytes]:
        prefix, after = query.get("PathPrefix", ""), query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        page = {
            "items": [self._items[key] for key in keys[:PAGE_ITEMS]],
            "HasMore": len(keys) > PAGE_ITEMS,
            "At": self._revision,
        }
        return self._answer(start_response, page)

    def _answer_watch(self, query: dict, start_response: Callable) -> list[bytes]:
        prefix, after = query.get("PathPrefix", ""), int(query.get("after", 0))
        if not self._compacted_revision <= after <= self._revision:
            return self._answer(start_response, {"Error": "compacted"}, "410 Gone")
        remaining_s = int(query.get("WaitMs", 0)) / MILLISECONDS_PER_SECOND
        while True:
            events = [
                event
                for event in self._events
                if event["Revision"] > after and event["Key"].startswith(prefix)
            ]
            if events or remaining_s <= 0 or self.faults.cut_watches:
                page = {"events": events, "At": self._revision}
                return self._answer(start_response, page)
            eventlet.sleep(WATCH_POLL_S)
            remaining_s -= WATCH_POLL_S


def run(host: str, port: int) -> None:
    """Serve the store."""
    serve_forever(host, port, MetadataStoreStandIn())


if __name__ == "__main__":
    fire.Fire(run)
