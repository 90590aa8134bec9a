"""Typed sections that each have one writer and any number of readers."""

from berylhaven.blackboard._blackboard import Blackboard, Reading, Section, Writer
from berylhaven.blackboard._errors import SectionEmptyError, SectionOwnedError

__all__ = [
    "Blackboard",
    "Reading",
    "Section",
    "SectionEmptyError",
    "SectionOwnedError",
    "Writer",
]
