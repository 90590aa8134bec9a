"""The help texts, generated from the commands' signatures and doc comments."""

import inspect

import fire.docstrings

from berylhaven.cli._registry import Command

PROGRAM = "berylhaven"
EXIT_STATUS_NOTE = "Exit status: 0 success, 1 failure, 2 invalid usage."


def overview(commands: dict[tuple[str, ...], Command]) -> str:
    """Return one line for each command.

    Parameters
    ----------
    commands : dict
        The commands to list, by the words that name them.

    Returns
    -------
    str
        The help text.
    """
    usages = {words: usage(words, command) for words, command in commands.items()}
    width = max(map(len, usages.values()))
    lines = ["Usage:"]
    for words, command in commands.items():
        lines.append(
            f"  {usages[words]:<{width}}  {_parsed_docstring(command).summary}"
        )
    lines += [
        "",
        f"`{PROGRAM} COMMAND --help` describes a command and its arguments.",
        EXIT_STATUS_NOTE,
    ]
    return "\n".join(lines)


def command_help(words: tuple[str, ...], command: Command) -> str:
    """Return the help text of one command.

    Parameters
    ----------
    words : tuple of str
        The words that name it.
    command : callable
        The command.

    Returns
    -------
    str
        The usage line, the description and each argument.
    """
    parsed = _parsed_docstring(command)
    lines = [f"Usage: {usage(words, command)}", "", parsed.summary]
    if parsed.description:
        lines += ["", parsed.description]
    if parsed.args:
        lines += ["", "Arguments:"]
    for argument in parsed.args or ():
        lines.append(
            f"  {_argument_text(command, argument.name)}: {argument.description}"
        )
    return "\n".join([*lines, "", EXIT_STATUS_NOTE])


def usage(words: tuple[str, ...], command: Command) -> str:
    """Return the usage line of a command."""
    parameters = inspect.signature(command).parameters
    texts = []
    for name, parameter in parameters.items():
        text = _argument_text(command, name)
        texts.append(f"[{text}]" if parameter.default is not parameter.empty else text)
    return " ".join([PROGRAM, *words, *texts])


def _argument_text(command: Command, name: str) -> str:
    parameter = inspect.signature(command).parameters[name]
    if parameter.annotation is bool:
        return f"--{name}"
    if parameter.kind is parameter.KEYWORD_ONLY:
        placeholder = "HOST:PORT" if name == "entry" else "FILE"
        return f"--{name} {placeholder}"
    return name.upper()


def _parsed_docstring(command: Command) -> fire.docstrings.DocstringInfo:
    return fire.docstrings.parse(inspect.getdoc(command))
