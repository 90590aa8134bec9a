"""Parsing and validation of the settings file."""

from berylhaven.ini import IniSection, parse_sections, read_text_file
from berylhaven.results import (
    CheckProblem,
    NotReadable,
    PortConflict,
)
from berylhaven.settings._fields import OPTIONAL_SECTIONS, SECTION_FIELDS
from berylhaven.settings._model import (
    CallsSettings,
    InstanceSettings,
    LogSettings,
    PlatformSettings,
    ProxySettings,
    Settings,
)

INSTANCE_PORTS = ("callers_port", "peers_port", "operators_port")
PLATFORM_ADDRESSES = ("configuration_service", "instance_list")


class InvalidSettings(ExceptionGroup):
    """A settings file is invalid; the group holds every problem found."""


def load_settings(path: str) -> Settings:
    """Load and validate a settings file.

    Parameters
    ----------
    path : str
        The path of the file.

    Returns
    -------
    Settings
        The validated settings.

    Raises
    ------
    InvalidSettings
        If the file can't be read or is invalid; holds every problem found.
    """
    try:
        text = read_text_file(path)
    except NotReadable as problem:
        raise _invalid_settings(problem) from None
    return parse_settings(text)


def parse_settings(text: str) -> Settings:
    """Parse and validate settings.

    Parameters
    ----------
    text : str
        The INI text.

    Returns
    -------
    Settings
        The validated settings.

    Raises
    ------
    InvalidSettings
        If the settings are invalid; holds every problem found.
    """
    parsed = parse_sections(text, SECTION_FIELDS, OPTIONAL_SECTIONS)
    values, problems = parsed.values, parsed.problems
    _check_ports(parsed.sections, values, problems)
    if problems:
        raise _invalid_settings(*problems)
    return Settings(
        instance=InstanceSettings(**values["instance"]),
        platform=PlatformSettings(**values["platform"]),
        log=LogSettings(**values["log"]),
        proxy=ProxySettings(**values["proxy"]),
        calls=CallsSettings(**values["calls"]),
    )


def _check_ports(
    sections: dict[str, IniSection], values: dict, problems: list[CheckProblem]
) -> None:
    instance_values = values["instance"]
    used: dict[str, str] = {}
    for key in INSTANCE_PORTS:
        address = f"{instance_values.get('host')}:{instance_values.get(key)}"
        if instance_values.get(key) is not None and address in used:
            message = f"{address} is already used as {used[address]}"
            line = sections["instance"].entries[key].line
            problems.append(PortConflict(message, line, "instance", key))
        used.setdefault(address, key)
    for key in PLATFORM_ADDRESSES:
        address = values["platform"].get(key)
        if address in used:
            message = f"{address} is already used as {used[address]} of this instance"
            line = sections["platform"].entries[key].line
            problems.append(PortConflict(message, line, "platform", key))


def _invalid_settings(*problems: CheckProblem) -> InvalidSettings:
    ordered = sorted(problems, key=lambda problem: problem.line or 0)
    return InvalidSettings("invalid settings", ordered)
