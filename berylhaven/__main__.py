"""The program's entry point: patches the standard library, then runs the command."""

import sys

from berylhaven._patch import patch_standard_library

patch_standard_library()

from berylhaven.cli import run_command_line  # noqa: E402


def main() -> None:
    """Run the command line and exit with its status."""
    sys.exit(run_command_line(sys.argv[1:]))


if __name__ == "__main__":
    main()
