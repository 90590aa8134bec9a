"""The message that peers send each other, question and answer alike."""

from dataclasses import dataclass, field
from typing import Any

import orjson

from berylhaven.membership import Announcement


@dataclass(slots=True)
class ExchangeMessage:
    """One message of a round."""

    # Who sends it.
    sender: Announcement
    # JSON values by the name of their topic.
    topics: dict[str, Any] = field(default_factory=dict)

    def to_bytes(self) -> bytes:
        """Return the message as JSON."""
        return orjson.dumps({"sender": self.sender.to_json(), "topics": self.topics})

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
        sender = document.get("sender")
        topics = document.get("topics")
        if not isinstance(sender, dict) or not isinstance(topics, dict):
            raise ValueError("message: sender and topics must be objects")
        return cls(Announcement.from_json(sender), topics)
