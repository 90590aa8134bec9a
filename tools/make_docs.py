"""Write the pages and tables that are made from the source.

The result codes come from their registry, the keys of settings and catalogue from
their fields, and what each key means from the comment above the model's field.
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
RESULT_CODES = DOCS / "RESULT-CODES.md"
SETTINGS = DOCS / "operators" / "settings.md"
CATALOGUE = DOCS / "operators" / "catalogue.md"
BEGIN = "<!-- made by `make docs`: begin -->"
END = "<!-- made by `make docs`: end -->"
FIELD_PATTERN = re.compile(r"((?:    # .*\n)+)    (\w+): ")
GROUPS = {
    1: "Checks of settings and catalogues",
    2: "Calls",
    3: "Events of the fleet",
    4: "The platform",
    5: "The command line",
}
MODEL_KEY = {"class": "call_class"}


def pages() -> dict[pathlib.Path, str]:
    """Return the text of each page as it should be."""
    settings_tables = "\n\n".join(
        section_table(f"[{name}]", fields, meanings(_settings_class(name)))
        for name, fields in SECTION_FIELDS.items()
    )
    catalogue_tables = "\n\n".join(
        section_table(head, fields, meanings(model))
        for head, fields, model in (
            ("[fleet]", FLEET_FIELDS, FleetEntry),
            ("[firm NAME]", FIRM_FIELDS, FirmEntry),
            ("[service NAME]", SERVICE_FIELDS, ServiceEntry),
        )
    )
    return {
        RESULT_CODES: result_codes_page(),
        SETTINGS: with_tables(SETTINGS.read_text(), settings_tables),
        CATALOGUE: with_tables(CATALOGUE.read_text(), catalogue_tables),
    }


def result_codes_page() -> str:
    """Return the table of result codes, by group."""
    # Importing the commands imports every part of the program that registers codes.
    registered_commands()
    parts = [
        "# Result codes\n\nThis page is made from the registry by `make docs`. "
        "`berylhaven explain NUMBER` prints one row. Answers to callers bear the "
        "number in `Berylhaven-Result` and the outcome in `Berylhaven-Outcome`.\n"
    ]
    for group, title in GROUPS.items():
        codes = [code for code in result_codes() if code.number // 100 == group]
        if codes:
            rows = "\n".join(map(_code_row, codes))
            head = "| number | name | status | outcome | meaning | advice |"
            parts.append(f"## {title}\n\n{head}\n|---|---|---|---|---|---|\n{rows}\n")
    return "\n".join(parts)


def section_table(head: str, fields: tuple[Field, ...], words: dict[str, str]) -> str:
    """Return the table of one section's keys."""
    rows = [
        f"| `{field.key}` | {field.kind.replace('_', ' ')} | {_default(field)} | "
        f"{_allowed(field)} | {words[MODEL_KEY.get(field.key, field.key)]} |"
        for field in fields
    ]
    lines = ["| key | kind | default | allowed | meaning |", "|---|---|---|---|---|"]
    return "\n".join([f"### `{head}`", "", *lines, *rows])


def meanings(model: type) -> dict[str, str]:
    """Return the comment above each field of a model class."""
    found = FIELD_PATTERN.findall(inspect.getsource(model))
    return {
        name: " ".join(line.strip(" #") for line in comment.splitlines())
        for comment, name in found
    }


def with_tables(page: str, tables: str) -> str:
    """Return a page with its tables replaced."""
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f"{before}{BEGIN}\n\n{tables}\n\n{END}{after}"


def main() -> int:
    """Write the pages that differ."""
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


def _allowed(field: Field) -> str:
    if field.choices:
        return ", ".join(f"`{choice}`" for choice in field.choices)
    if field.minimum is None and field.maximum is None:
        return ""
    return f"{field.minimum:g} to {field.maximum:g}"


if __name__ == "__main__":
    sys.exit(main())
