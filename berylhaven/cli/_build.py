"""The name of the build that runs."""

import importlib.resources

BUILD_FILE = "BUILD"
SOURCE_TREE = "source"


def build_name() -> str:
    """Return the name that the build tool wrote, or that this is a source tree."""
    file = importlib.resources.files("berylhaven") / BUILD_FILE
    try:
        return file.read_text(encoding="utf-8").strip()
    except FileNotFoundError:
        return SOURCE_TREE
