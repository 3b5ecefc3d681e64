"""Runs the script of case 3, which exits with 0 if the rule held."""

import subprocess
from pathlib import Path


def test_case_3() -> None:
    script = Path(__file__).with_name("run.sh")
    assert subprocess.run([str(script)], check=False).returncode == 0
