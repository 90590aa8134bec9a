"""A stand-in configuration service with versioned values, reads and watches."""

import eventlet
import fire

from standins._program import (
    FAULTS_PATH,
    Faults,
    answer_faults,
    json_answer,
    serve_forever,
)

VALUES_PREFIX = "/v1/values/"
WATCH_POLL_S = 0.02


class ConfigurationServiceStandIn:
    """Holds values in memory; PUT replaces the publishing tool of the operators."""

    def __init__(self) -> None:
        self.faults = Faults(is_down=False, stale_versions=0, delay_s=0.0)
        self.read_count = 0
        # The number of watches that are waiting for a new version.
        self.held_watch_count = 0
        self._versions: dict[str, list[bytes]] = {}

    def __call__(self, environ, start_response):  # noqa: ANN001, ANN204
        """Answer one request."""
        path = environ["RAW_PATH_INFO"]
        if path == FAULTS_PATH:
            return answer_faults(self.faults, environ, start_response)
        if path == "/counters":
            counts = {"reads": self.read_count, "held_watches": self.held_watch_count}
            return json_answer(start_response, counts)
        key = path.removeprefix(VALUES_PREFIX)
        if environ["REQUEST_METHOD"] == "PUT":
            self.put(key, environ["wsgi.input"].read())
            return json_answer(start_response, {"version": self.version(key)})
        return self._read(key, environ.get("QUERY_STRING", ""), start_response)

    def put(self, key: str, raw: bytes) -> None:
        """Store a new version of a value."""
        self._versions.setdefault(key, []).append(raw)

    def version(self, key: str) -> int:
        """Return the version that readers receive."""
        newest = len(self._versions.get(key, []))
        return max(0, newest - int(self.faults.stale_versions))

    def _read(self, key: str, query: str, start_response):  # noqa: ANN001, ANN202
        self.read_count += 1
        if self.faults.delay_s:
            eventlet.sleep(self.faults.delay_s)
        parameters = dict(part.split("=") for part in query.split("&") if part)
        after_version = int(parameters.get("after_version", -1))
        remaining_s = int(parameters.get("wait_ms", 0)) / 1000
        self.held_watch_count += 1
        while self.version(key) <= after_version and remaining_s > 0:
            eventlet.sleep(WATCH_POLL_S)
            remaining_s -= WATCH_POLL_S
        self.held_watch_count -= 1
        version = self.version(key)
        if self.faults.is_down:
            return json_answer(start_response, {}, "503 Service Unavailable")
        if version == 0:
            return json_answer(start_response, {}, "404 Not Found")
        if version <= after_version and "after_version" in parameters:
            start_response("304 Not Modified", [])
            return []
        start_response("200 OK", [("Value-Version", str(version))])
        return [self._versions[key][version - 1]]


def main(port: int, host: str = "127.0.0.1", catalogue: str = "") -> None:
    """Run the stand-in; a catalogue file becomes version 1 of its key."""
    standin = ConfigurationServiceStandIn()
    if catalogue:
        with open(catalogue, "rb") as file:
            standin.put("berylhaven%2Fcatalogue", file.read())
    serve_forever(host, port, standin)


if __name__ == "__main__":
    fire.Fire(main)
