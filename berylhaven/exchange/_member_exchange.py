"""Selects the member rows sent to each peer and merges those received."""

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

# A changed row is sent this many times the binary logarithm of the fleet's size.
SENDS_PER_DOUBLING = 2
REQUESTED_NONCES_LIMIT = 16
# No member row is smaller; none is encoded if fewer bytes remain.
MIN_ROW_BYTES = 60
# The exchanges since the start or a refresh that request all members. They are at
# growing distances, since the first peers may have started just before as well and
# have few members in their tables.
FULL_REQUEST_EXCHANGES = frozenset({0, 1, 3, 7, 15})
FULL_ANSWER_ROWS_LIMIT = 256
ACTIVE_STATES = (PeerState.LIVE, PeerState.SUSPECT, PeerState.LEAVING)


@dataclass(slots=True)
class MessageEffects:
    """The effects of a merged message."""

    # Whether peers must be notified at once.
    is_urgent: bool = False
    # An announcement of another run under this instance's address, if received.
    own_address_announcement: Announcement | None = None


class MemberExchange:
    """Composes and merges member updates, without I/O or a clock of its own.

    Parameters
    ----------
    table : PeerTable
        The known peers; updates are merged into it.
    own_address : str
        HOST:PORT of this instance for peers.
    """

    __slots__ = (
        "_table",
        "_own_address",
        "_remaining_sends",
        "_requested_nonces",
        "_exchange_count",
    )

    def __init__(self, table: PeerTable, own_address: str) -> None:
        self._table = table
        self._own_address = own_address
        # Remaining sends: of the member row by address, of the suspicion by nonce.
        self._remaining_sends: dict[str, int] = {}
        # Nonces of unknown runs whose rows are requested, the oldest request first.
        self._requested_nonces: dict[str, None] = {}
        self._exchange_count = 0

    def refresh(self) -> None:
        """Request all members again, as after a pause of the process."""
        self._exchange_count = 0

    def compose_request(
        self, peers_address: str, now_s: float, limit_bytes: int
    ) -> MemberUpdate:
        """Return the update to send with a request to a peer.

        Parameters
        ----------
        peers_address : str
            HOST:PORT of the receiver.
        now_s : float
            The current time on the hub's clock, in seconds.
        limit_bytes : int
            The size limit of the rows, in bytes.

        Returns
        -------
        MemberUpdate
            The update, including the rows requested from the peer.
        """
        update = MemberUpdate()
        update.requested_nonces = list(self._requested_nonces)[:REQUESTED_NONCES_LIMIT]
        update.requests_all = self._exchange_count in FULL_REQUEST_EXCHANGES
        self._fill(update, peers_address, now_s, limit_bytes, {})
        return update

    def compose_answer(
        self,
        request: MemberUpdate,
        sender: Announcement,
        now_s: float,
        limit_bytes: int,
    ) -> MemberUpdate:
        """Return the update that answers a request of a peer.

        Parameters
        ----------
        request : MemberUpdate
            The update in the peer's request, already merged.
        sender : Announcement
            The peer that sent the request and receives the answer.
        now_s : float
            The current time on the hub's clock, in seconds.
        limit_bytes : int
            The size limit of the rows that were not requested, in bytes.

        Returns
        -------
        MemberUpdate
            The requested rows, rows that refute the peer's suspicions, then others.
        """
        update = MemberUpdate()
        peers_address = sender.peers_address
        known_run = self._table.peer(peers_address)
        if known_run is not None and known_run.announcement.nonce != sender.nonce:
            # Another run with this address is known. The sender's announcements are
            # ignored until its incarnation is higher than that of the known run.
            update.rows.append(_member_row(known_run, now_s))
        for peer in self._requested_peers(request, peers_address, now_s):
            update.rows.append(_member_row(peer, now_s))
        known = {
            heartbeat.nonce: heartbeat.sequence for heartbeat in request.heartbeats
        }
        known.update(
            (r.announcement.nonce, r.announcement.sequence) for r in update.rows
        )
        self._fill(update, peers_address, now_s, limit_bytes, known)
        return update

    def record_answer(self) -> None:
        """Record that a request was answered."""
        self._exchange_count += 1

    def merge(self, update: MemberUpdate, now_s: float) -> MessageEffects:
        """Merge an update into the table of peers.

        Parameters
        ----------
        update : MemberUpdate
            The update received from a peer.
        now_s : float
            The current time on the hub's clock, in seconds.

        Returns
        -------
        MessageEffects
            The effects of the update.
        """
        effects = MessageEffects()
        for row in update.rows:
            self.merge_announcement(row.announcement, row.age_s, now_s, effects)
        for heartbeat in update.heartbeats:
            peer = self._table.peer_by_nonce(heartbeat.nonce)
            if peer is None:
                self._request_announcement(heartbeat.nonce, heartbeat.age_s)
                continue
            announcement = heartbeat.applied_to(peer.announcement)
            self.merge_announcement(announcement, heartbeat.age_s, now_s, effects)
        for suspicion in update.suspicions:
            self._merge_suspicion(suspicion, now_s)
        return effects

    def merge_announcement(
        self,
        announcement: Announcement,
        age_s: float,
        now_s: float,
        effects: MessageEffects,
    ) -> None:
        """Merge an announcement and add its effects to those of its message."""
        self._requested_nonces.pop(announcement.nonce, None)
        if announcement.peers_address == self._own_address:
            effects.own_address_announcement = announcement
            return
        if self._table.merge(announcement, now_s, age_s) is MergeResult.CHANGED:
            self._schedule_sends(announcement.peers_address)
            effects.is_urgent = effects.is_urgent or announcement.is_leaving

    def record_contact_failure(self, peers_address: str, began_at_s: float) -> None:
        """Record that this instance could not reach a peer."""
        peer = self._table.peer(peers_address)
        if peer is None:
            return
        announcement = peer.announcement
        if self._table.record_suspicion(
            peers_address, announcement.incarnation, began_at_s
        ):
            self._schedule_sends(announcement.nonce)

    def _merge_suspicion(self, suspicion: SuspicionRow, now_s: float) -> None:
        peer = self._table.peer_by_nonce(suspicion.nonce)
        if peer is None or suspicion.age_s > ANNOUNCEMENT_AGE_LIMIT_S:
            return
        announcement = peer.announcement
        suspected_at_s = now_s - suspicion.age_s
        if self._table.record_suspicion(
            announcement.peers_address, announcement.incarnation, suspected_at_s
        ):
            self._schedule_sends(suspicion.nonce)

    def _requested_peers(
        self, request: MemberUpdate, peers_address: str, now_s: float
    ) -> list[Peer]:
        if request.requests_all:
            known = self._table.in_state(now_s, *ACTIVE_STATES)
            others = [p for p in known if p.announcement.peers_address != peers_address]
            return [p for p in others if _is_fresh(p, now_s)][:FULL_ANSWER_ROWS_LIMIT]
        found = [self._table.peer_by_nonce(n) for n in request.requested_nonces]
        found += [
            self._refuted_peer(suspicion, now_s) for suspicion in request.suspicions
        ]
        return [peer for peer in found if peer is not None and _is_fresh(peer, now_s)]

    def _refuted_peer(self, suspicion: SuspicionRow, now_s: float) -> Peer | None:
        peer = self._table.peer_by_nonce(suspicion.nonce)
        if peer is None or peer.announced_at_s <= now_s - suspicion.age_s:
            return None
        return peer

    def _fill(
        self,
        update: MemberUpdate,
        peers_address: str,
        now_s: float,
        limit_bytes: int,
        known: dict[str, int],
    ) -> None:
        remaining_bytes = limit_bytes
        peers = self._table.in_state(now_s, *ACTIVE_STATES)
        peers = [p for p in peers if p.announcement.peers_address != peers_address]
        peers.sort(key=lambda peer: -peer.announced_at_s)
        for peer in peers:
            if peer.suspect_since_s() <= now_s:
                remaining_bytes -= self._add_suspicion(
                    update, peer, now_s, remaining_bytes
                )
        fresh = [p for p in peers if _is_fresh(p, now_s)]
        for peer in fresh:
            if remaining_bytes < MIN_ROW_BYTES:
                break
            if self._remaining_sends.get(peer.announcement.peers_address):
                remaining_bytes -= self._add_row(
                    update, peer, now_s, remaining_bytes, known
                )
        for peer in fresh:
            announcement = peer.announcement
            if known.get(announcement.nonce, -1) >= announcement.sequence:
                continue
            heartbeat = HeartbeatRow.from_announcement(
                announcement, peer.announcement_age_s(now_s)
            )
            size_bytes = _size_bytes(heartbeat)
            if size_bytes > remaining_bytes:
                return
            update.heartbeats.append(heartbeat)
            remaining_bytes -= size_bytes

    def _add_suspicion(
        self, update: MemberUpdate, peer: Peer, now_s: float, remaining_bytes: int
    ) -> int:
        nonce = peer.announcement.nonce
        if peer.suspected_at_s is None or not self._remaining_sends.get(nonce):
            return 0
        suspicion = SuspicionRow(nonce, now_s - peer.suspected_at_s)
        size_bytes = _size_bytes(suspicion)
        if size_bytes > remaining_bytes:
            return 0
        self._count_send(nonce)
        update.suspicions.append(suspicion)
        return size_bytes

    def _add_row(
        self,
        update: MemberUpdate,
        peer: Peer,
        now_s: float,
        remaining_bytes: int,
        known: dict[str, int],
    ) -> int:
        row = _member_row(peer, now_s)
        announcement = row.announcement
        size_bytes = _size_bytes(row)
        if (
            size_bytes > remaining_bytes
            or known.get(announcement.nonce, -1) >= announcement.sequence
        ):
            return 0
        self._count_send(announcement.peers_address)
        known[announcement.nonce] = announcement.sequence
        update.rows.append(row)
        return size_bytes

    def remove_expired(self, now_s: float) -> None:
        """Remove peers past their retention period and their scheduled sends."""
        self._table.remove_expired(now_s)
        announcements = [peer.announcement for peer in self._table.peers()]
        kept = {a.peers_address for a in announcements} | {
            a.nonce for a in announcements
        }
        for key in [key for key in self._remaining_sends if key not in kept]:
            del self._remaining_sends[key]

    def _schedule_sends(self, key: str) -> None:
        doublings = math.log2(len(self._table.peers()) + 2)
        self._remaining_sends[key] = math.ceil(SENDS_PER_DOUBLING * doublings)

    def _count_send(self, key: str) -> None:
        self._remaining_sends[key] -= 1
        if self._remaining_sends[key] <= 0:
            del self._remaining_sends[key]

    def _request_announcement(self, nonce: str, age_s: float) -> None:
        if age_s <= ANNOUNCEMENT_AGE_LIMIT_S:
            self._requested_nonces.pop(nonce, None)
            self._requested_nonces[nonce] = None
        while len(self._requested_nonces) > REQUESTED_NONCES_LIMIT:
            del self._requested_nonces[next(iter(self._requested_nonces))]


def _member_row(peer: Peer, now_s: float) -> MemberRow:
    return MemberRow(peer.announcement, peer.announcement_age_s(now_s))


def _is_fresh(peer: Peer, now_s: float) -> bool:
    return peer.announcement_age_s(now_s) <= ANNOUNCEMENT_AGE_LIMIT_S


def _size_bytes(row: MemberRow | HeartbeatRow | SuspicionRow) -> int:
    # One more byte for the comma between rows.
    return len(orjson.dumps(row.to_json())) + 1
