"""Source trees of this project: the current one, and worktrees of earlier commits."""

from __future__ import annotations

import subprocess
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

ROOT = Path(__file__).parents[2]
PACKAGE = "query_broker"
#: The import package up to version 0.2.
FORMER_PACKAGE = "larchhall"
#: Runs the former package under the present name.
FORMER_MAIN = f"""\
import runpy

runpy.run_module("{FORMER_PACKAGE}", run_name="__main__")
"""


def package_of(tree: Path) -> str:
    """Return the name of the import package of a tree of this project."""
    return PACKAGE if (tree / PACKAGE).is_dir() else FORMER_PACKAGE


def add_present_name(tree: Path) -> None:
    """Let `python -m query_broker`, which the emulated fleets call, run a tree with either package.

    Args:
        tree: A temporary worktree; a file is added to it if it has the former package.
    """
    if package_of(tree) == FORMER_PACKAGE:
        (tree / PACKAGE).mkdir()
        (tree / PACKAGE / "__main__.py").write_text(FORMER_MAIN)


@contextmanager
def worktree(revision: str) -> Iterator[Path]:
    """Check out an earlier commit of this project for as long as the context lasts."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "tree"
        _git("worktree", "add", "--detach", "-f", str(path), revision)
        try:
            yield path
        finally:
            _git("worktree", "remove", "--force", str(path))


def _git(*arguments: str) -> None:
    subprocess.run(["git", *arguments], cwd=ROOT, check=True, capture_output=True)
