"""Binding a command's arguments with fire, without running the command yet."""

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

# fire reads what follows this word as flags of its own, such as --interactive.
FIRE_FLAGS_SEPARATOR = "--"
# fire speaks of functions and of consuming, which means little to an operator.
FIRE_PHRASES = {
    "The function received no value for the required argument": "missing argument",
    "Missing required flags: {'": "missing option: --",
    "'}": "",
    "Could not consume arg": "unexpected argument",
}


def bind_arguments(command: Command, arguments: list[str]) -> Callable[[], None]:
    """Bind arguments to a command.

    fire calls a function before it finds that words are left over. It is given a
    function that only keeps its arguments, so that a misspelt command runs nothing.

    Parameters
    ----------
    command : callable
        The command.
    arguments : list of str
        The words after those that call it.

    Returns
    -------
    callable
        Runs the command.

    Raises
    ------
    BadUsage
        If the words do not fit the command's parameters.
    """
    if FIRE_FLAGS_SEPARATOR in arguments:
        raise BadUsage(f"unexpected argument: {FIRE_FLAGS_SEPARATOR}")
    _check_values(command, arguments)
    bound: list[Callable[[], None]] = []

    @functools.wraps(command)
    def keep(*values: object, **named_values: object) -> None:
        """Keep the arguments."""
        bound.append(functools.partial(command, *values, **named_values))

    _set_parsers(keep)
    try:
        with contextlib.redirect_stderr(io.StringIO()):
            fire.Fire(keep, command=arguments)
    except FireExit as fire_exit:
        raise BadUsage(_reason(fire_exit)) from None
    if not bound:
        raise BadUsage("the arguments do not fit the command")
    return bound[0]


def parse_flag(text: str) -> bool:
    """Read a flag's value; a flag without a value is true."""
    if text not in ("True", "False"):
        raise BadUsage(f"a flag takes no value, not {text!r}")
    return text == "True"


def _set_parsers(function: Command) -> None:
    # fire would read 0100 or 1e3 as numbers and None as nothing; paths and
    # addresses are text.
    SetParseFn(str)(function)
    for name, parameter in inspect.signature(function).parameters.items():
        if parameter.annotation is bool:
            SetParseFn(parse_flag, name)(function)


def _check_values(command: Command, arguments: list[str]) -> None:
    # fire takes an option that ends the line, or stands before another, as true.
    for name, parameter in inspect.signature(command).parameters.items():
        option = f"--{name}"
        if parameter.annotation is bool or option not in arguments:
            continue
        following = arguments[arguments.index(option) + 1 :][:1]
        if not following or following[0].startswith("--"):
            raise BadUsage(f"{option} needs a value")


def _reason(fire_exit: FireExit) -> str:
    message = fire_exit.trace.elements[-1].ErrorAsStr().strip()
    for theirs, ours in FIRE_PHRASES.items():
        message = message.replace(theirs, ours)
    return message
