"""The operators' file: its content, limits of its evaluation, and a start with a faulty file."""

from __future__ import annotations

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
from query_broker.operator_config.script import OperatorFileError, evaluate

from ..support.sockets import ROOT, write_config

pytestmark = pytest.mark.real_time


def test_example_of_the_deploy_folder_is_evaluated() -> None:
    cell_map = evaluate(str(ROOT / "deploy" / "operators.star")).cell_map
    assert cell_map is not None
    assert [cell.name for cell in cell_map.cells] == [
        "counters",
        "finance",
        "spare-0",
        "spare-1",
    ]
    assert cell_map.home("kilifi-creek-ferries") == "finance"
    assert cell_map.home("nobody") == "counters"
    assert cell_map.timeouts == MigrationTimeouts()
    assert cell_map.epoch == 1
    subjects = [cell_map.subject("lamu-island-boats", "glance", data_set) for data_set in range(50)]
    assert {cell_map.home(subject) for subject in subjects} == {"counters", "finance"}


@pytest.mark.parametrize(
    "text",
    [
        "x = [0] * 4000000000",
        "def f():\n  for i in range(4000000000):\n    pass\nf()",
        'def f():\n  for i in range(300000):\n    cell("a%d" % i)\nf()',
    ],
    ids=["memory", "loops", "directives"],
)
def test_evaluation_beyond_a_limit_is_rejected(
    tmp_path: Path, text: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "ops.star"
    path.write_text(text)
    with pytest.raises(OperatorFileError, match="ops.star"):
        evaluate(str(path))


def test_file_of_a_large_fleet_is_evaluated(tmp_path: Path) -> None:
    path = tmp_path / "ops.star"
    path.write_text(
        'cells = [cell("c%d" % i) for i in range(12)]\n'
        '[tenant("t%d" % i, cell = cells[i % 12]) for i in range(1000)]\ndefault_cell("c0")'
    )
    cell_map = evaluate(str(path)).cell_map
    assert cell_map is not None
    assert len(cell_map.tenants) == 1_000
    assert cell_map.home("t13") == "c1"
    path.write_text("epoch(3)")
    assert evaluate(str(path)).cell_map is None  # the file declares no cells


@pytest.mark.parametrize("path", ["/nowhere/ops.star", "."], ids=["absent", "a folder"])
def test_path_that_is_not_a_file_is_rejected(path: str) -> None:
    with pytest.raises(OperatorFileError, match="file: "):
        evaluate(path)


def test_start_with_an_invalid_file_prints_one_line_and_exits_with_2(tmp_path: Path) -> None:
    path = tmp_path / "ops.star"
    path.write_text('cell("a", weight = -1)')
    for variables, arguments in (
        ({"PROXY_OPERATOR_FILE": str(path)}, []),
        ({}, ["--operator-file", str(path)]),
    ):
        result = subprocess.run(
            [sys.executable, "-m", "query_broker", "serve", *arguments],
            env={**write_config(tmp_path), **variables},
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        assert result.returncode == 2
        assert result.stderr == f"larchhall: {path}:1: cell.weight: must be above 0\n"
    checked = CliRunner().invoke(
        main, ["check-config", "--operator-file", str(path)], env=write_config(tmp_path)
    )
    assert checked.exit_code == 2


LIST_LOADED_MODULES = """
import sys, query_broker.cli.main, query_broker.server.node
libraries = ("xxhash", "starlark", "highspy")
packages = ("query_broker.cells", "query_broker.operator_config", "query_broker.emulator")
print([
    name for name in sys.modules
    if name.split(".")[0] in libraries or name.startswith(packages)
])
"""


def test_start_without_the_file_imports_none_of_its_modules() -> None:
    """Neither the modules for the file nor the libraries that only they need are imported."""
    result = subprocess.run(
        [sys.executable, "-c", LIST_LOADED_MODULES],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    assert result.stdout.strip() == "[]"


def test_directives_do_not_need_the_interpreter() -> None:
    draft = ConfigDraft()
    moves(draft, warm=1.5)
    assert draft.migration_timeouts.warming_ns == 1_500_000_000
    assert draft.build_cell_map() is None
    with pytest.raises(DirectiveError, match="said twice"):
        moves(draft)
