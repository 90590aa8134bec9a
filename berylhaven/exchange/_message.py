"""The message of an exchange; requests and answers have the same form."""

from dataclasses import dataclass, field
from typing import Any

import orjson

from berylhaven.exchange._rows import HeartbeatRow, MemberRow, SuspicionRow

# The most rows of a kind in a message. Answers have up to 256; 1 MB of rows would hold
# the event loop for 0.6 s.
ROWS_LIMIT = 1_024


@dataclass(slots=True)
class MemberUpdate:
    """The part of a message about members other than its sender."""

    # Members that may be missing in the receiver's table; "f" on the wire.
    rows: list[MemberRow] = field(default_factory=list)
    # Heartbeats of members that are probably in the receiver's table; "p" on the wire.
    heartbeats: list[HeartbeatRow] = field(default_factory=list)
    # Failed contacts with members; "d" on the wire.
    suspicions: list[SuspicionRow] = field(default_factory=list)
    # Nonces of members whose rows the answer must contain; "w" on the wire.
    requested_nonces: list[str] = field(default_factory=list)
    # Whether the answer must contain all members; "a" on the wire.
    requests_all: bool = False

    def to_json(self) -> dict:
        """Encode the update as a JSON object; empty parts are left out."""
        document = {
            "f": [row.to_json() for row in self.rows],
            "p": [row.to_json() for row in self.heartbeats],
            "d": [row.to_json() for row in self.suspicions],
            "w": self.requested_nonces,
            "a": self.requests_all,
        }
        return {key: value for key, value in document.items() if value}

    @classmethod
    def from_json(cls, document: dict) -> "MemberUpdate":
        """Decode an update; raise ValueError if it is malformed."""
        requested = _parse_list(document, "w")
        if not all(isinstance(nonce, str) for nonce in requested):
            raise ValueError("members: a requested nonce is not a string")
        return cls(
            rows=[MemberRow.from_json(row) for row in _parse_list(document, "f")],
            heartbeats=[
                HeartbeatRow.from_json(row) for row in _parse_list(document, "p")
            ],
            suspicions=[
                SuspicionRow.from_json(row) for row in _parse_list(document, "d")
            ],
            requested_nonces=requested,
            requests_all=document.get("a") is True,
        )


@dataclass(slots=True)
class ExchangeMessage:
    """One message of an exchange."""

    # The sender: a member row, or a heartbeat if the receiver has the run in its table;
    # "s" on the wire.
    sender: MemberRow | HeartbeatRow
    # The update about other members; "m" on the wire.
    members: MemberUpdate = field(default_factory=MemberUpdate)
    # JSON values by topic name; "t" on the wire.
    topics: dict[str, Any] = field(default_factory=dict)

    def to_bytes(self) -> bytes:
        """Encode the message as JSON."""
        document = {"s": self.sender.to_json()}
        members = self.members.to_json()
        if members:
            document["m"] = members
        if self.topics:
            document["t"] = self.topics
        return orjson.dumps(document)

    @classmethod
    def from_bytes(cls, raw: bytes) -> "ExchangeMessage":
        """Decode a message.

        Parameters
        ----------
        raw : bytes
            JSON received from a peer.

        Returns
        -------
        ExchangeMessage
            The message; the values of topics are not validated.

        Raises
        ------
        ValueError
            If it is malformed.
        """
        document = orjson.loads(raw)
        if not isinstance(document, dict):
            raise ValueError("message is not a JSON object")
        sender = document.get("s")
        members = document.get("m", {})
        topics = document.get("t", {})
        if not isinstance(members, dict) or not isinstance(topics, dict):
            raise ValueError("message: members (m) and topics (t) must be objects")
        return cls(_parse_sender(sender), MemberUpdate.from_json(members), topics)


def _parse_sender(row: Any) -> MemberRow | HeartbeatRow:
    if isinstance(row, list) and len(row) == len(HeartbeatRow.__slots__):
        return HeartbeatRow.from_json(row)
    return MemberRow.from_json(row)


def _parse_list(document: dict, key: str) -> list:
    value = document.get(key, [])
    if not isinstance(value, list):
        raise ValueError(f"members: {key} is not an array")
    if len(value) > ROWS_LIMIT:
        raise ValueError(f"members: {key} has {len(value)} rows, over {ROWS_LIMIT}")
    return value
