"""Blackboard sections of the active catalogue and of the last rejected one."""

from berylhaven.blackboard import Section
from berylhaven.catalogue._model import ActiveCatalogue, RejectedCatalogue

# Written by the catalogue controller.
CATALOGUE_SECTION = Section[ActiveCatalogue]("catalogue")

# Written by the catalogue controller. Holds the last rejected revision; readers show
# it while it is higher than the active revision.
CATALOGUE_REFUSAL_SECTION = Section[RejectedCatalogue]("catalogue_refusal")
