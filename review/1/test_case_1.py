"""Runs the script of case 1, which exits with 0 if the rule held."""

import subprocess
from pathlib import Path


def test_case_1() -> None:
    script = Path(__file__).with_name("run.sh")
    assert subprocess.run([str(script)], check=False).returncode == 0
