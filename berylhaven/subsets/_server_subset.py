"""Which servers of a service an instance prefers, and whether it should prefer any.

Load pattern: a few hundred instances with a few requests a second each share dozens of
servers a service. An instance that spreads its requests over all of them meets each
server less often than idle connections expire, so that requests and probes open new
connections. With a few preferred servers it meets these often enough; the preferences
of all instances together must cover the servers evenly.
"""

import zlib
from collections.abc import Collection

# The number of preferred servers: one that is slow or full leaves three others, and a
# server is preferred by about as many instances as its neighbours in the order.
SUBSET_SIZE = 4
# Fleets with fewer ready instances are served without subsets. Their instances have
# enough requests to meet all servers often.
MIN_READY_COUNT = 48
# The number of servers that a request meets without subsets.
SERVERS_PER_REQUEST = 2.0
# The time in which a server must be met again to keep its connection; the gateway
# closes connections that were idle for this time.
REUSE_PERIOD_S = 8.0
# Subsets that are in use stay so until the request rate is higher, or the number of
# ready instances lower, by this factor.
HYSTERESIS_RATIO = 1.5


def is_sparse(
    server_count: int,
    ready_count: int,
    request_per_s: float,
    was_sparse: bool = False,
) -> bool:
    """Return whether an instance meets the servers of a service rarely.

    Parameters
    ----------
    server_count : int
        The number of servers of the service.
    ready_count : int
        The number of ready instances, this one included.
    request_per_s : float
        The requests for the service that this instance receives, a second.
    was_sparse : bool
        Whether it met them rarely before.

    Returns
    -------
    bool
        Whether connections to servers chosen at random would mostly expire unused.
    """
    margin = HYSTERESIS_RATIO if was_sparse else 1.0
    if ready_count * margin < MIN_READY_COUNT:
        return False
    met_count = SERVERS_PER_REQUEST * request_per_s * REUSE_PERIOD_S
    return met_count < server_count * margin


def order_servers(
    service: str,
    own_address: str,
    member_addresses: Collection[str],
    server_ids: Collection[str],
) -> list[str]:
    """Return the servers of a service in the order in which an instance prefers them.

    Instances and servers are placed on one circle, each kind at equal distances in the
    order of hashes. The order of an instance begins at the first server at or after its
    own place. A member or a server that comes or goes shifts this place by at most one
    server if there are no more servers than members.

    Parameters
    ----------
    service : str
        The service's name, by which the places differ between services.
    own_address : str
        The address of this instance.
    member_addresses : collection of str
        The addresses of the ready instances among which the servers are shared. This
        instance may be missing.
    server_ids : collection of str
        The ids of the servers.

    Returns
    -------
    list of str
        All servers; the first SUBSET_SIZE usable ones are the subset.
    """
    servers = sorted(server_ids, key=lambda name: _place(service, name))
    members = {*member_addresses, own_address}
    own_place = _place(service, own_address)
    rank = sum(_place(service, address) < own_place for address in members)
    first = rank * len(servers) // len(members)
    return servers[first:] + servers[:first]


def _place(service: str, name: str) -> tuple[int, str]:
    """Return the sort key of an instance or a server on the circle of a service."""
    return zlib.crc32(f"{service} {name}".encode()), name
