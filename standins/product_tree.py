"""Copies the product as of a commit, to start gateways of an earlier build."""

import shutil
import subprocess
import tarfile
from pathlib import Path

# What a gateway process is started from.
PRODUCT_FOLDERS = ("berylhaven", "platform")
# The name of the current files where a commit is expected: the history may be missing.
CURRENT_TREE = "current"


def export_tree(commit: str, directory: Path) -> Path:
    """Copy the product as of a commit.

    Parameters
    ----------
    commit : str
        The commit; `CURRENT_TREE` copies the files as they are.
    directory : Path
        Where the copy is made.

    Returns
    -------
    Path
        The root of the copy.
    """
    tree = directory / f"tree-{commit}"
    if commit == CURRENT_TREE:
        for name in PRODUCT_FOLDERS:
            shutil.copytree(name, tree / name)
        return tree
    archive = directory / "tree.tar"
    command = ["git", "archive", f"--output={archive}", commit, *PRODUCT_FOLDERS]
    subprocess.run(command, check=True)
    with tarfile.open(archive) as opened:
        opened.extractall(tree, filter="data")
    return tree
