"""Counting and bounding the bytes between this instance and its peers."""

from berylhaven.blackboard import Section

# The exchange's part of a node's 3 KB/s for control; the rest is for the platform's
# services and for requests of other parts.
EXCHANGE_BYTES_PER_S = 2_200.0
# Saved up while little was said, and owed after a burst of urgent news, at most.
BURST_BYTES = 4_400.0
DEBT_LIMIT_BYTES = 22_000.0
# Each message may take this part of what is saved up. With two exchanges a second,
# one begun here and one by a peer, four messages share a second's bytes.
MESSAGES_PER_S = 4
# Even with nothing saved up a message carries a few signs of life.
MESSAGE_FLOOR_BYTES = 120
MESSAGE_CEILING_BYTES = 1_100


class PeerTraffic:
    """Bytes and messages to and from peers, HTTP heads included.

    Parameters
    ----------
    rate_bytes_per_s : float
        What may be spent in the long run, both directions together.
    """

    __slots__ = (
        "sent_bytes",
        "received_bytes",
        "sent_messages",
        "received_messages",
        "_rate_bytes_per_s",
        "_saved_bytes",
        "_saved_at_s",
    )

    def __init__(self, rate_bytes_per_s: float = EXCHANGE_BYTES_PER_S) -> None:
        # Bytes sent to peers since the start.
        self.sent_bytes = 0
        # Bytes received from peers since the start.
        self.received_bytes = 0
        # Requests and answers sent to peers since the start.
        self.sent_messages = 0
        # Requests and answers received from peers since the start.
        self.received_messages = 0
        self._rate_bytes_per_s = rate_bytes_per_s
        self._saved_bytes = BURST_BYTES
        self._saved_at_s: float | None = None

    def record_sent(self, size_bytes: int) -> None:
        """Count a message that went to a peer."""
        self.sent_bytes += size_bytes
        self.sent_messages += 1
        self._spend(size_bytes)

    def record_received(self, size_bytes: int) -> None:
        """Count a message that came from a peer."""
        self.received_bytes += size_bytes
        self.received_messages += 1
        self._spend(size_bytes)

    def message_limit_bytes(self, now_s: float) -> int:
        """Return how large the next message of a round may be.

        Parameters
        ----------
        now_s : float
            The time on the hub's clock.

        Returns
        -------
        int
            Between the floor and the ceiling.
        """
        self._save(now_s)
        part_bytes = int(self._saved_bytes / MESSAGES_PER_S)
        return max(MESSAGE_FLOOR_BYTES, min(MESSAGE_CEILING_BYTES, part_bytes))

    def allows_urgent(self, now_s: float) -> bool:
        """Tell whether urgent news may go out ahead of the next round."""
        self._save(now_s)
        return self._saved_bytes > -DEBT_LIMIT_BYTES

    def _save(self, now_s: float) -> None:
        elapsed_s = 0.0 if self._saved_at_s is None else now_s - self._saved_at_s
        self._saved_at_s = now_s
        earned_bytes = max(0.0, elapsed_s) * self._rate_bytes_per_s
        self._saved_bytes = min(BURST_BYTES, self._saved_bytes + earned_bytes)

    def _spend(self, size_bytes: int) -> None:
        self._saved_bytes -= size_bytes


# Written by the exchange controller; the counts change with each message.
PEER_TRAFFIC_SECTION = Section[PeerTraffic]("peer_traffic")
