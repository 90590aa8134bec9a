"""The registry of commands, by group."""

import importlib
import pkgutil
from collections.abc import Callable

Command = Callable[..., object]

_COMMANDS: dict[tuple[str, ...], Command] = {}


def register_command(*words: str) -> Callable[[Command], Command]:
    """Register a function as a command.

    Parameters
    ----------
    *words : str
        The words that call it, such as ``"catalogue", "check"``.

    Returns
    -------
    callable
        The decorator.
    """

    def decorate(command: Command) -> Command:
        _COMMANDS[words] = command
        return command

    return decorate


def command_tree() -> dict:
    """Return the commands as nested dicts, as fire wants them."""
    from berylhaven.cli import commands

    for module in pkgutil.iter_modules(commands.__path__):
        if not module.ispkg:
            importlib.import_module(f"{commands.__name__}.{module.name}")
    tree: dict = {}
    for words, command in sorted(_COMMANDS.items()):
        branch = tree
        for word in words[:-1]:
            branch = branch.setdefault(word, {})
        branch[words[-1]] = command
    return tree
