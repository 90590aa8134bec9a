"""A loopback proxy that injects faults into the connections between two programs."""

import contextlib
import socket
import struct
from collections.abc import Callable

import eventlet
import eventlet.event
import fire

from standins._program import FAULTS_PATH, Faults, answer_faults, serve_forever
from standins._socket_owner import owner_pid

CHUNK_BYTES = 65_536
POLL_S = 0.02
# SO_LINGER with zero timeout: closing the socket resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
ONWARD, BACK = "onward", "back"


class FaultProxy:
    """Forwards connections to one address, with faults that are set over HTTP.

    Parameters
    ----------
    target : str
        HOST:PORT to which connections are forwarded.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        # delay_s delays each chunk. held_way ("onward", "back", "both") withholds all
        # data in that direction until it is cleared, as a network partition does. An
        # increase of reset_count resets the open connections; an increase of
        # silence_count makes them unresponsive for good, while new connections work.
        # is_down resets the open connections and each new one, as if the target's
        # process had ended. The connections of the processes in cut_pids are reset, or
        # hang if cut_hangs is set.
        self.faults = Faults(
            delay_s=0.0,
            held_way="",
            reset_count=0,
            silence_count=0,
            is_down=False,
            cut_pids=[],
            cut_hangs=False,
        )
        self._connections: set[_ProxiedConnection] = set()

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Answer a request that reads or sets faults."""
        if environ["PATH_INFO"] != FAULTS_PATH:
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        before = self.faults.as_dict()
        answer = answer_faults(self.faults, environ, start_response)
        self.disturb_open_connections(before)
        return answer

    def disturb_open_connections(self, before: dict) -> None:
        """Reset or silence the open connections if the respective count has increased.

        Parameters
        ----------
        before : dict
            The fault switches before the change.
        """
        for connection in list(self._connections):
            if self.faults.reset_count > before["reset_count"]:
                connection.reset()
            if self.faults.silence_count > before["silence_count"]:
                connection.silence()
            if self.faults.is_down:
                connection.reset()
            if self.faults.cut_pids and connection.is_of(self.faults.cut_pids):
                connection.silence() if self.faults.cut_hangs else connection.reset()

    def serve(self, listener: socket.socket) -> None:
        """Accept connections until the process ends."""
        while True:
            caller, _ = listener.accept()
            eventlet.spawn(self._handle_connection, caller)

    def _is_cut(self, caller: socket.socket) -> bool:
        """Return whether a connection is to be reset, after it has hung if it is to."""
        pids = self.faults.cut_pids
        is_cut = bool(pids) and _is_of(caller, pids)
        while is_cut and self.faults.cut_hangs and self.faults.cut_pids:
            eventlet.sleep(POLL_S)
        return is_cut

    def _handle_connection(self, caller: socket.socket) -> None:
        try:
            if self.faults.is_down or self._is_cut(caller):
                raise ConnectionResetError("the target counts as out of reach")
            target = eventlet.connect(self._target)
        except OSError:
            # The caller sees a reset, as it would without the proxy.
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            caller.close()
            return
        connection = _ProxiedConnection(caller, target, self.faults)
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)


class _ProxiedConnection:
    """One connection through the proxy."""

    def __init__(
        self, caller: socket.socket, target: socket.socket, faults: Faults
    ) -> None:
        self._sockets = (caller, target)
        self._faults = faults
        self._is_silenced = False
        for sock in self._sockets:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def run(self) -> None:
        """Forward bytes in both directions until both have ended."""
        caller, target = self._sockets
        back_thread = eventlet.spawn(self._forward, target, caller, BACK)
        self._forward(caller, target, ONWARD)
        back_thread.wait()
        for sock in self._sockets:
            sock.close()

    def _forward(
        self, source: socket.socket, sink: socket.socket, direction: str
    ) -> None:
        try:
            while chunk := source.recv(CHUNK_BYTES):
                self._wait_while_held(direction)
                if not self._is_silenced:
                    sink.sendall(chunk)
            self._wait_while_held(direction)
            if not self._is_silenced:
                sink.shutdown(socket.SHUT_WR)
        except (OSError, EOFError):
            # A reset on one side is passed on as a reset to the other. The green socket
            # raises EOFError if it is closed during a read.
            self.reset()

    def _wait_while_held(self, direction: str) -> None:
        if self._faults.delay_s:
            eventlet.sleep(self._faults.delay_s)
        while self._faults.held_way in (direction, "both"):
            eventlet.sleep(POLL_S)

    def reset(self) -> None:
        """Reset the connection on both sides."""
        for sock in self._sockets:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                sock.close()

    def is_of(self, pids: list[int]) -> bool:
        """Return whether one of some processes has opened the connection."""
        return _is_of(self._sockets[0], pids)

    def silence(self) -> None:
        """Drop all further bytes and keep both sides open."""
        self._is_silenced = True


def _is_of(caller: socket.socket, pids: list[int]) -> bool:
    try:
        address, own_address = caller.getpeername(), caller.getsockname()
    except OSError:
        # The connection has ended meanwhile.
        return False
    return owner_pid(address, own_address, pids) is not None


def run(host: str, port: int, control_port: int, target: str) -> None:
    """Serve the proxy, and its fault switches on the control port."""
    proxy = FaultProxy(target)
    listener = eventlet.listen((host, port), backlog=512, reuse_port=False)
    eventlet.spawn(proxy.serve, listener)
    serve_forever(host, control_port, proxy)


if __name__ == "__main__":
    fire.Fire(run)
