"""Which revision of the catalogue wins; it never goes back."""

import enum


class RevisionStatus(enum.Enum):
    """What an offered revision is to the one in force."""

    # Above all that is known; to be read and checked.
    NEW = "new"
    # The one in force, or one that was refused before.
    KNOWN = "known"
    # Below the one in force; a stale read or a peer that lags.
    OLD = "old"
    # A known revision with another text.
    CONFLICT = "conflict"


class RevisionTracker:
    """Remembers the revision in force and the last one that was refused."""

    __slots__ = ("active_revision", "_in_force_digest", "_refused")

    def __init__(self) -> None:
        # 0 before the first.
        self.active_revision = 0
        self._in_force_digest = ""
        self._refused: tuple[int, str] = (0, "")

    @property
    def known_revision(self) -> int:
        """The highest revision that need not be read again."""
        return max(self.active_revision, self._refused[0])

    def compare(self, revision: int, digest: str) -> RevisionStatus:
        """Compare an offered revision with what is known.

        Parameters
        ----------
        revision : int
            The platform's version of the value.
        digest : str
            The digest of its text.

        Returns
        -------
        RevisionStatus
            Only NEW may be put in force.
        """
        for known, known_digest in (
            (self.active_revision, self._in_force_digest),
            self._refused,
        ):
            if known and revision == known:
                is_same = digest == known_digest
                return RevisionStatus.KNOWN if is_same else RevisionStatus.CONFLICT
        if revision < self.known_revision or revision <= 0:
            return RevisionStatus.OLD
        return RevisionStatus.NEW

    def activate(self, revision: int, digest: str) -> None:
        """Note a new revision in force; raise ValueError if it is not above."""
        if revision <= self.active_revision:
            raise ValueError(f"revision {revision} is not a new one")
        self.active_revision = revision
        self._in_force_digest = digest

    def record_rejected(self, revision: int, digest: str) -> None:
        """Note that a revision was checked and refused."""
        self._refused = (revision, digest)
