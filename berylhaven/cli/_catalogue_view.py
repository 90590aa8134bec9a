"""The catalogue's revisions over the fleet, as one entry instance sees them."""

from dataclasses import asdict, dataclass

NOTHING_IN_FORCE = 0
LIVE = "live"


@dataclass(slots=True, frozen=True)
class CatalogueRow:
    """What one entry instance has in force."""

    # The instance's address for peers.
    instance: str
    # Where it stands.
    data_centre: str
    # What the instance asked takes it to be.
    state: str
    # The revision in force; 0 before the first.
    revision: int
    # The digest in force.
    digest: str
    # The age of this news in seconds; 0 for the instance asked.
    heard_s_ago: float

    def cells(self) -> tuple:
        """Return the row as a table shows it."""
        return (
            self.instance,
            self.data_centre,
            self.state,
            self.revision,
            self.digest,
            self.heard_s_ago,
        )


@dataclass(slots=True, frozen=True)
class CatalogueView:
    """The rows of all instances seen, and what was refused."""

    # The instance asked first, then its peers.
    rows: tuple[CatalogueRow, ...]
    # The refused revision above the one in force, as the status shows it.
    refused: dict | None

    @property
    def revision_difference(self) -> int:
        """How many revisions the instances that are not gone lie apart."""
        revisions = [row.revision for row in self._present()]
        return max(revisions) - min(revisions)

    def conflicting_revisions(self) -> list[int]:
        """Return the revisions that have more than one digest."""
        digests: dict[int, set[str]] = {}
        for row in self._present():
            digests.setdefault(row.revision, set()).add(row.digest)
        return [revision for revision, seen in digests.items() if len(seen) > 1]

    def summary(self) -> str:
        """Return one or more sentences for a person."""
        rows = self._present()
        newest = max(row.revision for row in rows)
        count = sum(row.revision == newest for row in rows)
        text = f"revision {newest} in force at {count} of {len(rows)} instances"
        text += f"; they lie {self.revision_difference} apart"
        if self.refused:
            text += f"; revision {self.refused['revision']} was refused"
            text += f" for {self.refused['problem_count']} faults:\n"
            text += "\n".join(self.refused["problems"])
        return text

    def to_json(self) -> dict:
        """Return the view as a JSON object."""
        return {
            "instances": [asdict(row) for row in self.rows],
            "spread_count": self.revision_difference,
            "conflicting_revisions": self.conflicting_revisions(),
            "refused": self.refused,
        }

    def _present(self) -> list[CatalogueRow]:
        return [row for row in self.rows if row.state != "gone"]


def parse_catalogue_view(status: dict) -> CatalogueView:
    """Read the view out of a status document.

    Parameters
    ----------
    status : dict
        As an entry instance answered it.

    Returns
    -------
    CatalogueView
        With the instance asked as first row.
    """
    own = {**status["instance"], "state": "asked", "heard_s_ago": 0.0}
    rows = [_row(document) for document in [own, *status["peers"]]]
    return CatalogueView(tuple(rows), status.get("catalogue_refused"))


def _row(document: dict) -> CatalogueRow:
    return CatalogueRow(
        document["peers_address"],
        document["data_centre"],
        document["state"],
        document["catalogue_revision"],
        document["catalogue_digest"],
        document["heard_s_ago"],
    )
