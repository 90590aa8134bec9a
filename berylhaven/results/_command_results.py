"""Results of the command line: 5xx numbers, each with its exit status."""

from collections.abc import Sequence

from berylhaven.results._check_results import CheckProblem
from berylhaven.results._registry import ResultCode, register_result

EXIT_SUCCESS = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2


class CommandFailed(Exception):
    """Base of what ends a command; its text is all that the user sees.

    Parameters
    ----------
    message : str
        One sentence with the particulars.
    """

    code: ResultCode
    exit_status = EXIT_FAILURE

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message

    def __str__(self) -> str:
        """Return the failure in one line: number, name, what happened."""
        return f"berylhaven: {self.code.number} {self.code.name}: {self.message}"

    def to_json(self) -> dict:
        """Return the failure as a JSON object."""
        return {
            "result": self.code.number,
            "name": self.code.name,
            "message": self.message,
        }


@register_result(500, "bad-usage", "Read `berylhaven --help` or the command's own.")
class BadUsage(CommandFailed):
    """The command line is misspelt or incomplete."""

    exit_status = EXIT_USAGE


@register_result(501, "no-such-code", "The numbers are listed by `explain all`.")
class NoSuchCode(CommandFailed):
    """No result code has this number."""


@register_result(
    502, "entry-unreachable", "Give HOST:OPERATORS_PORT of a running entry instance."
)
class EntryUnreachable(CommandFailed):
    """No entry instance answers at the address."""


@register_result(
    503, "unexpected-answer", "Check that the address is an operators' port."
)
class UnexpectedAnswer(CommandFailed):
    """What answers at the address is not an entry instance's operators' port."""


@register_result(
    504, "cannot-listen", "Free the port, or name an address of this machine."
)
class CannotListen(CommandFailed):
    """A port of the settings cannot be listened on."""


@register_result(
    505, "digests-differ", "Publish the catalogue again; see the configuration service."
)
class DigestsDiffer(CommandFailed):
    """One revision of the catalogue has two digests in the fleet."""


@register_result(506, "document-refused", "Mend every fault listed, then check again.")
class InvalidDocument(CommandFailed):
    """A settings file or catalogue has faults.

    Parameters
    ----------
    path : str
        The document's path.
    problems : sequence of CheckProblem
        Every fault.
    """

    def __init__(self, path: str, problems: Sequence[CheckProblem]) -> None:
        count = len(problems)
        noun = "fault" if count == 1 else "faults"
        super().__init__(f"{path} has {count} {noun}")
        self.problems = tuple(problems)

    def __str__(self) -> str:
        """Return one line for each fault, and one that counts them."""
        return "\n".join([*map(str, self.problems), super().__str__()])

    def to_json(self) -> dict:
        """Return the failure with its faults as a JSON object."""
        faults = [problem.to_json() for problem in self.problems]
        return {**super().to_json(), "problems": faults}


@register_result(
    507,
    "no-such-request",
    "Give all instances' logs, and the id as its caller sent it.",
)
class NoSuchRequest(CommandFailed):
    """No line of the logs names the request."""
