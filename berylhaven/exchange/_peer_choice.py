"""Choosing the peer of the next exchange."""

from random import Random

from berylhaven.membership import Peer, PeerState, PeerTable

# Of the rounds, this part tries a peer that is gone or not yet known, so that
# partitions heal at a rate that does not depend on how many peers are gone.
RETRY_RATIO = 0.125
# Of the other rounds, this part asks the peer whose news is oldest, so that no
# peer's news grows old by chance.
OLDEST_RATIO = 0.5
# Of the rest, this part stays within the data centre.
NEAR_RATIO = 0.7
ACTIVE_STATES = (PeerState.LIVE, PeerState.SUSPECT, PeerState.LEAVING)


def choose_peer(
    table: PeerTable,
    fixed_addresses: set[str],
    data_centre: str,
    random: Random,
    now_s: float,
) -> str | None:
    """Return the peers' address to exchange with, or None if there is nobody.

    Parameters
    ----------
    table : PeerTable
        The peers.
    fixed_addresses : set of str
        Addresses from the settings and the instance list, without the own one.
    data_centre : str
        Where this instance stands.
    random : Random
        The source of random numbers.
    now_s : float
        The time on the hub's clock.

    Returns
    -------
    str or None
        HOST:PORT.
    """
    active = table.in_state(now_s, *ACTIVE_STATES)
    active_addresses = {peer.announcement.peers_address for peer in active}
    gone = table.in_state(now_s, PeerState.GONE)
    absent = fixed_addresses | {peer.announcement.peers_address for peer in gone}
    absent -= active_addresses
    if absent and (not active or random.random() < RETRY_RATIO):
        return random.choice(sorted(absent))
    if not active:
        return None
    return _choose_active(active, data_centre, random, now_s).announcement.peers_address


def choose_urgent_peers(
    table: PeerTable, count: int, random: Random, now_s: float
) -> list[str]:
    """Return addresses of random live peers, to which urgent news goes.

    Parameters
    ----------
    table : PeerTable
        The peers.
    count : int
        How many to choose, if there are so many.
    random : Random
        The source of random numbers.
    now_s : float
        The time on the hub's clock.

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
        # A peer that failed lately waits for its turn behind those that did not.
        return max(active, key=lambda peer: _waiting_s(peer, now_s))
    near = [p for p in active if p.announcement.data_centre == data_centre]
    if near and random.random() < NEAR_RATIO:
        return random.choice(near)
    return random.choice(active)


def _waiting_s(peer: Peer, now_s: float) -> float:
    contacted_at_s = max(peer.announced_at_s, peer.contacted_at_s)
    return now_s - contacted_at_s
