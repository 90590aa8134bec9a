"""The blackboard sections of the catalogue in force and of the one refused."""

from berylhaven.blackboard import Section
from berylhaven.catalogue._model import ActiveCatalogue, RejectedCatalogue

# Written by the catalogue controller.
CATALOGUE_SECTION = Section[ActiveCatalogue]("catalogue")

# Written by the catalogue controller. It keeps the last refusal; readers show it
# while its revision is above the one in force.
CATALOGUE_REFUSAL_SECTION = Section[RejectedCatalogue]("catalogue_refusal")
