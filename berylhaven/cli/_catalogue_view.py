"""The active catalogue revisions of the fleet, as one entry instance reports them."""

from dataclasses import asdict, dataclass

NO_ACTIVE_REVISION = 0
LIVE = "live"


@dataclass(slots=True, frozen=True)
class CatalogueRow:
    """The active catalogue of one entry instance."""

    # The instance's address for peers.
    instance: str
    # The data centre that it runs in.
    data_centre: str
    # Its membership state at the queried instance; "asked" for that instance itself.
    state: str
    # The active revision; 0 before the first.
    revision: int
    # The digest of the active revision.
    digest: str
    # The age of this row in seconds; 0 for the queried instance.
    heard_s_ago: float

    def cells(self) -> tuple:
        """Return the values of the table row."""
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
    """The rows of all known instances, and the rejected revision, if any."""

    # The queried instance first, then its peers.
    rows: tuple[CatalogueRow, ...]
    # The rejected revision above the active one, as in the status document.
    refused: dict | None

    @property
    def revision_difference(self) -> int:
        """The newest minus the oldest revision at the instances that are not gone."""
        revisions = [row.revision for row in self._rows_not_gone()]
        return max(revisions) - min(revisions)

    def conflicting_revisions(self) -> list[int]:
        """Return the revisions that have more than one digest."""
        digests: dict[int, set[str]] = {}
        for row in self._rows_not_gone():
            digests.setdefault(row.revision, set()).add(row.digest)
        return [revision for revision, seen in digests.items() if len(seen) > 1]

    def summary(self) -> str:
        """Return a summary as text."""
        rows = self._rows_not_gone()
        newest = max(row.revision for row in rows)
        count = sum(row.revision == newest for row in rows)
        text = f"revision {newest} active at {count} of {len(rows)} instances"
        text += f"; newest minus oldest revision: {self.revision_difference}"
        if self.refused:
            text += f"; revision {self.refused['revision']} was rejected"
            text += f" with {self.refused['problem_count']} problems:\n"
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

    def _rows_not_gone(self) -> list[CatalogueRow]:
        return [row for row in self.rows if row.state != "gone"]


def parse_catalogue_view(status: dict) -> CatalogueView:
    """Parse the view from a status document.

    Parameters
    ----------
    status : dict
        The status document of an entry instance.

    Returns
    -------
    CatalogueView
        With the queried instance as the first row.
    """
    own_row = {**status["instance"], "state": "asked", "heard_s_ago": 0.0}
    rows = [_parse_row(document) for document in [own_row, *status["peers"]]]
    return CatalogueView(tuple(rows), status.get("catalogue_refused"))


def _parse_row(document: dict) -> CatalogueRow:
    return CatalogueRow(
        document["peers_address"],
        document["data_centre"],
        document["state"],
        document["catalogue_revision"],
        document["catalogue_digest"],
        document["heard_s_ago"],
    )
