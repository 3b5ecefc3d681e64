"""The operators' file: its words, its bounds, and faults that name file, line and key."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from query_broker.cells.model import MigrationTimeouts
from query_broker.cli.main import main
from query_broker.operator_config.arguments import DirectiveError
from query_broker.operator_config.directives import moves
from query_broker.operator_config.draft import ConfigDraft
from query_broker.operator_config.script import OperatorFileError, evaluate, run_script

from ..support.sockets import ROOT, write_config

pytestmark = pytest.mark.real_time

FAULTS = [
    ("cell(", 1, "script"),
    ("x", 1, "script"),
    ('open("/etc/hosts")', 1, "script"),
    ('load("x.star", "y")', 1, "script"),
    ("def f():\n  f()\nf()", 2, "script"),
    ("cell()", 1, "cell"),
    ("cell(5)", 1, "cell.name"),
    ('cell("")', 1, "cell.name"),
    ('cell("a/b")', 1, "cell.name"),
    ('cell("a")\ncell("a")', 2, "cell.name"),
    ('cell("a", wight = 2)', 1, "cell"),
    ('cell("a", weight = 0)', 1, "cell.weight"),
    ('cell("a", weight = "2")', 1, "cell.weight"),
    ('cell("a", least = 1.5)', 1, "cell.least"),
    ('cell("a", least = 3, most = 2)', 1, "cell.most"),
    ('cell("a", zones = "east")', 1, "cell.zones"),
    ('cell("a", engines = [1])', 1, "cell.engines"),
    ('cell("a", share = -1)', 1, "cell.share"),
    ('cell("a", zones = ["z"])\ncell("b", zones = ["z"])\ndefault_cell("a")', 2, "cell.zones"),
    ('cell("a")\ncell("b")', 2, "default_cell"),
    ('cell("a")\ndefault_cell("b")', 2, "default_cell"),
    ('default_cell("a")\ndefault_cell("a")', 2, "default_cell"),
    ('tenant("x", cell = "a")', 1, "tenant.cell"),
    ('tenant("x", cell = "b")\ncell("a")\ntenant("y", cell = "a")', 1, "tenant.cell"),
    ('cell("a")\ntenant("x")', 2, "tenant.cell"),
    ('cell("a")\ntenant("x", cells = [])', 2, "tenant.cells"),
    ('cell("a")\ntenant("x#1", cell = "a")', 2, "tenant.name"),
    ('cell("a")\ntenant("x", cells = ["a", "b"])', 2, "tenant.key"),
    ('cell("a")\ntenant("x", cells = ["a"], key = "trace")', 2, "tenant.key"),
    ("epoch(-1)", 1, "epoch"),
    ("epoch(1)\nepoch(2)", 2, "epoch"),
    ("epoch(True)", 1, "epoch"),
    ("moves(warm = -1)", 1, "moves.warm"),
    ("moves(wram = 1)", 1, "moves.wram"),
    ('for i in range(3):\n  cell("a%d" % i)\n  tenant("t", cell = "a0")', 3, "tenant.name"),
]


@pytest.mark.parametrize(("text", "line", "key"), FAULTS)
def test_a_fault_names_file_line_and_key(text: str, line: int, key: str) -> None:
    with pytest.raises(OperatorFileError) as fault:
        run_script("ops.star", text, lambda: False)
    assert str(fault.value).startswith(f"ops.star:{line}: {key}: ")
    assert "\n" not in str(fault.value)


def test_the_example_under_deploy_is_read_as_it_says() -> None:
    said = evaluate(str(ROOT / "deploy" / "operators.star")).cell_map
    assert said is not None
    assert [c.name for c in said.cells] == [
        "counters",
        "finance",
        "spare-0",
        "spare-1",
    ]
    assert said.home("kilifi-creek-ferries") == "finance"
    assert said.home("nobody") == "counters"
    assert said.timeouts == MigrationTimeouts()
    assert said.epoch == 1
    assert {said.home(said.subject("lamu-island-boats", "glance", d)) for d in range(50)} == {
        "counters",
        "finance",
    }


@pytest.mark.parametrize(
    "text",
    [
        "x = [0] * 4000000000",
        "def f():\n  for i in range(4000000000):\n    pass\nf()",
        'def f():\n  for i in range(300000):\n    cell("a%d" % i)\nf()',
    ],
)
def test_evaluation_is_bounded(tmp_path: Path, text: str, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "ops.star"
    path.write_text(text)
    with pytest.raises(OperatorFileError, match="ops.star"):
        evaluate(str(path))


def test_a_large_fleet_is_read(tmp_path: Path) -> None:
    path = tmp_path / "ops.star"
    path.write_text(
        'cells = [cell("c%d" % i) for i in range(12)]\n'
        '[tenant("t%d" % i, cell = cells[i % 12]) for i in range(1000)]\ndefault_cell("c0")'
    )
    said = evaluate(str(path)).cell_map
    assert said is not None
    assert len(said.tenants) == 1_000
    assert said.home("t13") == "c1"
    path.write_text("epoch(3)")
    assert evaluate(str(path)).cell_map is None  # nothing is said of cells


@pytest.mark.parametrize("path", ["/nowhere/ops.star", "."])
def test_a_file_that_is_none_is_told(path: str) -> None:
    with pytest.raises(OperatorFileError, match="file: "):
        evaluate(path)


def test_a_bad_file_at_the_start_is_one_line_and_exit_2(tmp_path: Path) -> None:
    path = tmp_path / "ops.star"
    path.write_text('cell("a", weight = -1)')
    for by in ({"PROXY_OPERATOR_FILE": str(path)}, {}):
        argv = [
            sys.executable,
            "-m",
            "query_broker",
            "serve",
            *([] if by else ["--operator-file", str(path)]),
        ]
        done = subprocess.run(
            argv,
            env={**write_config(tmp_path), **by},
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        assert done.returncode == 2
        assert done.stderr == f"larchhall: {path}:1: cell.weight: must be above 0\n"
    checked = CliRunner().invoke(
        main, ["check-config", "--operator-file", str(path)], env=write_config(tmp_path)
    )
    assert checked.exit_code == 2


def test_without_the_file_nothing_of_it_is_loaded(tmp_path: Path) -> None:
    """With a thing off it costs nothing: no module of it, and no library that it alone needs."""
    script = (
        "import sys, query_broker.cli.main, query_broker.server.node\n"
        "print([m for m in sys.modules if m.split('.')[0] in ('xxhash', 'starlark', 'highspy')\n"
        "       or m.startswith(('query_broker.cells', 'query_broker.operator_config',\n"
        "                        'query_broker.emulator'))])"
    )
    done = subprocess.run(
        [sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert done.stdout.strip() == "[]"


def test_words_do_not_need_the_interpreter() -> None:
    draft = ConfigDraft()
    moves(draft, warm=1.5)
    assert draft.migration_timeouts.warming_ns == 1_500_000_000
    assert draft.build_cell_map() is None
    with pytest.raises(DirectiveError, match="said twice"):
        moves(draft)


# --- the command line ---


def test_the_demo_plays_to_its_end() -> None:
    done = subprocess.run(
        [sys.executable, "-m", "query_broker", "demo", "--seconds", "1"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        env={**os.environ},
    )
    assert done.returncode == 0, done.stderr
    assert "harbour" in done.stdout
    assert "exactly one answer: yes" in done.stdout


def problem(folder: Path, **more: object) -> str:
    path = folder / "problem.json"
    path.write_text(
        json.dumps(
            {
                "tenants": {f"t{i}": {"cell": "a", "load": 1 + i % 3} for i in range(12)},
                "cells": {"a": 8, "b": 8},
                **more,
            }
        )
    )
    return str(path)


def test_plans_are_printed_as_a_table_and_as_json(tmp_path: Path) -> None:
    path = problem(tmp_path, apart=[["t0", "t1"]])
    told = CliRunner().invoke(main, ["cells", "plan", path])
    assert told.exit_code == 0
    assert "the fullest cell goes from 3.000 to 1.500" in told.output
    made = json.loads(
        CliRunner().invoke(main, ["cells", "plan", path, "--json", "--most-moves", "3"]).stdout
    )
    assert len(made["moves"]) == 3
    assert made["cells"]["a"]["before"] == 3.0


@pytest.mark.parametrize(
    ("args", "code", "told"),
    [
        (["plan", "{}", "--most-load", "0.1"], 3, "no placement satisfies the terms"),
        (["plan", "{}", "--apart", "t0", "zz"], 2, "apart: 'zz' is no tenant"),
        (["plan"], 2, "name a FILE"),
        (["plan", "{}", "--address", "127.0.0.1:1"], 2, "name a FILE"),
        (["show", "--address", "nowhere"], 2, "is no address"),
        (["show", "--address", "127.0.0.1:1"], 1, "refused"),
        (["move", "--address", "127.0.0.1:1", "x", "b"], 1, "refused"),
    ],
)
def test_commands_that_cannot_be_done_say_so_in_a_line(
    tmp_path: Path, args: list[str], code: int, told: str
) -> None:
    done = CliRunner().invoke(
        main, ["cells", *(problem(tmp_path) if a == "{}" else a for a in args)]
    )
    assert done.exit_code == code
    assert told in done.output
