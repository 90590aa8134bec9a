"""What an entry instance says of itself; heartbeats carry it."""

from dataclasses import asdict, dataclass, fields


@dataclass(slots=True, frozen=True)
class Announcement:
    """One entry instance's words about itself."""

    # HOST:PORT for the other entry instances; it names the instance.
    peers_address: str
    # HOST:PORT for callers.
    callers_address: str
    # Where it stands.
    data_centre: str
    # The firm that owns it.
    firm: str
    # Rises with each run on the same address.
    incarnation: int
    # Hexadecimal digits that no other run has.
    nonce: str
    # Rises with each announcement of one run.
    sequence: int
    # Whether it takes callers; false before it has a catalogue and while leaving.
    is_ready: bool
    # Whether it is leaving for good.
    is_leaving: bool
    # Calls in flight, as a share of what it can have.
    load_ratio: float
    # Seconds since the run began, on its own clock; call ids bear it.
    uptime_s: int
    # The revision of the catalogue in force; 0 before the first.
    catalogue_revision: int
    # The digest of the catalogue in force; empty before the first.
    catalogue_digest: str

    def to_json(self) -> dict:
        """Return the announcement as a JSON object."""
        return asdict(self)

    @classmethod
    def from_json(cls, document: dict) -> "Announcement":
        """Read an announcement from a peer's JSON.

        Parameters
        ----------
        document : dict
            The JSON object; keys of newer versions are passed over.

        Returns
        -------
        Announcement
            The typed value.

        Raises
        ------
        ValueError
            If a key is missing or of another type.
        """
        values = {}
        for field in fields(cls):
            value = document.get(field.name)
            if field.type is float and type(value) is int:
                value = float(value)
            if type(value) is not field.type:
                raise ValueError(f"announcement: {field.name} is {value!r}")
            values[field.name] = value
        return cls(**values)

    def is_newer_than(self, other: "Announcement") -> bool:
        """Tell whether this one supersedes another of the same instance."""
        mine = (self.incarnation, self.sequence)
        return mine > (other.incarnation, other.sequence)

    def needs_prompt_gossip_after(self, other: "Announcement") -> bool:
        """Tell whether others must hear of the difference soon."""
        if self.nonce != other.nonce:
            return True
        return self.is_leaving != other.is_leaving
