"""Counters and rate limit of the traffic between this instance and its peers."""

from berylhaven.blackboard import Section

# The exchange's part of the 3 KB/s that each node may use for control traffic; the rest
# is for the platform's services and for requests of other components.
EXCHANGE_BYTES_PER_S = 2_200.0
# The rate limit is a token bucket: the most bytes that accumulate in quiet times, and
# the largest debt after a burst of urgent updates.
BURST_BYTES = 4_400.0
DEBT_LIMIT_BYTES = 22_000.0
# A message may use the available bytes divided by this number. With two exchanges a
# second, one started here and one by a peer, four messages share the bytes of a second.
MESSAGES_PER_S = 4
# Room for a few heartbeats, which a message carries even if no bytes are available.
MESSAGE_FLOOR_BYTES = 120
MESSAGE_CEILING_BYTES = 1_100


class PeerTraffic:
    """Counts and limits the messages to and from peers, including HTTP heads.

    Parameters
    ----------
    rate_bytes_per_s : float
        The long-term rate limit in bytes per second, both directions together.
    """

    __slots__ = (
        "sent_bytes",
        "received_bytes",
        "sent_messages",
        "received_messages",
        "_rate_bytes_per_s",
        "_available_bytes",
        "_refilled_at_s",
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
        self._available_bytes = BURST_BYTES
        self._refilled_at_s: float | None = None

    def record_sent(self, size_bytes: int) -> None:
        """Count a message sent to a peer."""
        self.sent_bytes += size_bytes
        self.sent_messages += 1
        self._spend(size_bytes)

    def record_received(self, size_bytes: int) -> None:
        """Count a message received from a peer."""
        self.received_bytes += size_bytes
        self.received_messages += 1
        self._spend(size_bytes)

    def message_limit_bytes(self, now_s: float) -> int:
        """Return the size limit of the next message of a round, in bytes.

        Parameters
        ----------
        now_s : float
            The current time on the hub's clock, in seconds.

        Returns
        -------
        int
            A size from MESSAGE_FLOOR_BYTES to MESSAGE_CEILING_BYTES.
        """
        self._refill(now_s)
        share_bytes = int(self._available_bytes / MESSAGES_PER_S)
        return max(MESSAGE_FLOOR_BYTES, min(MESSAGE_CEILING_BYTES, share_bytes))

    def allows_urgent(self, now_s: float) -> bool:
        """Return whether an urgent update may be sent before the next round."""
        self._refill(now_s)
        return self._available_bytes > -DEBT_LIMIT_BYTES

    def _refill(self, now_s: float) -> None:
        elapsed_s = 0.0 if self._refilled_at_s is None else now_s - self._refilled_at_s
        self._refilled_at_s = now_s
        refilled_bytes = max(0.0, elapsed_s) * self._rate_bytes_per_s
        self._available_bytes = min(BURST_BYTES, self._available_bytes + refilled_bytes)

    def _spend(self, size_bytes: int) -> None:
        self._available_bytes -= size_bytes


# Set by the exchange controller; the counters change with each message.
PEER_TRAFFIC_SECTION = Section[PeerTraffic]("peer_traffic")
