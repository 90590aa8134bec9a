"""The blackboard section of the catalogue in force."""

from berylhaven.blackboard import Section
from berylhaven.catalogue._model import CatalogueInForce

# Written by the catalogue controller.
CATALOGUE_SECTION = Section[CatalogueInForce]("catalogue")
