"""Which news of members goes to whom, and what comes of what is heard."""

import math
from dataclasses import dataclass

import orjson

from berylhaven.exchange._message import MemberUpdate
from berylhaven.exchange._rows import HeartbeatRow, MemberRow, SuspicionRow
from berylhaven.membership import (
    ANNOUNCEMENT_AGE_LIMIT_S,
    Announcement,
    MergeResult,
    Peer,
    PeerState,
    PeerTable,
)

# News is sent this many times the logarithm of the fleet's size, then no more.
SENDS_PER_DOUBLING = 2
WANTED_LIMIT = 16
# No whole row is smaller, so that with less left none is tried.
ROW_FLOOR_BYTES = 60
# A joiner asks for everything in its first exchanges, at growing distances, since
# the peers that it asks first may have begun just now as well.
JOIN_EXCHANGES = frozenset({0, 1, 3, 7, 15})
JOIN_ROWS_LIMIT = 256
KNOWN_STATES = (PeerState.LIVE, PeerState.SUSPECT, PeerState.LEAVING)


@dataclass(slots=True)
class MessageEffects:
    """What a message did."""

    # Whether peers must hear of it at once.
    is_urgent: bool = False
    # Another run's announcement under the own address, if one was seen.
    own_address_seen: Announcement | None = None


class MemberExchange:
    """Composes and takes in news of members; pure but for the table it fills.

    Parameters
    ----------
    table : PeerTable
        The peers.
    own_address : str
        The peers' address of this instance.
    """

    __slots__ = ("_table", "_own_address", "_sends_left", "_wanted", "_exchanges")

    def __init__(self, table: PeerTable, own_address: str) -> None:
        self._table = table
        self._own_address = own_address
        # How often the row of an address, or the doubt of a nonce, is still sent.
        self._sends_left: dict[str, int] = {}
        self._wanted: dict[str, None] = {}
        self._exchanges = 0

    def refresh(self) -> None:
        """Ask for everything again, as after a pause."""
        self._exchanges = 0

    def compose_request(
        self, peers_address: str, now_s: float, limit_bytes: int
    ) -> MemberUpdate:
        """Return the news for a peer that is asked for its own in return.

        Parameters
        ----------
        peers_address : str
            Who will get it.
        now_s : float
            The time on the hub's clock.
        limit_bytes : int
            The most bytes that rows may take.

        Returns
        -------
        MemberUpdate
            With what is wanted from the peer.
        """
        news = MemberUpdate()
        news.requested_nonces = list(self._wanted)[:WANTED_LIMIT]
        news.requests_all = self._exchanges in JOIN_EXCHANGES
        self._fill(news, peers_address, now_s, limit_bytes, {})
        return news

    def compose_answer(
        self, asked: MemberUpdate, asker: Announcement, now_s: float, limit_bytes: int
    ) -> MemberUpdate:
        """Return the news that answers a peer's.

        Parameters
        ----------
        asked : MemberUpdate
            What the peer sent, taken in already.
        asker : Announcement
            Who will get the answer.
        now_s : float
            The time on the hub's clock.
        limit_bytes : int
            The most bytes that rows may take, but for those that were asked for.

        Returns
        -------
        MemberUpdate
            First what was asked for, then what refutes the peer's doubts, then more.
        """
        news = MemberUpdate()
        peers_address = asker.peers_address
        known_run = self._table.peer(peers_address)
        if known_run is not None and known_run.announcement.nonce != asker.nonce:
            # The asker's own announcements are passed over until it outbids this.
            news.rows.append(_row(known_run, now_s))
        for peer in self._asked_peers(asked, peers_address, now_s):
            news.rows.append(_row(peer, now_s))
        known = {pulse.nonce: pulse.sequence for pulse in asked.heartbeats}
        known.update((r.announcement.nonce, r.announcement.sequence) for r in news.rows)
        self._fill(news, peers_address, now_s, limit_bytes, known)
        return news

    def record_answer(self) -> None:
        """Note that a question was answered."""
        self._exchanges += 1

    def merge(self, news: MemberUpdate, now_s: float) -> MessageEffects:
        """Take in what a message said of members.

        Parameters
        ----------
        news : MemberUpdate
            As a peer sent it.
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        MessageEffects
            What came of it.
        """
        taken = MessageEffects()
        for row in news.rows:
            self.merge_announcement(row.announcement, row.age_s, now_s, taken)
        for pulse in news.heartbeats:
            peer = self._table.peer_by_nonce(pulse.nonce)
            if peer is None:
                self._want(pulse.nonce, pulse.age_s)
                continue
            said = pulse.applied_to(peer.announcement)
            self.merge_announcement(said, pulse.age_s, now_s, taken)
        for doubt in news.suspicions:
            self._take_in_doubt(doubt, now_s)
        return taken

    def merge_announcement(
        self, said: Announcement, age_s: float, now_s: float, taken: MessageEffects
    ) -> None:
        """Take in one announcement and add to what came of a message."""
        self._wanted.pop(said.nonce, None)
        if said.peers_address == self._own_address:
            taken.own_address_seen = said
            return
        if self._table.merge(said, now_s, age_s) is MergeResult.CHANGED:
            self._spread(said.peers_address)
            taken.is_urgent = taken.is_urgent or said.is_leaving

    def record_contact_failure(self, peers_address: str, began_at_s: float) -> None:
        """Take in that this instance could not reach a peer."""
        peer = self._table.peer(peers_address)
        if peer is None:
            return
        said = peer.announcement
        if self._table.record_suspicion(peers_address, said.incarnation, began_at_s):
            self._spread(said.nonce)

    def _take_in_doubt(self, doubt: SuspicionRow, now_s: float) -> None:
        peer = self._table.peer_by_nonce(doubt.nonce)
        if peer is None or doubt.age_s > ANNOUNCEMENT_AGE_LIMIT_S:
            return
        said = peer.announcement
        doubted_at_s = now_s - doubt.age_s
        if self._table.record_suspicion(
            said.peers_address, said.incarnation, doubted_at_s
        ):
            self._spread(doubt.nonce)

    def _asked_peers(
        self, asked: MemberUpdate, peers_address: str, now_s: float
    ) -> list[Peer]:
        if asked.requests_all:
            known = self._table.in_state(now_s, *KNOWN_STATES)
            others = [p for p in known if p.announcement.peers_address != peers_address]
            return [p for p in others if _is_fresh(p, now_s)][:JOIN_ROWS_LIMIT]
        found = [self._table.peer_by_nonce(n) for n in asked.requested_nonces]
        found += [self._refuted(doubt, now_s) for doubt in asked.suspicions]
        return [peer for peer in found if peer is not None and _is_fresh(peer, now_s)]

    def _refuted(self, doubt: SuspicionRow, now_s: float) -> Peer | None:
        peer = self._table.peer_by_nonce(doubt.nonce)
        if peer is None or peer.announced_at_s <= now_s - doubt.age_s:
            return None
        return peer

    def _fill(
        self,
        news: MemberUpdate,
        peers_address: str,
        now_s: float,
        limit_bytes: int,
        known: dict[str, int],
    ) -> None:
        left_bytes = limit_bytes
        peers = self._table.in_state(now_s, *KNOWN_STATES)
        peers = [p for p in peers if p.announcement.peers_address != peers_address]
        peers.sort(key=lambda peer: -peer.announced_at_s)
        for peer in peers:
            if peer.suspect_since_s() <= now_s:
                left_bytes -= self._add_doubt(news, peer, now_s, left_bytes)
        fresh = [p for p in peers if _is_fresh(p, now_s)]
        for peer in fresh:
            if left_bytes < ROW_FLOOR_BYTES:
                break
            if self._sends_left.get(peer.announcement.peers_address):
                left_bytes -= self._add_row(news, peer, now_s, left_bytes, known)
        for peer in fresh:
            said = peer.announcement
            if known.get(said.nonce, -1) >= said.sequence:
                continue
            pulse = HeartbeatRow.of(said, peer.announcement_age_s(now_s))
            size_bytes = _size_bytes(pulse)
            if size_bytes > left_bytes:
                return
            news.heartbeats.append(pulse)
            left_bytes -= size_bytes

    def _add_doubt(
        self, news: MemberUpdate, peer: Peer, now_s: float, left_bytes: int
    ) -> int:
        nonce = peer.announcement.nonce
        if peer.suspected_at_s is None or not self._sends_left.get(nonce):
            return 0
        doubt = SuspicionRow(nonce, now_s - peer.suspected_at_s)
        size_bytes = _size_bytes(doubt)
        if size_bytes > left_bytes:
            return 0
        self._count_send(nonce)
        news.suspicions.append(doubt)
        return size_bytes

    def _add_row(
        self,
        news: MemberUpdate,
        peer: Peer,
        now_s: float,
        left_bytes: int,
        known: dict[str, int],
    ) -> int:
        row = _row(peer, now_s)
        said = row.announcement
        size_bytes = _size_bytes(row)
        if size_bytes > left_bytes or known.get(said.nonce, -1) >= said.sequence:
            return 0
        self._count_send(said.peers_address)
        known[said.nonce] = said.sequence
        news.rows.append(row)
        return size_bytes

    def remove_expired(self, now_s: float) -> None:
        """Drop what is gone for long, and what was to be said of it."""
        self._table.remove_expired(now_s)
        said = [peer.announcement for peer in self._table.peers()]
        kept = {a.peers_address for a in said} | {a.nonce for a in said}
        for key in [key for key in self._sends_left if key not in kept]:
            del self._sends_left[key]

    def _spread(self, key: str) -> None:
        doublings = math.log2(len(self._table.peers()) + 2)
        self._sends_left[key] = math.ceil(SENDS_PER_DOUBLING * doublings)

    def _count_send(self, key: str) -> None:
        self._sends_left[key] -= 1
        if self._sends_left[key] <= 0:
            del self._sends_left[key]

    def _want(self, nonce: str, age_s: float) -> None:
        if age_s <= ANNOUNCEMENT_AGE_LIMIT_S:
            self._wanted.pop(nonce, None)
            self._wanted[nonce] = None
        while len(self._wanted) > WANTED_LIMIT:
            del self._wanted[next(iter(self._wanted))]


def _row(peer: Peer, now_s: float) -> MemberRow:
    return MemberRow(peer.announcement, peer.announcement_age_s(now_s))


def _is_fresh(peer: Peer, now_s: float) -> bool:
    return peer.announcement_age_s(now_s) <= ANNOUNCEMENT_AGE_LIMIT_S


def _size_bytes(row: MemberRow | HeartbeatRow | SuspicionRow) -> int:
    # One byte more for the comma between rows.
    return len(orjson.dumps(row.to_json())) + 1
