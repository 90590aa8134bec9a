"""Tracking of catalogue revisions; the active revision never decreases."""

import enum


class RevisionStatus(enum.Enum):
    """How an offered revision relates to the known ones."""

    # Higher than all known revisions; it has yet to be validated.
    NEW = "new"
    # The active revision, or one that was rejected before.
    KNOWN = "known"
    # Lower than a known revision: a stale read or a peer that lags behind.
    OLD = "old"
    # A known revision number with another text.
    CONFLICT = "conflict"


class RevisionTracker:
    """Tracks the active revision and the last one that was rejected."""

    __slots__ = ("active_revision", "_active_digest", "_rejected")

    def __init__(self) -> None:
        # 0 before the first revision is activated.
        self.active_revision = 0
        self._active_digest = ""
        self._rejected: tuple[int, str] = (0, "")

    @property
    def known_revision(self) -> int:
        """The highest revision that need not be validated again."""
        return max(self.active_revision, self._rejected[0])

    def compare(self, revision: int, digest: str) -> RevisionStatus:
        """Compare an offered revision with the known ones.

        Parameters
        ----------
        revision : int
            The platform's version of the value.
        digest : str
            The digest of its text.

        Returns
        -------
        RevisionStatus
            Only a NEW revision may be activated.
        """
        for known, known_digest in (
            (self.active_revision, self._active_digest),
            self._rejected,
        ):
            if known and revision == known:
                is_same = digest == known_digest
                return RevisionStatus.KNOWN if is_same else RevisionStatus.CONFLICT
        if revision < self.known_revision or revision <= 0:
            return RevisionStatus.OLD
        return RevisionStatus.NEW

    def activate(self, revision: int, digest: str) -> None:
        """Record the active revision; raise ValueError if it is not higher."""
        if revision <= self.active_revision:
            raise ValueError(
                f"revision {revision} is not higher than the active revision "
                f"{self.active_revision}"
            )
        self.active_revision = revision
        self._active_digest = digest

    def record_rejected(self, revision: int, digest: str) -> None:
        """Record a revision whose validation failed."""
        self._rejected = (revision, digest)
