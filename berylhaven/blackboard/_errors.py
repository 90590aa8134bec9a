"""Errors in the use of the blackboard: faults of this program, not of its input."""


class SectionOwnedError(RuntimeError):
    """A second owner tried to claim a section."""


class SectionEmptyError(LookupError):
    """A section was read before its writer wrote it."""
