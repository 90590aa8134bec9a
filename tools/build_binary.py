"""Build the executable file of the product, a shiv archive.

The requirements are copied from the environment that runs this tool, so that the
tested versions are packed and nothing is downloaded.
"""

import hashlib
import importlib.metadata
import pathlib
import re
import shutil
import subprocess
import sys

SITE_DIRECTORY = pathlib.Path("build/site")
BINARY = pathlib.Path("dist/berylhaven")
REQUIREMENTS = pathlib.Path("requirements.txt")
PACKAGE = pathlib.Path("berylhaven")
INTERPRETER = "/usr/bin/env python3"
ENTRY_POINT = "berylhaven.__main__:main"
BUILD_DIGEST_BYTES = 6
PINNED_REQUIREMENT_PATTERN = re.compile(r"(?P<name>[A-Za-z0-9._-]+)==(?P<version>\S+)")


def main() -> int:
    """Copy the package and its requirements to a directory and pack it."""
    shutil.rmtree(SITE_DIRECTORY, ignore_errors=True)
    SITE_DIRECTORY.mkdir(parents=True)
    BINARY.parent.mkdir(exist_ok=True)
    for name, version in pinned_requirements(REQUIREMENTS.read_text()):
        copy_distribution(name, version)
    ignored = shutil.ignore_patterns("tests", "__pycache__")
    shutil.copytree(PACKAGE, SITE_DIRECTORY / PACKAGE, ignore=ignored)
    (SITE_DIRECTORY / PACKAGE / "BUILD").write_text(build_digest() + "\n")
    command = [sys.executable, "-m", "shiv.cli", "--site-packages", SITE_DIRECTORY]
    command += ["--python", INTERPRETER, "--entry-point", ENTRY_POINT]
    command += ["--reproducible", "--output-file", BINARY]
    subprocess.run(command, check=True, stdout=subprocess.DEVNULL)
    print(f"{BINARY}: build {build_digest()}, {BINARY.stat().st_size} bytes")
    return 0


def pinned_requirements(text: str) -> list[tuple[str, str]]:
    """Return name and version of each pinned requirement."""
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    matches = [PINNED_REQUIREMENT_PATTERN.fullmatch(line) for line in lines]
    return [(match["name"], match["version"]) for match in matches if match]


def copy_distribution(name: str, version: str) -> None:
    """Copy the files of an installed distribution to the build directory.

    Parameters
    ----------
    name : str
        The name of the distribution.
    version : str
        The pinned version; the tool exits if another one is installed.
    """
    distribution = importlib.metadata.distribution(name)
    if distribution.version != version:
        sys.exit(
            f"{name}: {distribution.version} is installed, but {version} is pinned"
        )
    for file in distribution.files or ():
        # Scripts are outside of the packages; bytecode caches refer to other paths.
        if file.parts[0] == ".." or "__pycache__" in file.parts:
            continue
        target = SITE_DIRECTORY / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(distribution.locate_file(file), target)


def build_digest() -> str:
    """Return a digest of the packed content: the sources and the pinned versions."""
    digest = hashlib.blake2b(digest_size=BUILD_DIGEST_BYTES)
    files = sorted(PACKAGE.rglob("*.py"))
    sources = [path for path in files if "tests" not in path.parts]
    for path in [REQUIREMENTS, *sources]:
        digest.update(f"{path}\0".encode())
        digest.update(path.read_bytes())
    return digest.hexdigest()


if __name__ == "__main__":
    sys.exit(main())
