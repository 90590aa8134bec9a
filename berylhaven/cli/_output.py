"""The output of commands: text tables and JSON."""

import sys
from collections.abc import Sequence

import orjson

COLUMN_SEPARATOR = "  "


def print_json(document: object) -> None:
    """Print a JSON document with line breaks and indentation."""
    print(orjson.dumps(document, option=orjson.OPT_INDENT_2).decode())
    sys.stdout.flush()


def table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a table with columns wide enough for their values.

    Parameters
    ----------
    headers : sequence of str
        The column names.
    rows : sequence of sequence
        One value per column; None is shown as a hyphen, numbers are aligned right.

    Returns
    -------
    str
        The lines, without a last line break.
    """
    texts = [[cell(value) for value in row] for row in rows]
    widths = [
        max(len(header), *(len(row[column]) for row in texts)) if texts else len(header)
        for column, header in enumerate(headers)
    ]
    numeric = [
        bool(rows) and all(_is_number(row[column]) for row in rows)
        for column in range(len(headers))
    ]
    lines = [_line(headers, widths, numeric)]
    lines += [_line(row, widths, numeric) for row in texts]
    return "\n".join(lines)


def cell(value: object) -> str:
    """Return the text of a value in a table."""
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.4g}"
    return str(value)


def _is_number(value: object) -> bool:
    return value is None or isinstance(value, int | float)


def _line(texts: Sequence[str], widths: list[int], numeric: list[bool]) -> str:
    cells = [
        text.rjust(width) if is_number else text.ljust(width)
        for text, width, is_number in zip(texts, widths, numeric, strict=True)
    ]
    return COLUMN_SEPARATOR.join(cells).rstrip()
