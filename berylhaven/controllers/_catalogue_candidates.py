"""Sections by which what was read reaches the controller that judges it."""

from dataclasses import dataclass

from berylhaven.blackboard import Section
from berylhaven.discovery import ConfigurationValue


@dataclass(slots=True, frozen=True)
class CatalogueCandidate:
    """What one source last gave."""

    # The value; None if the source had nothing or did not answer.
    value: ConfigurationValue | None


# Written by the catalogue watch controller.
WATCHED_CATALOGUE_SECTION = Section[CatalogueCandidate]("watched_catalogue")

# Written by the catalogue fetch controller.
FETCHED_CATALOGUE_SECTION = Section[CatalogueCandidate]("fetched_catalogue")
