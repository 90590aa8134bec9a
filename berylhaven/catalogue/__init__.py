"""The operators' catalogue: its model, validation, revision and digest."""

from berylhaven.catalogue._difference import (
    CatalogueDifference,
    catalogue_differences,
)
from berylhaven.catalogue._model import (
    ActiveCatalogue,
    CallClass,
    Catalogue,
    FirmEntry,
    FleetEntry,
    MethodPath,
    RejectedCatalogue,
    ServiceEntry,
)
from berylhaven.catalogue._revision_tracker import RevisionStatus, RevisionTracker
from berylhaven.catalogue._section import (
    CATALOGUE_REFUSAL_SECTION,
    CATALOGUE_SECTION,
)
from berylhaven.catalogue._validation import (
    CATALOGUE_LIMIT_BYTES,
    InvalidCatalogue,
    parse_catalogue,
    validate_catalogue,
)

__all__ = [
    "RevisionStatus",
    "RevisionTracker",
    "CATALOGUE_LIMIT_BYTES",
    "CATALOGUE_REFUSAL_SECTION",
    "CATALOGUE_SECTION",
    "CallClass",
    "Catalogue",
    "CatalogueDifference",
    "ActiveCatalogue",
    "RejectedCatalogue",
    "InvalidCatalogue",
    "FirmEntry",
    "FleetEntry",
    "MethodPath",
    "ServiceEntry",
    "catalogue_differences",
    "validate_catalogue",
    "parse_catalogue",
]
