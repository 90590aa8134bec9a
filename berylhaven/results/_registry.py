"""The registry of result codes, filled by a decorator on each result's class."""

from collections.abc import Callable
from typing import TypeVar

from berylhaven.results._outcome import Outcome

C = TypeVar("C", bound=type)

_CODES: dict[int, "ResultCode"] = {}


class ResultCode:
    """One row of the table of result codes.

    Parameters
    ----------
    number : int
        The code's number, never used again for another meaning.
    name : str
        The code's name in lower case with hyphens.
    status : int or None
        The HTTP status with which it is answered; None outside calls.
    outcome : Outcome or None
        What the code says of the call; None outside calls.
    meaning : str
        One sentence for the reader of a log or an answer.
    advice : str
        What to do about it.
    """

    __slots__ = ("number", "name", "status", "outcome", "meaning", "advice")

    def __init__(
        self,
        number: int,
        name: str,
        status: int | None,
        outcome: Outcome | None,
        meaning: str,
        advice: str,
    ) -> None:
        self.number = number
        self.name = name
        self.status = status
        self.outcome = outcome
        self.meaning = meaning
        self.advice = advice


def register_result(
    number: int,
    name: str,
    advice: str,
    status: int | None = None,
    outcome: Outcome | None = None,
) -> Callable[[C], C]:
    """Register a class as the bearer of a result code.

    The first line of the class's docstring becomes the code's meaning.

    Parameters
    ----------
    number : int
        The code's number.
    name : str
        The code's name in lower case with hyphens.
    advice : str
        What to do about it.
    status : int or None
        The HTTP status of an answer that bears the code.
    outcome : Outcome or None
        What the code says of the call.

    Returns
    -------
    callable
        The class decorator.

    Raises
    ------
    ValueError
        If the number is taken.
    """

    def decorate(bearer: C) -> C:
        if number in _CODES:
            raise ValueError(f"result code {number} is registered twice")
        meaning = (bearer.__doc__ or "").strip().splitlines()[0]
        code = ResultCode(number, name, status, outcome, meaning, advice)
        _CODES[number] = code
        bearer.code = code
        return bearer

    return decorate


def result_by_number(number: int) -> ResultCode | None:
    """Return the code with this number, or None."""
    return _CODES.get(number)


def result_codes() -> list[ResultCode]:
    """Return all registered codes by rising number."""
    return [_CODES[number] for number in sorted(_CODES)]
