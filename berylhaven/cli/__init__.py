"""The command line for operators."""

from berylhaven.cli._output import table
from berylhaven.cli._run import run_command_line

__all__ = ["run_command_line", "table"]
