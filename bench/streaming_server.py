"""A backend server that receives and sends bodies of any size, for bench.streaming."""

from collections.abc import Callable, Iterable, Iterator

import eventlet

eventlet.monkey_patch()

import fire  # noqa: E402

from standins._program import serve_forever  # noqa: E402

BODY_PIECE = b"x" * 65_536


def _body_pieces(length: int) -> Iterator[bytes]:
    while length > 0:
        piece = BODY_PIECE[:length]
        length -= len(piece)
        yield piece


def application(environ: dict, start_response: Callable) -> Iterable[bytes]:
    """Answer ``/send/BYTES`` with so many bytes, others with the received count."""
    path = environ["RAW_PATH_INFO"]
    if path.startswith("/send/"):
        length = int(path.rpartition("/")[2])
        start_response("200 OK", [("Content-Length", str(length))])
        return _body_pieces(length)
    count = 0
    while piece := environ["wsgi.input"].read(len(BODY_PIECE)):
        count += len(piece)
    body = str(count).encode()
    start_response("200 OK", [("Content-Length", str(len(body)))])
    return [body]


def main(port: int, slot_count: int = 0, service_time_s: float = 0.0) -> None:
    """Run the server; ``slot_count`` and ``service_time_s`` have no effect."""
    serve_forever("127.0.0.1", port, application)


if __name__ == "__main__":
    fire.Fire(main)
