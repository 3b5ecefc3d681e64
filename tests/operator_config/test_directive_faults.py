"""Errors of the operators' file: each names the file, the line and the key."""

from __future__ import annotations

import pytest

from query_broker.operator_config.script import OperatorFileError, run_script

FAULTY_SCRIPTS = {
    "unclosed call": ("cell(", 1, "script"),
    "unknown name": ("x", 1, "script"),
    "file access": ('open("/etc/hosts")', 1, "script"),
    "load of another script": ('load("x.star", "y")', 1, "script"),
    "recursion": ("def f():\n  f()\nf()", 2, "script"),
    "cell without a name": ("cell()", 1, "cell"),
    "cell name is a number": ("cell(5)", 1, "cell.name"),
    "cell name is empty": ('cell("")', 1, "cell.name"),
    "cell name with a slash": ('cell("a/b")', 1, "cell.name"),
    "cell twice": ('cell("a")\ncell("a")', 2, "cell.name"),
    "unknown argument of a cell": ('cell("a", wight = 2)', 1, "cell"),
    "cell of weight zero": ('cell("a", weight = 0)', 1, "cell.weight"),
    "weight is a string": ('cell("a", weight = "2")', 1, "cell.weight"),
    "least is not a whole number": ('cell("a", least = 1.5)', 1, "cell.least"),
    "least above most": ('cell("a", least = 3, most = 2)', 1, "cell.most"),
    "zones is a string": ('cell("a", zones = "east")', 1, "cell.zones"),
    "engines are numbers": ('cell("a", engines = [1])', 1, "cell.engines"),
    "negative share": ('cell("a", share = -1)', 1, "cell.share"),
    "two cells of one zone": (
        'cell("a", zones = ["z"])\ncell("b", zones = ["z"])\ndefault_cell("a")',
        2,
        "cell.zones",
    ),
    "two cells without a default": ('cell("a")\ncell("b")', 2, "default_cell"),
    "unknown default cell": ('cell("a")\ndefault_cell("b")', 2, "default_cell"),
    "default cell twice": ('default_cell("a")\ndefault_cell("a")', 2, "default_cell"),
    "tenant of a cell that is not declared": ('tenant("x", cell = "a")', 1, "tenant.cell"),
    "tenant of an unknown cell": (
        'tenant("x", cell = "b")\ncell("a")\ntenant("y", cell = "a")',
        1,
        "tenant.cell",
    ),
    "tenant without a cell": ('cell("a")\ntenant("x")', 2, "tenant.cell"),
    "tenant of an empty list of cells": ('cell("a")\ntenant("x", cells = [])', 2, "tenant.cells"),
    "tenant name with a hash sign": ('cell("a")\ntenant("x#1", cell = "a")', 2, "tenant.name"),
    "tenant of two cells without a key": (
        'cell("a")\ntenant("x", cells = ["a", "b"])',
        2,
        "tenant.key",
    ),
    "unknown key of a tenant": (
        'cell("a")\ntenant("x", cells = ["a"], key = "trace")',
        2,
        "tenant.key",
    ),
    "negative epoch": ("epoch(-1)", 1, "epoch"),
    "epoch twice": ("epoch(1)\nepoch(2)", 2, "epoch"),
    "epoch is a boolean": ("epoch(True)", 1, "epoch"),
    "negative warm-up": ("moves(warm = -1)", 1, "moves.warm"),
    "unknown argument of moves": ("moves(wram = 1)", 1, "moves.wram"),
    "tenant twice in a loop": (
        'for i in range(3):\n  cell("a%d" % i)\n  tenant("t", cell = "a0")',
        3,
        "tenant.name",
    ),
}


@pytest.mark.parametrize(("text", "line", "key"), FAULTY_SCRIPTS.values(), ids=FAULTY_SCRIPTS)
def test_error_names_file_line_and_key(text: str, line: int, key: str) -> None:
    with pytest.raises(OperatorFileError) as caught:
        run_script("ops.star", text, lambda: False)
    assert str(caught.value).startswith(f"ops.star:{line}: {key}: ")
    assert "\n" not in str(caught.value)
