"""The blackboard through which controllers share what they know."""

from typing import Generic, TypeVar

from berylhaven.blackboard._errors import SectionEmptyError, SectionOwnedError
from berylhaven.clock import monotonic_s

T = TypeVar("T")


class Section(Generic[T]):
    """The name and type of one part of the blackboard.

    Parameters
    ----------
    name : str
        A name that no other section has.
    """

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        self.name = name


class Reading(Generic[T]):
    """A value as it was written, with the time of writing.

    Parameters
    ----------
    value : T
        What the section's writer wrote last.
    written_at_s : float
        The hub's clock when it was written.
    """

    __slots__ = ("value", "written_at_s")

    def __init__(self, value: T, written_at_s: float) -> None:
        self.value = value
        self.written_at_s = written_at_s

    def age_s(self, now_s: float) -> float:
        """Return how long ago the value was written, in seconds."""
        return now_s - self.written_at_s


class Writer(Generic[T]):
    """The one handle by which a section can be written.

    Parameters
    ----------
    blackboard : Blackboard
        Where the section lives.
    section : Section
        The section that this handle writes.
    """

    __slots__ = ("_blackboard", "_section")

    def __init__(self, blackboard: "Blackboard", section: Section[T]) -> None:
        self._blackboard = blackboard
        self._section = section

    def write(self, value: T) -> None:
        """Replace the section's value and tell whoever waits for a change."""
        self._blackboard._store(self._section, value)


class Blackboard:
    """Sections by name, their owners and their values."""

    __slots__ = ("_owners", "_readings")

    def __init__(self) -> None:
        self._owners: dict[str, str] = {}
        self._readings: dict[str, Reading] = {}

    def claim(self, section: Section[T], owner: str) -> Writer[T]:
        """Make `owner` the writer of a section.

        Parameters
        ----------
        section : Section
            The section to own.
        owner : str
            The controller's name, shown in errors and in status.

        Returns
        -------
        Writer
            The only handle that writes the section.

        Raises
        ------
        SectionOwnedError
            If the section has a writer already.
        """
        if section.name in self._owners:
            raise SectionOwnedError(
                f"section {section.name} belongs to {self._owners[section.name]}, "
                f"not to {owner}"
            )
        self._owners[section.name] = owner
        return Writer(self, section)

    def read(self, section: Section[T]) -> Reading[T] | None:
        """Return the section's last value with its time, or None if unwritten."""
        return self._readings.get(section.name)

    def value(self, section: Section[T]) -> T:
        """Return the section's last value.

        Raises
        ------
        SectionEmptyError
            If nothing was written yet.
        """
        reading = self._readings.get(section.name)
        if reading is None:
            raise SectionEmptyError(f"section {section.name} was never written")
        return reading.value

    def owners(self) -> dict[str, str]:
        """Return the writer's name for each section that has one."""
        return dict(self._owners)

    def _store(self, section: Section[T], value: T) -> None:
        self._readings[section.name] = Reading(value, monotonic_s())
