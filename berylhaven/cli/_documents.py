"""Loading of the documents that are passed to commands."""

from pathlib import Path

from berylhaven.catalogue import Catalogue, InvalidCatalogue, parse_catalogue
from berylhaven.gateway import (
    GatewaySettings,
    InvalidGatewaySettings,
    load_gateway_settings,
)
from berylhaven.results import InvalidDocument, NotReadable
from berylhaven.settings import InvalidSettings, Settings, load_settings


def load_checked_settings(path: str) -> Settings:
    """Return the settings of a file; raise InvalidDocument with every problem."""
    try:
        return load_settings(path)
    except InvalidSettings as error:
        raise InvalidDocument(path, error.exceptions) from None


def load_checked_gateway_settings(path: str) -> GatewaySettings:
    """Return a gateway's settings; raise InvalidDocument with every problem."""
    try:
        return load_gateway_settings(path)
    except InvalidGatewaySettings as error:
        raise InvalidDocument(path, error.exceptions) from None


def load_catalogue(path: str) -> Catalogue:
    """Return the catalogue of a file; raise InvalidDocument with every problem."""
    try:
        return parse_catalogue(Path(path).read_bytes())
    except OSError as error:
        raise InvalidDocument(path, [NotReadable(error.strerror)]) from None
    except InvalidCatalogue as error:
        raise InvalidDocument(path, error.exceptions) from None
