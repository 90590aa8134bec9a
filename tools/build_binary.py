"""Build the one executable file of the product: a shiv archive.

The requirements are taken from the environment that runs this tool, so that what is
packed is what was tested, and nothing is downloaded.
"""

import hashlib
import importlib.metadata
import pathlib
import re
import shutil
import subprocess
import sys

SITE = pathlib.Path("build/site")
BINARY = pathlib.Path("dist/berylhaven")
REQUIREMENTS = pathlib.Path("requirements.txt")
PACKAGE = pathlib.Path("berylhaven")
INTERPRETER = "/usr/bin/env python3"
ENTRY_POINT = "berylhaven.__main__:main"
BUILD_DIGEST_BYTES = 6
PINNED_PATTERN = re.compile(r"(?P<name>[A-Za-z0-9._-]+)==(?P<version>\S+)")


def main() -> int:
    """Gather the package and its requirements, and pack them."""
    shutil.rmtree(SITE, ignore_errors=True)
    SITE.mkdir(parents=True)
    BINARY.parent.mkdir(exist_ok=True)
    for name, version in pinned_requirements(REQUIREMENTS.read_text()):
        copy_distribution(name, version)
    ignored = shutil.ignore_patterns("tests", "__pycache__")
    shutil.copytree(PACKAGE, SITE / PACKAGE, ignore=ignored)
    (SITE / PACKAGE / "BUILD").write_text(build_digest() + "\n")
    command = [sys.executable, "-m", "shiv.cli", "--site-packages", SITE]
    command += ["--python", INTERPRETER, "--entry-point", ENTRY_POINT]
    command += ["--reproducible", "--output-file", BINARY]
    subprocess.run(command, check=True, stdout=subprocess.DEVNULL)
    print(f"{BINARY}: build {build_digest()}, {BINARY.stat().st_size} bytes")
    return 0


def pinned_requirements(text: str) -> list[tuple[str, str]]:
    """Return name and version of each pinned requirement."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    matches = [PINNED_PATTERN.fullmatch(line) for line in lines]
    return [(match["name"], match["version"]) for match in matches if match]


def copy_distribution(name: str, version: str) -> None:
    """Copy an installed distribution's files to the build directory.

    Parameters
    ----------
    name : str
        The distribution's name.
    version : str
        The version that must be installed.
    """
    distribution = importlib.metadata.distribution(name)
    if distribution.version != version:
        sys.exit(f"{name} {distribution.version} is installed, {version} is pinned")
    for file in distribution.files or ():
        # Scripts stand outside of the packages; compiled caches name other paths.
        if file.parts[0] == ".." or "__pycache__" in file.parts:
            continue
        target = SITE / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(distribution.locate_file(file), target)


def build_digest() -> str:
    """Return a digest of all that is packed: the sources and the pinned versions."""
    digest = hashlib.blake2b(digest_size=BUILD_DIGEST_BYTES)
    files = sorted(PACKAGE.rglob("*.py"))
    sources = [path for path in files if "tests" not in path.parts]
    for path in [REQUIREMENTS, *sources]:
        digest.update(f"{path}\0".encode())
        digest.update(path.read_bytes())
    return digest.hexdigest()


if __name__ == "__main__":
    sys.exit(main())
