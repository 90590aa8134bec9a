"""Running one command."""

import sys

import fire
from fire.core import FireExit

from berylhaven.cli._errors import CommandFailed
from berylhaven.cli._registry import command_tree

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


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
        fire.Fire(command_tree(), command=arguments, name="berylhaven")
    except CommandFailed as failure:
        print(failure, file=sys.stderr)
        return EXIT_FAILED
    except FireExit as fire_exit:
        return EXIT_DONE if fire_exit.code == 0 else EXIT_USAGE
    except KeyboardInterrupt:
        return EXIT_DONE
    return EXIT_DONE
