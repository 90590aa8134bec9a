"""The baseline: a bare pass-through of eventlet's WSGI server and urllib3."""

from collections.abc import Callable

import eventlet

eventlet.monkey_patch()

import eventlet.wsgi  # noqa: E402
import fire  # noqa: E402
import urllib3  # noqa: E402


class _NoLog:
    """Drops the server's lines."""

    def info(self, *arguments: object) -> None:
        """Drop a line."""

    error = debug = info


def main(port: int, backend: str) -> None:
    """Pass each request on to one of the backend servers in turn."""
    pools = urllib3.PoolManager(maxsize=256, retries=False)
    addresses = str(backend).split(",")
    state = {"next": 0}

    def application(environ: dict, start_response: Callable) -> list[bytes]:
        """Pass one request on."""
        state["next"] = (state["next"] + 1) % len(addresses)
        url = f"http://{addresses[state['next']]}{environ['RAW_PATH_INFO']}"
        answer = pools.request(environ["REQUEST_METHOD"], url)
        start_response(f"{answer.status} OK", [("Content-Type", "application/json")])
        return [answer.data]

    eventlet.wsgi.server(
        eventlet.listen(("127.0.0.1", port), backlog=512),
        application,
        log=_NoLog(),
        log_output=False,
        debug=False,
    )


if __name__ == "__main__":
    fire.Fire(main)
