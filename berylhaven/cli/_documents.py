"""Loading of the documents that are passed to commands."""

from pathlib import Path

from berylhaven.catalogue import Catalogue, CatalogueRefused, read_catalogue
from berylhaven.gateway import (
    GatewaySettings,
    InvalidGatewaySettings,
    load_gateway_settings,
)
from berylhaven.results import DocumentRefused, NotReadable
from berylhaven.settings import Settings, SettingsRefused, load_settings


def load_checked_settings(path: str) -> Settings:
    """Return the settings of a file; raise DocumentRefused with every problem."""
    try:
        return load_settings(path)
    except SettingsRefused as error:
        raise DocumentRefused(path, error.exceptions) from None


def load_checked_gateway_settings(path: str) -> GatewaySettings:
    """Return a gateway's settings; raise DocumentRefused with every problem."""
    try:
        return load_gateway_settings(path)
    except InvalidGatewaySettings as error:
        raise DocumentRefused(path, error.exceptions) from None


def load_catalogue(path: str) -> Catalogue:
    """Return the catalogue of a file; raise DocumentRefused with every problem."""
    try:
        return read_catalogue(Path(path).read_bytes())
    except OSError as error:
        raise DocumentRefused(path, [NotReadable(error.strerror)]) from None
    except CatalogueRefused as error:
        raise DocumentRefused(path, error.exceptions) from None
