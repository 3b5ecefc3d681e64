"""The deploy file names what the broker loads."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[1]
DEPLOY_FILE = ROOT / "deploy" / "balancer.toml"
LIST_LOADED_FILES = """
import json, sys, query_broker.cli.main, query_broker.server.node
print(json.dumps([
    module.__file__ for name, module in sys.modules.items()
    if name.partition(".")[0] == "query_broker"
]))
"""


def listed_files() -> set[Path]:
    """Return the files that `policy` and `node` name, by themselves or by their folder."""
    deploy = tomllib.loads(DEPLOY_FILE.read_text(encoding="utf-8"))
    files: set[Path] = set()
    for name in (*deploy["policy"], *deploy["node"]):
        path = ROOT / name
        assert path.exists(), name
        files.update(path.rglob("*.py") if path.is_dir() else [path])
    return files


def test_policy_and_node_name_all_that_the_broker_loads() -> None:
    result = subprocess.run(
        [sys.executable, "-c", LIST_LOADED_FILES],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = {Path(name) for name in json.loads(result.stdout)}
    assert loaded - listed_files() == set()


def test_policy_names_each_decision_module() -> None:
    deploy = tomllib.loads(DEPLOY_FILE.read_text(encoding="utf-8"))
    modules = {path.name for path in (ROOT / "query_broker" / "decisions").glob("*.py")}
    facade = {"facade.py"}  # the interface that network code sees, in `node`
    assert {Path(name).name for name in deploy["policy"]} == modules - facade
