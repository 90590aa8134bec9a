"""Blackboard sections that pass fetched catalogues to the catalogue controller."""

from dataclasses import dataclass

from berylhaven.blackboard import Section
from berylhaven.discovery import ConfigurationValue


@dataclass(slots=True, frozen=True)
class CatalogueCandidate:
    """The last catalogue that one source returned, not validated yet."""

    # The catalogue and its version; None if the source had none or did not answer.
    value: ConfigurationValue | None


# Written by the catalogue watch controller.
WATCHED_CATALOGUE_SECTION = Section[CatalogueCandidate]("watched_catalogue")

# Written by the catalogue fetch controller.
FETCHED_CATALOGUE_SECTION = Section[CatalogueCandidate]("fetched_catalogue")
