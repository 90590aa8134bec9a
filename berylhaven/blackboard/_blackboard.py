"""The blackboard through which controllers share state."""

from typing import Generic, TypeVar

from berylhaven.blackboard._errors import SectionEmptyError, SectionOwnedError
from berylhaven.clock import monotonic_s

T = TypeVar("T")


class Section(Generic[T]):
    """The name and type of one part of the blackboard.

    Parameters
    ----------
    name : str
        The unique name of the section.
    """

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        self.name = name


class Reading(Generic[T]):
    """The value of a section, with the time at which it was written.

    Parameters
    ----------
    value : T
        The value that the section's writer wrote last.
    written_at_s : float
        The time on the hub's clock at which the value was written.
    """

    __slots__ = ("value", "written_at_s")

    def __init__(self, value: T, written_at_s: float) -> None:
        self.value = value
        self.written_at_s = written_at_s

    def age_s(self, now_s: float) -> float:
        """Return how long ago the value was written, in seconds."""
        return now_s - self.written_at_s


class Writer(Generic[T]):
    """The only handle that can write a section.

    Parameters
    ----------
    blackboard : Blackboard
        The blackboard that holds the section.
    section : Section
        The section that this handle writes.
    """

    __slots__ = ("_blackboard", "_section")

    def __init__(self, blackboard: "Blackboard", section: Section[T]) -> None:
        self._blackboard = blackboard
        self._section = section

    def write(self, value: T) -> None:
        """Replace the section's value and set its time of writing."""
        self._blackboard._store(self._section, value)


class Blackboard:
    """Holds the owner and the last value of each section by name."""

    __slots__ = ("_owners", "_readings")

    def __init__(self) -> None:
        self._owners: dict[str, str] = {}
        self._readings: dict[str, Reading] = {}

    def claim(self, section: Section[T], owner: str) -> Writer[T]:
        """Register the owner of a section and return the handle that writes it.

        Parameters
        ----------
        section : Section
            The section to claim.
        owner : str
            The controller's name, which is shown in errors and in the status document.

        Returns
        -------
        Writer
            The only handle that writes the section.

        Raises
        ------
        SectionOwnedError
            If the section already has an owner.
        """
        if section.name in self._owners:
            raise SectionOwnedError(
                f"section {section.name} is owned by {self._owners[section.name]} and "
                f"cannot be claimed by {owner}"
            )
        self._owners[section.name] = owner
        return Writer(self, section)

    def read(self, section: Section[T]) -> Reading[T] | None:
        """Return the last value with its time of writing, or None if never written."""
        return self._readings.get(section.name)

    def value(self, section: Section[T]) -> T:
        """Return the section's last value.

        Raises
        ------
        SectionEmptyError
            If the section was never written.
        """
        reading = self._readings.get(section.name)
        if reading is None:
            raise SectionEmptyError(f"section {section.name} was never written")
        return reading.value

    def owners(self) -> dict[str, str]:
        """Return the owners of claimed sections by section name."""
        return dict(self._owners)

    def _store(self, section: Section[T], value: T) -> None:
        self._readings[section.name] = Reading(value, monotonic_s())
