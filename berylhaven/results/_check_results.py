"""Results of checking settings and catalogues: 1xx numbers."""

from berylhaven.results._registry import ResultCode, register_result


class CheckProblem(Exception):
    """One fault in a checked document.

    Parameters
    ----------
    message : str
        What is wrong and what would be right.
    line : int or None
        The line of the document, counted from 1.
    section : str or None
        The section in which the fault stands.
    key : str or None
        The key at fault.
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
        """Return the fault in one line: place, number, what is wrong."""
        place = f"line {self.line}" if self.line else "document"
        if self.section:
            place += f" [{self.section}]"
        if self.key:
            place += f" {self.key}"
        return f"{place}: {self.code.number} {self.code.name}: {self.message}"

    def to_json(self) -> dict:
        """Return the fault as a JSON object."""
        return {
            "line": self.line,
            "section": self.section,
            "key": self.key,
            "result": self.code.number,
            "name": self.code.name,
            "message": self.message,
        }


@register_result(
    100, "not-readable", "Check the path, its rights, and that it is UTF-8."
)
class NotReadable(CheckProblem):
    """The document cannot be read as text in INI form."""


@register_result(101, "unknown-section", "Remove the section or correct its name.")
class UnknownSection(CheckProblem):
    """A section has a name that means nothing here."""


@register_result(102, "missing-section", "Add the section.")
class MissingSection(CheckProblem):
    """A section that must be there is not."""


@register_result(103, "duplicate-section", "Keep one of the two sections.")
class DuplicateSection(CheckProblem):
    """Two sections have one name."""


@register_result(104, "unknown-key", "Remove the key or correct its name.")
class UnknownKey(CheckProblem):
    """A key means nothing in its section."""


@register_result(105, "missing-key", "Add the key.")
class MissingKey(CheckProblem):
    """A key that must be there is not."""


@register_result(106, "duplicate-key", "Keep one of the two lines.")
class DuplicateKey(CheckProblem):
    """A key stands twice in one section."""


@register_result(
    107, "bad-value", "Write the value in the form that the message gives."
)
class BadValue(CheckProblem):
    """A value is not of the form that its key needs."""


@register_result(108, "out-of-range", "Choose a value within the bounds given.")
class OutOfRange(CheckProblem):
    """A number is outside its bounds."""


@register_result(109, "too-large", "Keep the document under one megabyte.")
class TooLarge(CheckProblem):
    """The document is over its size limit."""


@register_result(110, "unknown-owner", "Add a [firm NAME] section for the owner.")
class UnknownOwner(CheckProblem):
    """A service's owner has no firm section."""


@register_result(111, "shares-too-large", "Lower the guaranteed shares to 1 in all.")
class SharesTooLarge(CheckProblem):
    """The firms' guaranteed shares add up to more than 1."""


@register_result(112, "port-conflict", "Give each port of the machine one use.")
class PortConflict(CheckProblem):
    """One address of the settings is used twice."""
