"""Errors that end a command."""


class CommandFailed(Exception):
    """The command was refused or failed; its text is all that the user sees."""
