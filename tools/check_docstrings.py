"""Check the doc comments of all modules with numpydoc."""

import subprocess
import sys
from pathlib import Path

PACKAGES = ("berylhaven", "standins", "bench", "tools", "platform")


def main() -> int:
    """Lint all modules except tests and return the exit status of numpydoc."""
    git_files = subprocess.run(
        ["git", "ls-files", "--cached", "--others", "--exclude-standard", *PACKAGES],
        capture_output=True,
        text=True,
        check=True,
    )
    files = [
        name
        for name in git_files.stdout.splitlines()
        if name.endswith(".py") and "/tests/" not in name and Path(name).exists()
    ]
    command = [sys.executable, "-m", "numpydoc", "lint", *files]
    return subprocess.run(command).returncode


if __name__ == "__main__":
    sys.exit(main())
