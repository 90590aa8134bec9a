"""The registry of commands, by the words that name them."""

import importlib
import pkgutil
from collections.abc import Callable
from typing import TypeVar

Command = Callable[..., None]
F = TypeVar("F", bound=Command)

_COMMANDS: dict[tuple[str, ...], Command] = {}


def register_command(*words: str) -> Callable[[F], F]:
    """Register a function as a command.

    Parameters
    ----------
    *words : str
        The words that name it, such as ``"catalogue", "check"``.

    Returns
    -------
    callable
        The decorator.
    """

    def decorate(command: F) -> F:
        _COMMANDS[words] = command
        return command

    return decorate


def registered_commands() -> dict[tuple[str, ...], Command]:
    """Return all commands by their words, in alphabetical order."""
    from berylhaven.cli import commands

    for module in pkgutil.iter_modules(commands.__path__):
        if not module.ispkg:
            importlib.import_module(f"{commands.__name__}.{module.name}")
    return dict(sorted(_COMMANDS.items()))
