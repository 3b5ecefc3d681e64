"""The form of KNOWN-RED.txt, which CI reads with `.ci/known_red.py`."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from .support.sockets import ROOT

READER = ROOT / ".ci" / "known_red.py"
ENTRY = "tests/a.py::test_b | pytest tests/a.py, seed 3 | one of 30 is rejected | 40"


def read_list(folder: Path, text: str) -> subprocess.CompletedProcess[str]:
    path = folder / "KNOWN-RED.txt"
    path.write_text(text)
    return subprocess.run(
        [sys.executable, READER, path], capture_output=True, text=True, check=False
    )


def test_the_tests_of_the_entries_are_printed(tmp_path: Path) -> None:
    other = ENTRY.replace("test_b", "test_c[x-1]")
    result = read_list(tmp_path, f"{ENTRY}\n\n{other}\n")
    assert result.returncode == 0
    assert result.stdout.splitlines() == ["tests/a.py::test_b", "tests/a.py::test_c[x-1]"]


@pytest.mark.parametrize(
    "text",
    [
        pytest.param("tests/a.py::test_b | 40", id="two fields"),
        pytest.param("tests/a.py::test_b | seed 3 |  | 40", id="an empty field"),
        pytest.param(ENTRY.replace("::", "/"), id="no test"),
        pytest.param(ENTRY.replace("| 40", "| soon"), id="no issue"),
        pytest.param(f"{ENTRY}\n{ENTRY}", id="a test twice"),
        pytest.param(ENTRY.replace("30", "3" * 400), id="too long"),
    ],
)
def test_a_faulty_entry_is_one_line_of_error(tmp_path: Path, text: str) -> None:
    result = read_list(tmp_path, text)
    assert result.returncode == 1
    assert result.stderr.count("\n") == 1


def test_the_list_of_this_repository_is_in_form() -> None:
    result = subprocess.run(
        [sys.executable, READER, ROOT / "KNOWN-RED.txt"],
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 0, result.stderr
