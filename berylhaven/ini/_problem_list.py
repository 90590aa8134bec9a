"""The problems of one document, up to a limit."""

from collections.abc import Iterable

from berylhaven.results import CheckProblem

# 500,000 of them, in a text of 1 MB, take 220 MB.
PROBLEMS_LIMIT = 1_000


class ProblemList(list[CheckProblem]):
    """A list that drops what is added beyond PROBLEMS_LIMIT."""

    __slots__ = ()

    @property
    def is_full(self) -> bool:
        """Whether further problems are dropped, so that none need be looked for."""
        return len(self) >= PROBLEMS_LIMIT

    def append(self, problem: CheckProblem) -> None:
        """Add a problem, unless the list is full."""
        if not self.is_full:
            super().append(problem)

    def extend(self, problems: Iterable[CheckProblem]) -> None:
        """Add problems until the list is full."""
        for problem in problems:
            self.append(problem)
