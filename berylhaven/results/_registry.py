"""The registry of result codes; a decorator on each result class adds its code."""

from collections.abc import Callable
from typing import TypeVar

from berylhaven.results._outcome import Outcome

ResultClass = TypeVar("ResultClass", bound=type)

_CODES_BY_NUMBER: dict[int, "ResultCode"] = {}


class ResultCode:
    """One result code.

    Parameters
    ----------
    number : int
        The number of the code; it is never reused for another meaning.
    name : str
        The name of the code in lower case with hyphens.
    status : int or None
        The HTTP status of answers with the code; None for codes that no call ends with.
    outcome : Outcome or None
        Whether the call ran; None for codes that no call ends with.
    meaning : str
        One sentence for the reader of a log or an answer.
    advice : str
        What the operator or the caller can do.
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
) -> Callable[[ResultClass], ResultClass]:
    """Register a class for a result code.

    The first line of the class's docstring becomes the code's meaning.

    Parameters
    ----------
    number : int
        The number of the code.
    name : str
        The name of the code in lower case with hyphens.
    advice : str
        What the operator or the caller can do.
    status : int or None
        The HTTP status of answers with the code.
    outcome : Outcome or None
        Whether the call ran.

    Returns
    -------
    callable
        The class decorator.

    Raises
    ------
    ValueError
        If the number is already registered.
    """

    def decorate(result_class: ResultClass) -> ResultClass:
        if number in _CODES_BY_NUMBER:
            raise ValueError(f"result code {number} is registered twice")
        meaning = (result_class.__doc__ or "").strip().splitlines()[0]
        code = ResultCode(number, name, status, outcome, meaning, advice)
        _CODES_BY_NUMBER[number] = code
        result_class.code = code
        return result_class

    return decorate


def result_by_number(number: int) -> ResultCode | None:
    """Return the code with this number, or None."""
    return _CODES_BY_NUMBER.get(number)


def result_codes() -> list[ResultCode]:
    """Return all registered codes in ascending order of their numbers."""
    return [_CODES_BY_NUMBER[number] for number in sorted(_CODES_BY_NUMBER)]
