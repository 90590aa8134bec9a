"""The state that an entry instance announces in its heartbeats."""

from dataclasses import asdict, dataclass, fields


@dataclass(slots=True, frozen=True)
class Announcement:
    """The announced state of one entry instance."""

    # HOST:PORT for the other entry instances; it identifies the instance.
    peers_address: str
    # HOST:PORT for callers.
    callers_address: str
    # The data centre of the instance.
    data_centre: str
    # The firm that owns the instance.
    firm: str
    # The incarnation, which increases with each run at the same address.
    incarnation: int
    # Hexadecimal digits, unique to this run.
    nonce: str
    # Increases with each announcement of a run.
    sequence: int
    # Whether the instance accepts callers; false before it has a catalogue and while
    # it leaves.
    is_ready: bool
    # Whether the instance is draining and will stop.
    is_leaving: bool
    # Calls in flight as a ratio of the concurrency limit, or the overload pressure if
    # that is greater.
    load_ratio: float
    # Seconds since the start of the run, on its own clock; call ids contain it.
    uptime_s: int
    # The revision of the active catalogue; 0 before the first.
    catalogue_revision: int
    # The digest of the active catalogue; empty before the first.
    catalogue_digest: str

    def to_json(self) -> dict:
        """Return the announcement as a JSON object."""
        return asdict(self)

    @classmethod
    def from_json(cls, document: dict) -> "Announcement":
        """Parse an announcement from a peer's JSON.

        Parameters
        ----------
        document : dict
            The JSON object; unknown keys are skipped, as newer versions may add some.

        Returns
        -------
        Announcement
            The parsed announcement.

        Raises
        ------
        ValueError
            If a key is missing or its value has the wrong type.
        """
        values = {}
        for field in fields(cls):
            value = document.get(field.name)
            if field.type is float and type(value) is int:
                value = float(value)
            if type(value) is not field.type:
                raise ValueError(
                    f"announcement: invalid value of {field.name}: {value!r}"
                )
            values[field.name] = value
        return cls(**values)

    def is_newer_than(self, other: "Announcement") -> bool:
        """Return whether this announcement supersedes another of the instance."""
        mine = (self.incarnation, self.sequence)
        return mine > (other.incarnation, other.sequence)

    def needs_prompt_gossip_after(self, other: "Announcement") -> bool:
        """Return whether the change from another announcement must be gossiped soon."""
        if self.nonce != other.nonce:
            return True
        return self.is_leaving != other.is_leaving
