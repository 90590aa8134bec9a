"""Binding of a command's arguments with fire, before the command runs."""

import contextlib
import functools
import inspect
import io
from collections.abc import Callable

import fire
from fire.core import FireExit
from fire.decorators import SetParseFn

from berylhaven.cli._registry import Command
from berylhaven.results import BadUsage

# fire parses the arguments after this separator as its own flags, such as
# --interactive.
FIRE_FLAGS_SEPARATOR = "--"
# fire's messages are about functions and consumed arguments; these are the terms of
# the command line.
FIRE_MESSAGE_REPLACEMENTS = {
    "The function received no value for the required argument": "missing argument",
    "Missing required flags: {'": "missing option: --",
    "'}": "",
    "Could not consume arg": "unexpected argument",
}


def bind_arguments(command: Command, arguments: list[str]) -> Callable[[], None]:
    """Bind arguments to a command.

    fire calls a function before it detects surplus arguments. It is given a function
    that only records its arguments, so that an invalid command line runs nothing.

    Parameters
    ----------
    command : callable
        The command.
    arguments : list of str
        The arguments after the words that name the command.

    Returns
    -------
    callable
        Runs the command with the bound arguments.

    Raises
    ------
    BadUsage
        If the arguments do not match the command's parameters.
    """
    if FIRE_FLAGS_SEPARATOR in arguments:
        raise BadUsage(f"unexpected argument: {FIRE_FLAGS_SEPARATOR}")
    _check_values(command, arguments)
    bound: list[Callable[[], None]] = []

    @functools.wraps(command)
    def record_arguments(*values: object, **named_values: object) -> None:
        """Record the arguments."""
        bound.append(functools.partial(command, *values, **named_values))

    _set_parsers(record_arguments)
    try:
        with contextlib.redirect_stderr(io.StringIO()):
            fire.Fire(record_arguments, command=arguments)
    except FireExit as fire_exit:
        raise BadUsage(_usage_message(fire_exit)) from None
    if not bound:
        raise BadUsage("the arguments do not match the command's parameters")
    return bound[0]


def parse_flag(text: str) -> bool:
    """Parse a flag's value; fire passes True for a flag without a value."""
    if text not in ("True", "False"):
        raise BadUsage(f"a flag takes no value, but {text!r} was given")
    return text == "True"


def _set_parsers(function: Command) -> None:
    # fire would convert 0100 and 1e3 to numbers and None to no value; paths and
    # addresses are text.
    SetParseFn(str)(function)
    for name, parameter in inspect.signature(function).parameters.items():
        if parameter.annotation is bool:
            SetParseFn(parse_flag, name)(function)


def _check_values(command: Command, arguments: list[str]) -> None:
    # fire sets an option to true if no value follows it.
    for name, parameter in inspect.signature(command).parameters.items():
        option = f"--{name}"
        if parameter.annotation is bool or option not in arguments:
            continue
        following = arguments[arguments.index(option) + 1 :][:1]
        if not following or following[0].startswith("--"):
            raise BadUsage(f"{option} needs a value")


def _usage_message(fire_exit: FireExit) -> str:
    message = fire_exit.trace.elements[-1].ErrorAsStr().strip()
    for fire_text, replacement in FIRE_MESSAGE_REPLACEMENTS.items():
        message = message.replace(fire_text, replacement)
    return message
