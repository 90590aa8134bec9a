"""The command ``explain``."""

from berylhaven.cli._output import print_json, table
from berylhaven.cli._registry import register_command
from berylhaven.results import (
    BadUsage,
    NoSuchCode,
    ResultCode,
    result_by_number,
    result_codes,
)

ALL = "all"


@register_command("explain")
def explain(code: str, *, json: bool = False) -> None:
    """Print the meaning of a result code and what to do about it.

    Parameters
    ----------
    code : str
        The number of the code, or `all`.
    json : bool
        Print JSON.
    """
    if code == ALL:
        _print_all(json)
        return
    if not code.isascii() or not code.isdigit():
        raise BadUsage(f"{code!r} is not the number of a result code")
    result_code = result_by_number(int(code))
    if result_code is None:
        raise NoSuchCode(f"there is no result code {code}")
    if json:
        print_json(_to_json(result_code))
    else:
        print(_text(result_code))


def _print_all(json: bool) -> None:
    codes = result_codes()
    if json:
        print_json([_to_json(code) for code in codes])
        return
    rows = [(code.number, code.name, code.meaning) for code in codes]
    print(table(("code", "name", "meaning"), rows))


def _to_json(code: ResultCode) -> dict:
    return {
        "result": code.number,
        "name": code.name,
        "meaning": code.meaning,
        "outcome": code.outcome.value if code.outcome else None,
        "status": code.status,
        "advice": code.advice,
    }


def _text(code: ResultCode) -> str:
    lines = [f"{code.number} {code.name}", f"  meaning  {code.meaning}"]
    if code.outcome is not None:
        lines.append(f"  outcome  {code.outcome.value}")
    if code.status is not None:
        lines.append(f"  status   {code.status}")
    return "\n".join([*lines, f"  advice   {code.advice}"])
