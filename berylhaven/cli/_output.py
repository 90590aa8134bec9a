"""What commands print: tables for people, JSON for machines."""

import sys
from collections.abc import Sequence

import orjson

GAP = "  "


def print_json(document: object) -> None:
    """Print a JSON document with line breaks and indents."""
    print(orjson.dumps(document, option=orjson.OPT_INDENT_2).decode())
    sys.stdout.flush()


def table(heads: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a table with columns wide enough for their values.

    Parameters
    ----------
    heads : sequence of str
        The columns' names.
    rows : sequence of sequence
        One value a column; None is shown as a hyphen, numbers to the right.

    Returns
    -------
    str
        The lines, without a last line break.
    """
    texts = [[cell(value) for value in row] for row in rows]
    widths = [
        max(len(head), *(len(row[column]) for row in texts)) if texts else len(head)
        for column, head in enumerate(heads)
    ]
    numeric = [
        bool(rows) and all(_is_number(row[column]) for row in rows)
        for column in range(len(heads))
    ]
    lines = [_line(heads, widths, numeric)]
    lines += [_line(row, widths, numeric) for row in texts]
    return "\n".join(lines)


def cell(value: object) -> str:
    """Return a value as a table shows it."""
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
    return GAP.join(cells).rstrip()
