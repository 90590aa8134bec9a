"""The settings of one process: an INI file, validated completely before start."""

from berylhaven.settings._model import (
    CallsSettings,
    InstanceSettings,
    LogSettings,
    PlatformSettings,
    ProxySettings,
    Settings,
)
from berylhaven.settings._parsing import InvalidSettings, load_settings, parse_settings

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
