"""Generate the pages and tables that are derived from the source.

The result codes come from their registry, the keys of settings and catalogue from
their field lists, and the meaning of each key from the comment above the field of the
model class.
"""

import inspect
import pathlib
import re
import sys

from berylhaven.catalogue import FirmEntry, FleetEntry, ServiceEntry
from berylhaven.catalogue._fields import FIRM_FIELDS, FLEET_FIELDS, SERVICE_FIELDS
from berylhaven.cli._registry import registered_commands
from berylhaven.ini import REQUIRED, Field
from berylhaven.results import ResultCode, result_codes
from berylhaven.settings import _model as settings_model
from berylhaven.settings._fields import SECTION_FIELDS

DOCS = pathlib.Path("docs")
RESULT_CODES_PAGE = DOCS / "RESULT-CODES.md"
SETTINGS_PAGE = DOCS / "operators" / "settings.md"
CATALOGUE_PAGE = DOCS / "operators" / "catalogue.md"
BEGIN_MARKER = "<!-- made by `make docs`: begin -->"
END_MARKER = "<!-- made by `make docs`: end -->"
FIELD_PATTERN = re.compile(r"((?:    # .*\n)+)    (\w+): ")
GROUP_TITLES = {
    1: "Checks of settings and catalogues",
    2: "Calls",
    3: "Events of the fleet",
    4: "The platform",
    5: "The command line",
}
MODEL_FIELD_NAMES = {"class": "call_class"}


def pages() -> dict[pathlib.Path, str]:
    """Return the up-to-date text of each generated page."""
    settings_tables = "\n\n".join(
        section_table(f"[{name}]", fields, field_comments(_settings_class(name)))
        for name, fields in SECTION_FIELDS.items()
    )
    catalogue_tables = "\n\n".join(
        section_table(heading, fields, field_comments(model))
        for heading, fields, model in (
            ("[fleet]", FLEET_FIELDS, FleetEntry),
            ("[firm NAME]", FIRM_FIELDS, FirmEntry),
            ("[service NAME]", SERVICE_FIELDS, ServiceEntry),
        )
    )
    return {
        RESULT_CODES_PAGE: result_codes_page(),
        SETTINGS_PAGE: replace_tables(SETTINGS_PAGE.read_text(), settings_tables),
        CATALOGUE_PAGE: replace_tables(CATALOGUE_PAGE.read_text(), catalogue_tables),
    }


def result_codes_page() -> str:
    """Return the page of result codes, one table per group."""
    # Importing the commands imports every part of the program that registers codes.
    registered_commands()
    parts = [
        "# Result codes\n\nThis page is made from the registry by `make docs`. "
        "`berylhaven explain NUMBER` prints one row. Answers to callers bear the "
        "number in `Berylhaven-Result` and the outcome in `Berylhaven-Outcome`.\n"
    ]
    for group, title in GROUP_TITLES.items():
        codes = [code for code in result_codes() if code.number // 100 == group]
        if codes:
            rows = "\n".join(map(_code_row, codes))
            head = "| number | name | status | outcome | meaning | advice |"
            parts.append(f"## {title}\n\n{head}\n|---|---|---|---|---|---|\n{rows}\n")
    return "\n".join(parts)


def section_table(
    heading: str, fields: tuple[Field, ...], comments: dict[str, str]
) -> str:
    """Return the table of the keys of one section."""
    rows = [
        f"| `{field.key}` | {field.kind.replace('_', ' ')} | {_default(field)} | "
        f"{_allowed_values(field)} | "
        f"{comments[MODEL_FIELD_NAMES.get(field.key, field.key)]} |"
        for field in fields
    ]
    lines = ["| key | kind | default | allowed | meaning |", "|---|---|---|---|---|"]
    return "\n".join([f"### `{heading}`", "", *lines, *rows])


def field_comments(model: type) -> dict[str, str]:
    """Return the comment above each field of a model class."""
    matches = FIELD_PATTERN.findall(inspect.getsource(model))
    return {
        name: " ".join(line.strip(" #") for line in comment.splitlines())
        for comment, name in matches
    }


def replace_tables(page: str, tables: str) -> str:
    """Return a page with its tables replaced."""
    before, _, rest = page.partition(BEGIN_MARKER)
    _, _, after = rest.partition(END_MARKER)
    return f"{before}{BEGIN_MARKER}\n\n{tables}\n\n{END_MARKER}{after}"


def main() -> int:
    """Write the pages that are out of date."""
    for path, text in pages().items():
        if not path.exists() or path.read_text() != text:
            path.write_text(text)
            print(f"{path} written")
    return 0


def _settings_class(section: str) -> type:
    return getattr(settings_model, f"{section.capitalize()}Settings")


def _code_row(code: ResultCode) -> str:
    outcome = code.outcome.value if code.outcome else ""
    status = code.status or ""
    cells = (code.number, code.name, status, outcome, code.meaning, code.advice)
    return "| " + " | ".join(map(str, cells)) + " |"


def _default(field: Field) -> str:
    if field.default is REQUIRED:
        return "must be there"
    if field.default in ((), ""):
        return "none"
    return f"`{field.default}`"


def _allowed_values(field: Field) -> str:
    if field.choices:
        return ", ".join(f"`{choice}`" for choice in field.choices)
    if field.minimum is None and field.maximum is None:
        return ""
    return f"{field.minimum:g} to {field.maximum:g}"


if __name__ == "__main__":
    sys.exit(main())
