"""The baseline: a minimal reverse proxy of eventlet's WSGI server and urllib3."""

from collections.abc import Callable

import eventlet

eventlet.monkey_patch()

import eventlet.wsgi  # noqa: E402
import fire  # noqa: E402
import urllib3  # noqa: E402


class _NullLog:
    """A logger that discards the server's log lines."""

    def info(self, *arguments: object) -> None:
        """Discard a line."""

    error = debug = info


def main(port: int, backend: str) -> None:
    """Forward requests to the backend servers in turn."""
    pools = urllib3.PoolManager(maxsize=256, retries=False)
    addresses = str(backend).split(",")
    state = {"next": 0}

    def application(environ: dict, start_response: Callable) -> list[bytes]:
        """Forward one request."""
        state["next"] = (state["next"] + 1) % len(addresses)
        url = f"http://{addresses[state['next']]}{environ['RAW_PATH_INFO']}"
        answer = pools.request(environ["REQUEST_METHOD"], url)
        start_response(f"{answer.status} OK", [("Content-Type", "application/json")])
        return [answer.data]

    eventlet.wsgi.server(
        eventlet.listen(("127.0.0.1", port), backlog=512),
        application,
        log=_NullLog(),
        log_output=False,
        debug=False,
    )


if __name__ == "__main__":
    fire.Fire(main)
