"""The adapter on hand-written transcripts of the wire."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from query_broker import decisions
from query_broker.config import parse_settings
from query_broker.errors import QueryBrokerError
from query_broker.simulator_adapter import NAMES_OF_ERRORS

ROOT = Path(__file__).parents[2]
MS = 1_000_000
FACTS: dict[str, Any] = {
    "classes": [
        {
            "name": "short",
            "aim": 500 * MS,
            "deadline": 5000 * MS,
            "worth": 1.0,
            "effect": "read_like",
            "late_value": 0.1,
            "a_new_key": 1,
        }
    ],
    "fleet_size": 1,
    "tick": 5 * MS,
    "zone": "a",
    "kinds": ["box"],
    "unheard_of": {"x": 1},
    "policy_limits": {"cancel": True, "send_cap": 3, "max_retry_after": 2000 * MS},
    "report": {"via": "piggyback", "fields": ["busy", "q"]},
    "specifics": {"size_cores": [4], "parallelism": [1]},
}
BEGIN = f"BEGIN\ti=gateway/0\tnonce64=5\tfacts={json.dumps(FACTS)}\n"
LIST = (
    "TABLE\tlist=0\tmembers_list=1\n"
    "ROW\tbay=0\tpower_hint=1\tstage_state=SERVING\tarea=a\tclass_of_host=box\tengine=51\n"
    "TARGETS\ti=gateway/0\tmode=C\tlist=0\tversion=1\n"
)
INGRESS = "INGRESS\ti=gateway/0\treq=r-1\tkind=short\tpatience_left=4000000000\texpected=90000000\n"


def frame(number: int, body: str = "", clock: int = 1000 * MS) -> str:
    return f"TURN\tclock={clock}\tframe={number}\n{body}FLUSH\n"


def run(text: str, hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "query_broker.simulator_adapter"],
        input=text,
        text=True,
        cwd=ROOT,
        capture_output=True,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        check=False,
    )


def test_empty_batch() -> None:
    done = run(frame(1))
    assert (done.returncode, done.stdout) == (0, "READY\tframe=1\n")


def test_request_is_sent_and_settled() -> None:
    outcome = (
        "FINISHED\ti=gateway/0\treq=r-1\tdone_flag=1\ttime_taken=90000000\tn=0\treason=served"
        "\tengine=51\treport=0.5,0\n"
    )
    done = run(
        frame(1, BEGIN + LIST)
        + frame(2, INGRESS)
        + frame(3, outcome)
        + frame(4, INGRESS.replace("r-1", "r-2") + "NEWS_OF_TOMORROW\ti=gateway/0\tx=1\n")
    )
    assert done.returncode == 0, done.stderr
    lines = done.stdout.splitlines()
    assert "FORWARD\ti=gateway/0\treq=r-1\tengine=51\tallow_for=4000000000" in lines
    assert "FORWARD\ti=gateway/0\treq=r-2\tengine=51\tallow_for=4000000000" in lines
    assert lines[-1] == "READY\tframe=4"


def test_same_actions_whatever_the_hash_seed() -> None:
    text = frame(1, BEGIN + LIST) + "".join(
        frame(i, INGRESS.replace("r-1", f"r-{i}")) for i in range(2, 40)
    )
    assert run(text, "1").stdout == run(text, "2").stdout


def test_crash_forgets_the_instance() -> None:
    done = run(frame(1, BEGIN + LIST) + frame(2, "CRASH_NOW\ti=gateway/0\n") + frame(3, INGRESS))
    assert done.returncode == 2
    assert "frame 3" in done.stderr
    assert "never began" in done.stderr


@pytest.mark.parametrize(
    ("body", "says"),
    [
        (INGRESS, "never began"),
        ("req=r-1\ti=gateway/0\n", "without its name"),
        (BEGIN + LIST + INGRESS.replace("4000000000", "soon"), "patience_left"),
        (BEGIN + "TARGETS\ti=gateway/0\tmode=F\tlist=9\tversion=1\n", "never laid out"),
        (BEGIN + LIST + "INGRESS\ti=gateway/0\tbroken\n", "name=value"),
        ("BEGIN\ti=gateway/0\tnonce64=5\tfacts={\n", "facts"),
    ],
)
def test_malformed_input_ends_with_one_plain_line(body: str, says: str) -> None:
    done = run(frame(7, body))
    assert done.returncode == 2
    assert len(done.stderr.splitlines()) == 1
    assert says in done.stderr
    assert "frame 7" in done.stderr


def test_input_that_ends_inside_a_batch() -> None:
    assert run("TURN\tclock=1\tframe=1\n").returncode == 2


def test_fault_of_the_module_is_declared() -> None:
    done = run(frame(1, BEGIN + LIST + INGRESS.replace("kind=short", "kind=unheard")))
    assert done.returncode == 0
    assert "BUG\ti=gateway/0\tbody_text=ValueError: class_name" in done.stdout
    assert "Traceback" in done.stderr


def test_each_error_of_the_decisions_goes_by_its_built_in_type() -> None:
    """Prevents: a typed error changes the line that the simulator reads."""
    typed = {
        error
        for error in vars(decisions).values()
        if isinstance(error, type) and issubclass(error, QueryBrokerError)
    }
    assert typed == set(NAMES_OF_ERRORS)
    for error, name in NAMES_OF_ERRORS.items():
        built_in = next(base for base in error.__mro__ if base.__module__ == "builtins")
        assert built_in.__name__ == name


@pytest.mark.parametrize(("key", "value"), [("classes", []), ("fleet_size", 0), ("tick", None)])
def test_bad_settings_name_their_key(key: str, value: object) -> None:
    facts = {**FACTS, key: value}
    if value is None:
        del facts[key]
    with pytest.raises(ValueError, match=key):
        parse_settings(facts)


def test_unknown_effect_is_named() -> None:
    facts = {**FACTS, "classes": [{**FACTS["classes"][0], "effect": "odd"}]}
    with pytest.raises(ValueError, match="effect"):
        parse_settings(facts)


def test_unknown_group_is_named() -> None:
    facts = {**FACTS, "classes": [{**FACTS["classes"][0], "group": "odd"}]}
    with pytest.raises(ValueError, match="group"):
        parse_settings(facts)
