"""Parsing of the command line and running of its command."""

import difflib
import os
import sys

from berylhaven.cli._bind import bind_arguments
from berylhaven.cli._help import command_help, overview
from berylhaven.cli._output import print_json
from berylhaven.cli._registry import Command, registered_commands
from berylhaven.results import (
    EXIT_FAILURE,
    EXIT_SUCCESS,
    BadUsage,
    CommandFailed,
)

HELP_WORDS = ("--help", "-h", "help")
JSON_OPTION = "--json"


def run_command_line(arguments: list[str]) -> int:
    """Run the command named by the arguments.

    Parameters
    ----------
    arguments : list of str
        The arguments after the program name.

    Returns
    -------
    int
        The exit status: 0 for success, 1 for a failure, 2 for invalid usage.
    """
    try:
        _run(arguments)
        sys.stdout.flush()
    except CommandFailed as failure:
        if JSON_OPTION in arguments:
            print_json(failure.to_json())
        else:
            print(failure, file=sys.stderr)
        return failure.exit_status
    except BrokenPipeError:
        # The reader closed the pipe. Standard output is replaced so that the
        # interpreter's flush at exit does not report the error again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_FAILURE
    except KeyboardInterrupt:
        return EXIT_SUCCESS
    return EXIT_SUCCESS


def _run(arguments: list[str]) -> None:
    commands = registered_commands()
    wants_help = not arguments or any(word in HELP_WORDS for word in arguments)
    command_arguments = [word for word in arguments if word not in HELP_WORDS]
    if not command_arguments:
        print(overview(commands))
        return
    words = _command_words(commands, command_arguments)
    if words not in commands:
        group = {key: commands[key] for key in commands if key[: len(words)] == words}
        if not wants_help:
            message = (
                f"{' '.join(words)!r} must be followed by {_next_words(group, words)}"
            )
            raise BadUsage(message)
        print(overview(group))
    elif wants_help:
        print(command_help(words, commands[words]))
    else:
        bind_arguments(commands[words], command_arguments[len(words) :])()


def _command_words(
    commands: dict[tuple[str, ...], Command], command_arguments: list[str]
) -> tuple[str, ...]:
    """Return the longest prefix that names a command or a group of commands."""
    words: tuple[str, ...] = ()
    for word in command_arguments:
        longer_words = (*words, word)
        group = {key: commands[key] for key in commands if key[: len(words)] == words}
        if any(key[: len(longer_words)] == longer_words for key in commands):
            words = longer_words
        elif words in commands:
            return words
        else:
            raise BadUsage(_unknown_command_message(word, group, words))
    return words


def _unknown_command_message(
    word: str, group: dict[tuple[str, ...], Command], words: tuple[str, ...]
) -> str:
    known = sorted({key[len(words)] for key in group})
    closest = difflib.get_close_matches(word, known, n=1)
    hint = (
        f"did you mean {closest[0]!r}?"
        if closest
        else f"expected {_next_words(group, words)}"
    )
    return f"no command {' '.join([*words, word])!r}; {hint}"


def _next_words(group: dict[tuple[str, ...], Command], words: tuple[str, ...]) -> str:
    return " or ".join(sorted({key[len(words)] for key in group}))
