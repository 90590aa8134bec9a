"""The program's entry point: silence one warning, patch, run the command line."""

import sys
import warnings

# eventlet prints this one message on import, whatever the user does with it.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

from berylhaven.cli import run_command_line  # noqa: E402


def main() -> None:
    """Run the command line and exit with its status."""
    sys.exit(run_command_line(sys.argv[1:]))


if __name__ == "__main__":
    main()
