"""Output and exit codes of the commands `demo` and `cells`."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from query_broker.cli.main import main

from ..support.sockets import ROOT

pytestmark = pytest.mark.real_time


def test_demo_runs_to_completion() -> None:
    result = subprocess.run(
        [sys.executable, "-m", "query_broker", "demo", "--seconds", "1"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
        env={**os.environ},
    )
    assert result.returncode == 0, result.stderr
    assert "harbour" in result.stdout
    assert "exactly one answer: yes" in result.stdout


def write_planning_problem(folder: Path, **extra_fields: object) -> str:
    """Write a planning problem of twelve tenants and two cells, and return its path."""
    tenants = {f"t{number}": {"cell": "a", "load": 1 + number % 3} for number in range(12)}
    path = folder / "problem.json"
    path.write_text(json.dumps({"tenants": tenants, "cells": {"a": 8, "b": 8}, **extra_fields}))
    return str(path)


def test_plan_is_printed_as_a_table_and_as_json(tmp_path: Path) -> None:
    path = write_planning_problem(tmp_path, apart=[["t0", "t1"]])
    table = CliRunner().invoke(main, ["cells", "plan", path])
    assert table.exit_code == 0
    assert "the fullest cell goes from 3.000 to 1.500" in table.output
    json_arguments = ["cells", "plan", path, "--json", "--most-moves", "3"]
    plan = json.loads(CliRunner().invoke(main, json_arguments).stdout)
    assert len(plan["moves"]) == 3
    assert plan["cells"]["a"]["before"] == 3.0


PROBLEM_PLACEHOLDER = "{}"  # replaced by the path of a planning problem
FAILING_COMMANDS = {
    "no placement": (
        ["plan", PROBLEM_PLACEHOLDER, "--most-load", "0.1"],
        3,
        "no placement satisfies the terms",
    ),
    "unknown tenant": (
        ["plan", PROBLEM_PLACEHOLDER, "--apart", "t0", "zz"],
        2,
        "apart: 'zz' is no tenant",
    ),
    "no file": (["plan"], 2, "name a FILE"),
    "file and address": (
        ["plan", PROBLEM_PLACEHOLDER, "--address", "127.0.0.1:1"],
        2,
        "name a FILE",
    ),
    "malformed address": (["show", "--address", "nowhere"], 2, "is no address"),
    "show at a closed port": (["show", "--address", "127.0.0.1:1"], 1, "refused"),
    "move at a closed port": (["move", "--address", "127.0.0.1:1", "x", "b"], 1, "refused"),
}


@pytest.mark.parametrize(
    ("arguments", "exit_code", "reason"), FAILING_COMMANDS.values(), ids=FAILING_COMMANDS
)
def test_failing_command_prints_the_reason_and_exits_with_its_code(
    tmp_path: Path, arguments: list[str], exit_code: int, reason: str
) -> None:
    path = write_planning_problem(tmp_path)
    with_path = [path if argument == PROBLEM_PLACEHOLDER else argument for argument in arguments]
    result = CliRunner().invoke(main, ["cells", *with_path])
    assert result.exit_code == exit_code
    assert reason in result.output
