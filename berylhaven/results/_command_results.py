"""Results of commands: 5xx numbers, each with its exit status."""

from collections.abc import Sequence

from berylhaven.results._check_results import CheckProblem
from berylhaven.results._registry import ResultCode, register_result

EXIT_SUCCESS = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2


class CommandFailed(Exception):
    """Base of the errors that end a command; the user sees only their text.

    Parameters
    ----------
    message : str
        One sentence with the details.
    """

    code: ResultCode
    exit_status = EXIT_FAILURE

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message

    def __str__(self) -> str:
        """Return the failure in one line: result number, name, message."""
        return f"berylhaven: {self.code.number} {self.code.name}: {self.message}"

    def to_json(self) -> dict:
        """Return the failure as a JSON object."""
        return {
            "result": self.code.number,
            "name": self.code.name,
            "message": self.message,
        }


@register_result(
    500, "bad-usage", "See `berylhaven --help` or the help of the command."
)
class BadUsage(CommandFailed):
    """The command line is invalid or incomplete."""

    exit_status = EXIT_USAGE


@register_result(
    501, "no-such-code", "Run `berylhaven explain all` to list the numbers."
)
class NoSuchCode(CommandFailed):
    """No result code has this number."""


@register_result(
    502, "entry-unreachable", "Use HOST:OPERATORS_PORT of a running entry instance."
)
class EntryUnreachable(CommandFailed):
    """No entry instance answers at the address."""


@register_result(
    503,
    "unexpected-answer",
    "Check that the address is the operators' port of an entry instance.",
)
class UnexpectedAnswer(CommandFailed):
    """The answer at the address is not that of an entry instance's operators' port."""


@register_result(504, "cannot-listen", "Free the port, or set an address of this host.")
class CannotListen(CommandFailed):
    """The process cannot listen on a port of its settings."""


@register_result(
    505, "digests-differ", "Publish the catalogue again; see the configuration service."
)
class DigestsDiffer(CommandFailed):
    """Entry instances report different digests for one catalogue revision."""


@register_result(
    506, "document-refused", "Correct every problem listed, then check again."
)
class InvalidDocument(CommandFailed):
    """A settings file or catalogue is invalid.

    Parameters
    ----------
    path : str
        The path of the document.
    problems : sequence of CheckProblem
        Every problem found.
    """

    def __init__(self, path: str, problems: Sequence[CheckProblem]) -> None:
        count = len(problems)
        noun = "problem" if count == 1 else "problems"
        super().__init__(f"{path} has {count} {noun}")
        self.problems = tuple(problems)

    def __str__(self) -> str:
        """Return one line for each problem, and one with their count."""
        return "\n".join([*map(str, self.problems), super().__str__()])

    def to_json(self) -> dict:
        """Return the failure with its problems as a JSON object."""
        json_problems = [problem.to_json() for problem in self.problems]
        return {**super().to_json(), "problems": json_problems}


@register_result(
    507,
    "no-such-request",
    "Use the logs of all instances, and the id exactly as the caller sent it.",
)
class NoSuchRequest(CommandFailed):
    """No line of the logs contains the request id."""
