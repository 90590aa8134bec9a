"""The message that peers send each other, question and answer alike."""

from dataclasses import dataclass, field
from typing import Any

import orjson

from berylhaven.exchange._rows import HeartbeatRow, MemberRow, SuspicionRow


@dataclass(slots=True)
class MemberUpdate:
    """What a message says of members other than its sender."""

    # Members that the receiver may not know; "f" on the wire.
    rows: list[MemberRow] = field(default_factory=list)
    # Signs of life of members that the receiver may know; "p" on the wire.
    heartbeats: list[HeartbeatRow] = field(default_factory=list)
    # Failed contacts; "d" on the wire.
    suspicions: list[SuspicionRow] = field(default_factory=list)
    # Nonces of members whose rows the answer shall have; "w" on the wire.
    requested_nonces: list[str] = field(default_factory=list)
    # Whether the answer shall have all members; "a" on the wire.
    requests_all: bool = False

    def to_json(self) -> dict:
        """Return the news as a JSON object without what is empty."""
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
        """Read the news; raise ValueError if they are malformed."""
        wanted = _list(document, "w")
        if not all(isinstance(nonce, str) for nonce in wanted):
            raise ValueError("members: a nonce is not text")
        return cls(
            rows=[MemberRow.from_json(row) for row in _list(document, "f")],
            heartbeats=[HeartbeatRow.from_json(row) for row in _list(document, "p")],
            suspicions=[SuspicionRow.from_json(row) for row in _list(document, "d")],
            requested_nonces=wanted,
            requests_all=document.get("a") is True,
        )


@dataclass(slots=True)
class ExchangeMessage:
    """One message of a round."""

    # Who sends it, whole or for a receiver that knows the run; "s" on the wire.
    sender: MemberRow | HeartbeatRow
    # What it says of other members; "m" on the wire.
    members: MemberUpdate = field(default_factory=MemberUpdate)
    # JSON values by the name of their topic; "t" on the wire.
    topics: dict[str, Any] = field(default_factory=dict)

    def to_bytes(self) -> bytes:
        """Return the message as JSON."""
        document = {"s": self.sender.to_json()}
        members = self.members.to_json()
        if members:
            document["m"] = members
        if self.topics:
            document["t"] = self.topics
        return orjson.dumps(document)

    @classmethod
    def from_bytes(cls, raw: bytes) -> "ExchangeMessage":
        """Read a message.

        Parameters
        ----------
        raw : bytes
            JSON as a peer sent it.

        Returns
        -------
        ExchangeMessage
            The typed message.

        Raises
        ------
        ValueError
            If it is not a message.
        """
        document = orjson.loads(raw)
        if not isinstance(document, dict):
            raise ValueError("message: not an object")
        sender = document.get("s")
        members = document.get("m", {})
        topics = document.get("t", {})
        if not isinstance(members, dict) or not isinstance(topics, dict):
            raise ValueError("message: members and topics must be objects")
        return cls(_sender(sender), MemberUpdate.from_json(members), topics)


def _sender(row: Any) -> MemberRow | HeartbeatRow:
    if isinstance(row, list) and len(row) == len(HeartbeatRow.__slots__):
        return HeartbeatRow.from_json(row)
    return MemberRow.from_json(row)


def _list(document: dict, key: str) -> list:
    value = document.get(key, [])
    if not isinstance(value, list):
        raise ValueError(f"members: {key} is not an array")
    return value
