"""Shared parts of the stand-in programs: start-up, JSON answers, fault switches."""

from collections.abc import Callable

import eventlet
import eventlet.wsgi
import orjson

FAULTS_PATH = "/faults"


class Faults:
    """Fault switches that are set over HTTP while the program runs.

    Parameters
    ----------
    **defaults : object
        The switches with their initial values, by name.
    """

    def __init__(self, **defaults: object) -> None:
        self._values = dict(defaults)

    def __getattr__(self, name: str) -> object:
        """Return a switch's value."""
        try:
            return self.__dict__["_values"][name]
        except KeyError:
            raise AttributeError(name) from None

    def set(self, changes: dict) -> None:
        """Set switches; raise ValueError if one is unknown."""
        unknown = set(changes) - set(self._values)
        if unknown:
            raise ValueError(f"unknown fault switch: {', '.join(sorted(unknown))}")
        self._values.update(changes)

    def as_dict(self) -> dict:
        """Return the values of all switches by name."""
        return dict(self._values)


def json_answer(
    start_response: Callable,
    document: object,
    status: str = "200 OK",
    headers: tuple = (),
) -> list[bytes]:
    """Answer with JSON."""
    start_response(status, [("Content-Type", "application/json"), *headers])
    return [orjson.dumps(document)]


def answer_faults(faults: Faults, environ: dict, start_response: Callable) -> list:
    """Answer ``GET /faults`` and ``POST /faults`` with a JSON object of switches."""
    if environ["REQUEST_METHOD"] == "POST":
        try:
            faults.set(orjson.loads(environ["wsgi.input"].read()))
        except ValueError as error:
            return json_answer(start_response, {"error": str(error)}, "400 Bad Request")
    return json_answer(start_response, faults.as_dict())


class _NullLog:
    """Discards the log lines of the WSGI server."""

    def info(self, *arguments: object) -> None:
        """Discard a line."""

    error = debug = info


def serve_forever(host: str, port: int, application: Callable) -> None:
    """Serve a stand-in until the process ends."""
    listener = eventlet.listen((host, port), backlog=512, reuse_port=False)
    serve_socket(listener, application)


def serve_socket(listener: object, application: Callable) -> None:
    """Serve a stand-in on a listening socket."""
    eventlet.wsgi.server(
        listener,
        application,
        log=_NullLog(),
        log_output=False,
        debug=False,
        max_size=4096,
        minimum_chunk_size=1,
        capitalize_response_headers=False,
    )
