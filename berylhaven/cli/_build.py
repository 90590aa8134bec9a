"""The name of the running build."""

import importlib.resources

BUILD_FILE = "BUILD"
SOURCE_TREE = "source"


def build_name() -> str:
    """Return the name written by the build tool, or "source" in a source tree."""
    file = importlib.resources.files("berylhaven") / BUILD_FILE
    try:
        return file.read_text(encoding="utf-8").strip()
    except FileNotFoundError:
        return SOURCE_TREE
