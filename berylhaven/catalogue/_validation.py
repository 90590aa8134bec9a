"""Validation of a catalogue, a pure function of its text."""

from berylhaven.catalogue._fields import FIRM_FIELDS, FLEET_FIELDS, SERVICE_FIELDS
from berylhaven.catalogue._model import Catalogue, FirmEntry, FleetEntry, ServiceEntry
from berylhaven.ini import (
    IniDocument,
    IniSection,
    ProblemList,
    parse_document,
    parse_fields,
    value_kind,
)
from berylhaven.results import (
    BadValue,
    CheckProblem,
    MissingSection,
    NotReadable,
    OutOfRange,
    SharesTooLarge,
    TooLarge,
    UnknownOwner,
    UnknownSection,
)
from berylhaven.routing import routing_policies

CATALOGUE_LIMIT_BYTES = 1_000_000
# Each of these limits is divided equally among the entry instances, and the quota of
# an instance must be at least 1.
DIVIDED_LIMITS = ("concurrency_limit", "connection_limit_per_backend_server")
# Tolerates the rounding error of summing decimal fractions as binary numbers.
SHARE_TOLERANCE = 1e-9
SHARE_KEY = "guaranteed_share_ratio"


class InvalidCatalogue(ExceptionGroup):
    """A catalogue is invalid; the group holds every problem found."""


def parse_catalogue(raw: bytes) -> Catalogue:
    """Parse and validate a catalogue.

    Parameters
    ----------
    raw : bytes
        The value that the configuration service stores.

    Returns
    -------
    Catalogue
        The validated catalogue.

    Raises
    ------
    InvalidCatalogue
        If the catalogue is invalid; holds every problem found.
    """
    catalogue, problems = validate_catalogue(raw)
    if catalogue is None:
        raise InvalidCatalogue("invalid catalogue", problems)
    return catalogue


def validate_catalogue(raw: bytes) -> tuple[Catalogue | None, list[CheckProblem]]:
    """Validate a catalogue; the result is the same on every instance.

    Parameters
    ----------
    raw : bytes
        The value that the configuration service stores.

    Returns
    -------
    tuple of Catalogue or None and list of CheckProblem
        The catalogue, or None if it is invalid, and every problem found, up to
        PROBLEMS_LIMIT.
    """
    if len(raw) > CATALOGUE_LIMIT_BYTES:
        message = (
            f"catalogue has {len(raw)} bytes; the limit is {CATALOGUE_LIMIT_BYTES}"
        )
        return None, [TooLarge(message)]
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as error:
        line = raw[: error.start].count(b"\n") + 1
        return None, [NotReadable(f"not UTF-8 at byte {error.start}", line)]
    document, problems = parse_document(text)
    fleet = _parse_fleet(document, problems)
    firms = _parse_firms(document, problems)
    services = _parse_services(document, firms, problems)
    if not problems.is_full:
        _check_divided_limits(document, fleet, services, problems)
        _check_sections(document, problems)
        _check_shares(document, firms, problems)
    if problems:
        return None, sorted(problems, key=lambda problem: problem.line or 0)
    return Catalogue(fleet, firms, services, text), []


def _sections_of_kind(document: IniDocument, kind: str) -> list[tuple[str, IniSection]]:
    prefix = kind + " "
    return [
        (section.name.removeprefix(prefix), section)
        for section in document.sections
        if section.name.startswith(prefix)
    ]


def _parse_fleet(document: IniDocument, problems: ProblemList) -> FleetEntry | None:
    for section in document.sections:
        if section.name == "fleet":
            values, section_problems = parse_fields(section, FLEET_FIELDS)
            problems.extend(section_problems)
            return FleetEntry(**values)
    problems.append(
        MissingSection("required section is missing; add [fleet]", section="fleet")
    )
    return None


def _parse_firms(document: IniDocument, problems: ProblemList) -> dict[str, FirmEntry]:
    firms = {}
    for name, section in _sections_of_kind(document, "firm"):
        if problems.is_full:
            break
        values, section_problems = parse_fields(section, FIRM_FIELDS)
        problems.extend(section_problems)
        firms[name] = FirmEntry(name=name, **values)
    return firms


def _parse_services(
    document: IniDocument, firms: dict[str, FirmEntry], problems: ProblemList
) -> dict[str, ServiceEntry]:
    services = {}
    for name, section in _sections_of_kind(document, "service"):
        if problems.is_full:
            break
        values, section_problems = parse_fields(section, SERVICE_FIELDS)
        problems.extend(section_problems)
        values["call_class"] = values.pop("class")
        entry = ServiceEntry(name=name, **values)
        _check_service(entry, section, firms, problems)
        services[name] = entry
    return services


def _check_service(
    entry: ServiceEntry,
    section: IniSection,
    firms: dict[str, FirmEntry],
    problems: ProblemList,
) -> None:
    if entry.owner is not None and entry.owner not in firms:
        line = section.entries["owner"].line
        message = f"no section [firm {entry.owner}]; add it or correct the owner"
        problems.append(UnknownOwner(message, line, section.name, "owner"))
    policies = routing_policies()
    if entry.routing_policy not in policies:
        line = section.entries["routing_policy"].line
        message = f"{entry.routing_policy!r}: expected one of {', '.join(policies)}"
        problems.append(BadValue(message, line, section.name, "routing_policy"))


def _check_sections(document: IniDocument, problems: ProblemList) -> None:
    for section in document.sections:
        kind, _, name = section.name.partition(" ")
        if section.name == "fleet":
            continue
        if kind not in ("firm", "service"):
            message = "expected [fleet], [firm NAME] or [service NAME]"
            problems.append(UnknownSection(message, section.line, section.name))
            continue
        try:
            value_kind("name")(name)
        except ValueError as error:
            message = f"invalid name in [{kind} NAME]: {error}"
            problems.append(UnknownSection(message, section.line, section.name))


def _check_shares(
    document: IniDocument, firms: dict[str, FirmEntry], problems: ProblemList
) -> None:
    total = sum(firm.guaranteed_share_ratio or 0 for firm in firms.values())
    if total <= 1 + SHARE_TOLERANCE:
        return
    listed = ", ".join(
        f"{firm.name} {firm.guaranteed_share_ratio or 0:g}" for firm in firms.values()
    )
    _, section = _sections_of_kind(document, "firm")[-1]
    entry = section.entries.get(SHARE_KEY)
    line = entry.line if entry else section.line
    message = f"{listed} add up to {total:g}; the maximum is 1"
    problems.append(SharesTooLarge(message, line, section.name, SHARE_KEY))


def _check_divided_limits(
    document: IniDocument,
    fleet: FleetEntry | None,
    services: dict[str, ServiceEntry],
    problems: ProblemList,
) -> None:
    """Report limits that are too small to give each entry instance at least 1."""
    if fleet is None or fleet.max_entry_instances is None:
        return
    instance_limit = fleet.max_entry_instances
    for name, section in _sections_of_kind(document, "service"):
        for key in DIVIDED_LIMITS:
            entry = section.entries.get(key)
            value = getattr(services[name], key)
            if entry is not None and value is not None and value < instance_limit:
                message = f"{value} is less than max_entry_instances, {instance_limit}"
                problem = OutOfRange(message, entry.line, section.name, key)
                problems.append(problem)
