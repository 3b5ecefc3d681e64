"""The embedding example of the README runs."""

from __future__ import annotations

import re
from pathlib import Path

import pytest


def test_embedding_example(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text(encoding="utf-8")
    match = re.search(r"```python\n(.*?)```", text, re.S)
    assert match
    exec(match.group(1), {})
    assert "send q-1 to engine 7" in capsys.readouterr().out
