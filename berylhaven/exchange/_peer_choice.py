"""Choice of the peer for the next exchange."""

from random import Random

from berylhaven.membership import Peer, PeerState, PeerTable

# The part of all rounds that tries a peer that is gone or not yet known. Partitions
# heal at this rate, independent of the number of gone peers.
ABSENT_RATIO = 0.125
# The part of the other rounds that contacts the peer with the stalest announcement. It
# bounds the staleness of each peer, which random choice alone would not.
OLDEST_RATIO = 0.5
# The part of the remaining rounds that stays within the data centre.
LOCAL_RATIO = 0.7
ACTIVE_STATES = (PeerState.LIVE, PeerState.SUSPECT, PeerState.LEAVING)


def choose_peer(
    table: PeerTable,
    configured_addresses: set[str],
    data_centre: str,
    random: Random,
    now_s: float,
) -> str | None:
    """Return the address of the peer for the next exchange, or None if there is none.

    Parameters
    ----------
    table : PeerTable
        The known peers.
    configured_addresses : set of str
        Addresses from the settings and the instance list, without this instance's.
    data_centre : str
        The data centre of this instance.
    random : Random
        The random number generator.
    now_s : float
        The current time on the hub's clock, in seconds.

    Returns
    -------
    str or None
        HOST:PORT of the peer.
    """
    active = table.in_state(now_s, *ACTIVE_STATES)
    active_addresses = {peer.announcement.peers_address for peer in active}
    gone = table.in_state(now_s, PeerState.GONE)
    absent = configured_addresses | {peer.announcement.peers_address for peer in gone}
    absent -= active_addresses
    if absent and (not active or random.random() < ABSENT_RATIO):
        return random.choice(sorted(absent))
    if not active:
        return None
    return _choose_active(active, data_centre, random, now_s).announcement.peers_address


def choose_urgent_peers(
    table: PeerTable, count: int, random: Random, now_s: float
) -> list[str]:
    """Return the addresses of random live peers for an urgent update.

    Parameters
    ----------
    table : PeerTable
        The known peers.
    count : int
        The number of peers to choose; fewer are returned if fewer are live.
    random : Random
        The random number generator.
    now_s : float
        The current time on the hub's clock, in seconds.

    Returns
    -------
    list of str
        HOST:PORT of each.
    """
    live = table.in_state(now_s, PeerState.LIVE, PeerState.LEAVING)
    chosen = random.sample(live, min(count, len(live)))
    return [peer.announcement.peers_address for peer in chosen]


def _choose_active(
    active: list[Peer], data_centre: str, random: Random, now_s: float
) -> Peer:
    if random.random() < OLDEST_RATIO:
        # Failed contacts count too: an unreachable peer must not be chosen each time.
        return max(active, key=lambda peer: _contact_age_s(peer, now_s))
    local = [p for p in active if p.announcement.data_centre == data_centre]
    if local and random.random() < LOCAL_RATIO:
        return random.choice(local)
    return random.choice(active)


def _contact_age_s(peer: Peer, now_s: float) -> float:
    contacted_at_s = max(peer.announced_at_s, peer.contacted_at_s)
    return now_s - contacted_at_s
