"""The settings of one process: an INI file, checked whole before start."""

from berylhaven.settings._model import (
    CallsSettings,
    InstanceSettings,
    LogSettings,
    PlatformSettings,
    ProxySettings,
    Settings,
)
from berylhaven.settings._read import InvalidSettings, load_settings, parse_settings

__all__ = [
    "CallsSettings",
    "InstanceSettings",
    "LogSettings",
    "PlatformSettings",
    "ProxySettings",
    "Settings",
    "InvalidSettings",
    "load_settings",
    "parse_settings",
]
