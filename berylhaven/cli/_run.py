"""Running one command."""

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
JSON_WORD = "--json"


def run_command_line(arguments: list[str]) -> int:
    """Run the command that the arguments name.

    Parameters
    ----------
    arguments : list of str
        The words after the program's name.

    Returns
    -------
    int
        0 if it was done, 1 if it was refused or failed, 2 if it was misspelt.
    """
    try:
        _run(arguments)
        sys.stdout.flush()
    except CommandFailed as failure:
        if JSON_WORD in arguments:
            print_json(failure.to_json())
        else:
            print(failure, file=sys.stderr)
        return failure.exit_status
    except BrokenPipeError:
        # The reader of the output went away; the interpreter's own flush at exit
        # must not complain about it.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_FAILURE
    except KeyboardInterrupt:
        return EXIT_SUCCESS
    return EXIT_SUCCESS


def _run(arguments: list[str]) -> None:
    commands = registered_commands()
    wants_help = not arguments or any(word in HELP_WORDS for word in arguments)
    given = [word for word in arguments if word not in HELP_WORDS]
    if not given:
        print(overview(commands))
        return
    words = _command_words(commands, given)
    if words not in commands:
        group = {key: commands[key] for key in commands if key[: len(words)] == words}
        if not wants_help:
            message = f"after {' '.join(words)!r} say {_next_words(group, words)}"
            raise BadUsage(message)
        print(overview(group))
    elif wants_help:
        print(command_help(words, commands[words]))
    else:
        bind_arguments(commands[words], given[len(words) :])()


def _command_words(
    commands: dict[tuple[str, ...], Command], given: list[str]
) -> tuple[str, ...]:
    """Return the longest beginning that names a command or a group of commands."""
    words: tuple[str, ...] = ()
    for word in given:
        longer = (*words, word)
        group = {key: commands[key] for key in commands if key[: len(words)] == words}
        if any(key[: len(longer)] == longer for key in commands):
            words = longer
        elif words in commands:
            return words
        else:
            raise BadUsage(_unknown(word, group, words))
    return words


def _unknown(
    word: str, group: dict[tuple[str, ...], Command], words: tuple[str, ...]
) -> str:
    known = sorted({key[len(words)] for key in group})
    near = difflib.get_close_matches(word, known, n=1)
    hint = f"did you mean {near[0]!r}?" if near else f"say {_next_words(group, words)}"
    return f"no command {' '.join([*words, word])!r}; {hint}"


def _next_words(group: dict[tuple[str, ...], Command], words: tuple[str, ...]) -> str:
    return " or ".join(sorted({key[len(words)] for key in group}))
