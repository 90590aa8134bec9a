"""Finds the process at the other end of a loopback connection.

The kernel is asked for the one connection by its addresses (sock_diag(7)). The list of
all connections takes seconds to read beside tens of thousands of others.
"""

import contextlib
import os
import socket
import struct
from collections.abc import Iterable

import eventlet.patcher

# The kernel answers a request within the call that sends it.
plain_socket = eventlet.patcher.original("socket")
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
# A header: length, type, flags, sequence number and port.
MESSAGE_HEADER = struct.Struct("=IHHII")
# Family, protocol, extensions, padding and states; then what names the connection: its
# ports, addresses of 16 bytes, interface, and a cookie that matches any.
CONNECTION_REQUEST = struct.Struct("=BBBxI2s2s16s16sI8s")
ALL_STATES = 0xFFFFFFFF
ANY_COOKIE = b"\xff" * 8
# The inode follows the same name and five numbers in an answer.
ANSWER_INODE = struct.Struct("=I")
INODE_OFFSET_BYTES = MESSAGE_HEADER.size + 4 + 48 + 16
ANSWER_LIMIT_BYTES = 4_096


def owner_pid(
    address: tuple[str, int], own_address: tuple[str, int], pids: Iterable[int]
) -> int | None:
    """Return which of some processes has a connection.

    Parameters
    ----------
    address : tuple of str and int
        The host and port of the connection at the process.
    own_address : tuple of str and int
        Its host and port at this end.
    pids : iterable of int
        The ids of the processes.

    Returns
    -------
    int or None
        None if none of them has it.
    """
    inode = _inode(address, own_address)
    if not inode:
        # It was closed.
        return None
    link = f"socket:[{inode}]"
    for pid in pids:
        with contextlib.suppress(OSError):
            # Descriptors may be closed while they are listed.
            for descriptor in os.scandir(f"/proc/{pid}/fd"):
                with contextlib.suppress(OSError):
                    if os.readlink(descriptor.path) == link:
                        return pid
    return None


def _inode(address: tuple[str, int], own_address: tuple[str, int]) -> int | None:
    ports = [struct.pack(">H", port) for _, port in (address, own_address)]
    hosts = [socket.inet_aton(host) for host, _ in (address, own_address)]
    request = CONNECTION_REQUEST.pack(
        socket.AF_INET, socket.IPPROTO_TCP, 0, ALL_STATES, *ports, *hosts, 0, ANY_COOKIE
    )
    size_bytes = MESSAGE_HEADER.size + len(request)
    head = MESSAGE_HEADER.pack(size_bytes, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 0, 0)
    with plain_socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG
    ) as kernel:
        kernel.send(head + request)
        answer = kernel.recv(ANSWER_LIMIT_BYTES)
    _, kind, *_ = MESSAGE_HEADER.unpack_from(answer)
    if kind != SOCK_DIAG_BY_FAMILY:
        return None
    return ANSWER_INODE.unpack_from(answer, INODE_OFFSET_BYTES)[0]
