"""Runs many stand-in backend servers in one process, each on its own port."""

from pathlib import Path

import eventlet
import fire
import orjson

from standins._program import serve_socket
from standins.backend_server import BackendServerStandIn


def start_group(
    rows: list[dict], service_time_s: float
) -> list[eventlet.greenthread.GreenThread]:
    """Start a backend server for each row of an instance list.

    Parameters
    ----------
    rows : list of dict
        Rows with ``address`` and ``slot_count``.
    service_time_s : float
        The time that one call takes in a slot, in seconds.

    Returns
    -------
    list of GreenThread
        One for each server; they run until they are killed.
    """
    threads = []
    for row in rows:
        host, _, port = row["address"].rpartition(":")
        server = BackendServerStandIn(row["address"], row["slot_count"], service_time_s)
        listener = eventlet.listen((host, int(port)), backlog=512, reuse_port=False)
        threads.append(eventlet.spawn(serve_socket, listener, server))
    return threads


def main(document: str, service: str = "", service_time_s: float = 0.002) -> None:
    """Serve the backend servers of an instance list, or those of one service.

    Parameters
    ----------
    document : str
        The path of the instance list's JSON document.
    service : str
        The service to serve; all services if empty.
    service_time_s : float
        The time that one call takes in a slot, in seconds.
    """
    rows = orjson.loads(Path(document).read_bytes())["backend_servers"]
    chosen = [row for row in rows if service in ("", row["service"])]
    for thread in start_group(chosen, service_time_s):
        thread.wait()


if __name__ == "__main__":
    fire.Fire(main)
