"""Results of validating settings and catalogues: 1xx numbers."""

from berylhaven.results._registry import ResultCode, register_result


class CheckProblem(Exception):
    """One problem of a validated document.

    Parameters
    ----------
    message : str
        The problem and what is expected instead.
    line : int or None
        The line of the document, counted from 1.
    section : str or None
        The section that has the problem.
    key : str or None
        The key that has the problem.
    """

    code: ResultCode

    def __init__(
        self,
        message: str,
        line: int | None = None,
        section: str | None = None,
        key: str | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.line = line
        self.section = section
        self.key = key

    def __str__(self) -> str:
        """Return the problem in one line: place, result number and name, message."""
        place = f"line {self.line}" if self.line else "document"
        if self.section:
            place += f" [{self.section}]"
        if self.key:
            place += f" {self.key}"
        return f"{place}: {self.code.number} {self.code.name}: {self.message}"

    def to_json(self) -> dict:
        """Return the problem as a JSON object."""
        return {
            "line": self.line,
            "section": self.section,
            "key": self.key,
            "result": self.code.number,
            "name": self.code.name,
            "message": self.message,
        }


@register_result(
    100, "not-readable", "Check the path, the file permissions, and that it is UTF-8."
)
class NotReadable(CheckProblem):
    """The document cannot be read or is not valid INI text."""


@register_result(101, "unknown-section", "Remove the section or correct its name.")
class UnknownSection(CheckProblem):
    """A section has a name that is not valid in this document."""


@register_result(102, "missing-section", "Add the section.")
class MissingSection(CheckProblem):
    """A required section is missing."""


@register_result(103, "duplicate-section", "Keep one of the two sections.")
class DuplicateSection(CheckProblem):
    """Two sections have the same name."""


@register_result(104, "unknown-key", "Remove the key or correct its name.")
class UnknownKey(CheckProblem):
    """A key is not valid in its section."""


@register_result(105, "missing-key", "Add the key.")
class MissingKey(CheckProblem):
    """A required key is missing."""


@register_result(106, "duplicate-key", "Keep one of the two lines.")
class DuplicateKey(CheckProblem):
    """A key occurs twice in one section."""


@register_result(
    107, "bad-value", "Correct the value to the form that the message states."
)
class BadValue(CheckProblem):
    """A value does not have the form that its key requires."""


@register_result(
    108, "out-of-range", "Choose a value in the range that the message states."
)
class OutOfRange(CheckProblem):
    """A number is outside its allowed range."""


@register_result(109, "too-large", "Keep the document under one megabyte.")
class TooLarge(CheckProblem):
    """The document exceeds its size limit."""


@register_result(110, "unknown-owner", "Add a [firm NAME] section for the owner.")
class UnknownOwner(CheckProblem):
    """The owner of a service has no firm section."""


@register_result(
    111, "shares-too-large", "Lower the guaranteed shares to a sum of at most 1."
)
class SharesTooLarge(CheckProblem):
    """The firms' guaranteed shares add up to more than 1."""


@register_result(112, "port-conflict", "Use each address for only one purpose.")
class PortConflict(CheckProblem):
    """An address occurs twice in the settings."""
