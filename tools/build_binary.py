"""Build the one executable file of the product: a shiv archive."""

import pathlib
import shutil
import subprocess
import sys

BUILD = pathlib.Path("build/site")
BINARY = pathlib.Path("dist/berylhaven")
INTERPRETER = "/usr/bin/env python3"


def main() -> int:
    """Gather the package and its requirements, and pack them."""
    shutil.rmtree(BUILD, ignore_errors=True)
    BINARY.parent.mkdir(exist_ok=True)
    pip = [sys.executable, "-m", "pip", "install", "--quiet"]
    pip += ["--disable-pip-version-check", "--no-warn-script-location"]
    subprocess.run([*pip, "--target", BUILD, "-r", "requirements.txt"], check=True)
    ignored = shutil.ignore_patterns("tests", "__pycache__")
    shutil.copytree("berylhaven", BUILD / "berylhaven", ignore=ignored)
    command = [sys.executable, "-m", "shiv.cli", "--site-packages", BUILD]
    command += ["--python", INTERPRETER, "--entry-point", "berylhaven.__main__:main"]
    command += ["--reproducible", "--output-file", BINARY]
    subprocess.run(command, check=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
