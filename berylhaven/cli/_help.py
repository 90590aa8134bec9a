"""The help texts, made from the commands' signatures and doc comments."""

import inspect

import fire.docstrings

from berylhaven.cli._registry import Command

PROGRAM = "berylhaven"
EXIT_NOTE = "Exit status: 0 done, 1 refused or failed, 2 misspelt."


def overview(commands: dict[tuple[str, ...], Command]) -> str:
    """Return one line for each command.

    Parameters
    ----------
    commands : dict
        The commands to show, by their words.

    Returns
    -------
    str
        The help text.
    """
    usages = {words: usage(words, command) for words, command in commands.items()}
    width = max(map(len, usages.values()))
    lines = ["Usage:"]
    for words, command in commands.items():
        lines.append(f"  {usages[words]:<{width}}  {_parsed(command).summary}")
    lines += ["", f"`{PROGRAM} COMMAND --help` tells more.", EXIT_NOTE]
    return "\n".join(lines)


def command_help(words: tuple[str, ...], command: Command) -> str:
    """Return the help text of one command.

    Parameters
    ----------
    words : tuple of str
        The words that call it.
    command : callable
        The command.

    Returns
    -------
    str
        Usage, what it does, and each argument.
    """
    parsed = _parsed(command)
    lines = [f"Usage: {usage(words, command)}", "", parsed.summary]
    if parsed.description:
        lines += ["", parsed.description]
    if parsed.args:
        lines += ["", "Arguments:"]
    for argument in parsed.args or ():
        lines.append(f"  {_shown(command, argument.name)}: {argument.description}")
    return "\n".join([*lines, "", EXIT_NOTE])


def usage(words: tuple[str, ...], command: Command) -> str:
    """Return how a command is written, in one line."""
    names = inspect.signature(command).parameters
    shown = []
    for name, parameter in names.items():
        text = _shown(command, name)
        shown.append(f"[{text}]" if parameter.default is not parameter.empty else text)
    return " ".join([PROGRAM, *words, *shown])


def _shown(command: Command, name: str) -> str:
    parameter = inspect.signature(command).parameters[name]
    if parameter.annotation is bool:
        return f"--{name}"
    if parameter.kind is parameter.KEYWORD_ONLY:
        place = "HOST:PORT" if name == "entry" else "FILE"
        return f"--{name} {place}"
    return name.upper()


def _parsed(command: Command) -> fire.docstrings.DocstringInfo:
    return fire.docstrings.parse(inspect.getdoc(command))
