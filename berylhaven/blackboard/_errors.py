"""Errors of wiring: they mean a mistake in this program, not in its input."""


class SectionOwnedError(RuntimeError):
    """A second controller tried to become the writer of a section."""


class SectionEmptyError(LookupError):
    """A section was read before its writer wrote it."""
