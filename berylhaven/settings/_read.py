"""Reading and checking the settings file."""

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

OWN_PORTS = ("callers_port", "peers_port", "operators_port")
PLATFORM_ADDRESSES = ("configuration_service", "instance_list")


class InvalidSettings(ExceptionGroup):
    """Every fault of a settings file."""


def load_settings(path: str) -> Settings:
    """Read a settings file.

    Parameters
    ----------
    path : str
        The file's path.

    Returns
    -------
    Settings
        The checked settings.

    Raises
    ------
    InvalidSettings
        With every fault found.
    """
    try:
        text = read_text_file(path)
    except NotReadable as problem:
        raise _refused(problem) from None
    return parse_settings(text)


def parse_settings(text: str) -> Settings:
    """Check settings given as text.

    Parameters
    ----------
    text : str
        The INI text.

    Returns
    -------
    Settings
        The checked settings.

    Raises
    ------
    InvalidSettings
        With every fault found.
    """
    read = parse_sections(text, SECTION_FIELDS, OPTIONAL_SECTIONS)
    values, problems = read.values, read.problems
    _check_ports(read.sections, values, problems)
    if problems:
        raise _refused(*problems)
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
    own = values["instance"]
    used: dict[str, str] = {}
    for key in OWN_PORTS:
        address = f"{own.get('host')}:{own.get(key)}"
        if own.get(key) is not None and address in used:
            message = f"{address} is the {used[address]} already"
            line = sections["instance"].entries[key].line
            problems.append(PortConflict(message, line, "instance", key))
        used.setdefault(address, key)
    for key in PLATFORM_ADDRESSES:
        address = values["platform"].get(key)
        if address in used:
            message = f"{address} is the {used[address]} of this instance"
            line = sections["platform"].entries[key].line
            problems.append(PortConflict(message, line, "platform", key))


def _refused(*problems: CheckProblem) -> InvalidSettings:
    ordered = sorted(problems, key=lambda problem: problem.line or 0)
    return InvalidSettings("settings refused", ordered)
