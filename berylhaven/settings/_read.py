"""Reading and checking the settings file."""

from pathlib import Path

from berylhaven.ini import IniSection, read_document, read_fields
from berylhaven.results import (
    CheckProblem,
    MissingSection,
    NotReadable,
    PortConflict,
    UnknownSection,
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


class SettingsRefused(ExceptionGroup):
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
    SettingsRefused
        With every fault found.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise _refused(NotReadable(error.strerror)) from None
    except UnicodeDecodeError as error:
        raise _refused(NotReadable(f"not UTF-8 at byte {error.start}")) from None
    return read_settings(text)


def read_settings(text: str) -> Settings:
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
    SettingsRefused
        With every fault found.
    """
    document, problems = read_document(text)
    sections = {section.name: section for section in document.sections}
    for section in document.sections:
        if section.name not in SECTION_FIELDS:
            known = ", ".join(SECTION_FIELDS)
            message = f"the sections here are {known}"
            problems.append(UnknownSection(message, section.line, section.name))
    values = {}
    for name in SECTION_FIELDS:
        values[name] = _read_section(name, sections.get(name), problems)
    _check_ports(sections, values, problems)
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


def _refused(*problems: CheckProblem) -> SettingsRefused:
    ordered = sorted(problems, key=lambda problem: problem.line or 0)
    return SettingsRefused("settings refused", ordered)


def _read_section(
    name: str, section: IniSection | None, problems: list[CheckProblem]
) -> dict:
    if section is None and name not in OPTIONAL_SECTIONS:
        problems.append(MissingSection(f"add [{name}]", section=name))
        return {}
    found, faults = read_fields(section or IniSection(name, 0), SECTION_FIELDS[name])
    problems.extend(faults)
    return found
