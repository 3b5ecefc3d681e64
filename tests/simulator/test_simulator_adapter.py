"""The simulator adapter, run on hand-written input in the simulator's wire format."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from typing import Any

import pytest

from query_broker import decisions
from query_broker.config import parse_settings
from query_broker.errors import QueryBrokerError
from query_broker.simulator_adapter import BUILTIN_ERROR_NAMES

from ..support.helpers import MS, S
from ..support.sockets import ROOT

SETTINGS: dict[str, Any] = {
    "classes": [
        {
            "name": "short",
            "aim": 500 * MS,
            "deadline": 5 * S,
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
    "policy_limits": {"cancel": True, "send_cap": 3, "max_retry_after": 2 * S},
    "report": {"via": "piggyback", "fields": ["busy", "q"]},
    "specifics": {"size_cores": [4], "parallelism": [1]},
}
BEGIN = f"BEGIN\ti=gateway/0\tnonce64=5\tfacts={json.dumps(SETTINGS)}\n"
ENDPOINT_LIST = (
    "TABLE\tlist=0\tmembers_list=1\n"
    "ROW\tbay=0\tpower_hint=1\tstage_state=SERVING\tarea=a\tclass_of_host=box\tengine=51\n"
    "TARGETS\ti=gateway/0\tmode=C\tlist=0\tversion=1\n"
)
ARRIVAL = "INGRESS\ti=gateway/0\treq=r-1\tkind=short\tpatience_left=4000000000\texpected=90000000\n"


def batch(number: int, body: str = "", clock_ns: int = S) -> str:
    """Return the lines of a batch, which the wire format calls a frame."""
    return f"TURN\tclock={clock_ns}\tframe={number}\n{body}FLUSH\n"


def run_adapter(text: str, hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    """Run the adapter on this input until it exits."""
    return subprocess.run(
        [sys.executable, "-m", "query_broker.simulator_adapter"],
        input=text,
        text=True,
        cwd=ROOT,
        capture_output=True,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        check=False,
    )


def test_an_empty_batch_is_answered_as_ready() -> None:
    process = run_adapter(batch(1))
    assert (process.returncode, process.stdout) == (0, "READY\tframe=1\n")


def test_a_request_is_dispatched_and_its_outcome_taken() -> None:
    outcome = (
        "FINISHED\ti=gateway/0\treq=r-1\tdone_flag=1\ttime_taken=90000000\tn=0\treason=served"
        "\tengine=51\treport=0.5,0\n"
    )
    process = run_adapter(
        batch(1, BEGIN + ENDPOINT_LIST)
        + batch(2, ARRIVAL)
        + batch(3, outcome)
        + batch(4, ARRIVAL.replace("r-1", "r-2") + "NEWS_OF_TOMORROW\ti=gateway/0\tx=1\n")
    )
    assert process.returncode == 0, process.stderr
    lines = process.stdout.splitlines()
    assert "FORWARD\ti=gateway/0\treq=r-1\tengine=51\tallow_for=4000000000" in lines
    assert "FORWARD\ti=gateway/0\treq=r-2\tengine=51\tallow_for=4000000000" in lines
    assert lines[-1] == "READY\tframe=4"


def test_the_output_does_not_depend_on_the_hash_seed() -> None:
    text = batch(1, BEGIN + ENDPOINT_LIST) + "".join(
        batch(number, ARRIVAL.replace("r-1", f"r-{number}")) for number in range(2, 40)
    )
    assert run_adapter(text, "1").stdout == run_adapter(text, "2").stdout


def test_a_crash_removes_the_instance() -> None:
    process = run_adapter(
        batch(1, BEGIN + ENDPOINT_LIST) + batch(2, "CRASH_NOW\ti=gateway/0\n") + batch(3, ARRIVAL)
    )
    assert process.returncode == 2
    assert "frame 3" in process.stderr
    assert "never began" in process.stderr


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        (ARRIVAL, "never began"),
        ("req=r-1\ti=gateway/0\n", "without its name"),
        (BEGIN + ENDPOINT_LIST + ARRIVAL.replace("4000000000", "soon"), "patience_left"),
        (BEGIN + "TARGETS\ti=gateway/0\tmode=F\tlist=9\tversion=1\n", "never laid out"),
        (BEGIN + ENDPOINT_LIST + "INGRESS\ti=gateway/0\tbroken\n", "name=value"),
        ("BEGIN\ti=gateway/0\tnonce64=5\tfacts={\n", "facts"),
    ],
    ids=[
        "unknown instance",
        "no name",
        "timeout is no number",
        "unknown list",
        "no value",
        "settings cut",
    ],
)
def test_malformed_input_ends_with_a_one_line_error(body: str, reason: str) -> None:
    process = run_adapter(batch(7, body))
    assert process.returncode == 2
    assert len(process.stderr.splitlines()) == 1
    assert reason in process.stderr
    assert "frame 7" in process.stderr


def test_input_that_ends_inside_a_batch_is_malformed() -> None:
    assert run_adapter("TURN\tclock=1\tframe=1\n").returncode == 2


def test_an_error_in_the_decisions_is_reported_as_a_bug() -> None:
    process = run_adapter(
        batch(1, BEGIN + ENDPOINT_LIST + ARRIVAL.replace("kind=short", "kind=unheard"))
    )
    assert process.returncode == 0
    assert "BUG\ti=gateway/0\tbody_text=ValueError: class_name" in process.stdout
    assert "Traceback" in process.stderr


def test_each_error_of_the_decisions_is_reported_under_its_built_in_type() -> None:
    """The simulator reads the names of the built-in types, not those of the project's errors."""
    typed = {
        error
        for error in vars(decisions).values()
        if isinstance(error, type) and issubclass(error, QueryBrokerError)
    }
    assert typed == set(BUILTIN_ERROR_NAMES)
    for error, name in BUILTIN_ERROR_NAMES.items():
        built_in = next(base for base in error.__mro__ if base.__module__ == "builtins")
        assert built_in.__name__ == name


@pytest.mark.parametrize(
    ("key", "value"),
    [("classes", []), ("fleet_size", 0), ("tick", None)],
    ids=["no classes", "fleet_size 0", "no tick"],
)
def test_invalid_settings_name_their_key(key: str, value: object) -> None:
    settings = {**SETTINGS, key: value}
    if value is None:
        del settings[key]
    with pytest.raises(ValueError, match=key):
        parse_settings(settings)


@pytest.mark.parametrize("key", ["effect", "group"])
def test_an_unknown_value_of_a_class_names_its_key(key: str) -> None:
    settings = {**SETTINGS, "classes": [{**SETTINGS["classes"][0], key: "odd"}]}
    with pytest.raises(ValueError, match=key):
        parse_settings(settings)
