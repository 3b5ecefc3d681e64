"""Golden form of the operators' directives: their arguments and what they are read as."""

from __future__ import annotations

import inspect
from pathlib import Path
from typing import Any

import pytest

from query_broker.operator_config.codec import plain_config
from query_broker.operator_config.directives import DIRECTIVES_BY_NAME
from query_broker.operator_config.script import evaluate

from .operator_file_scripts import (
    ALL_ARGUMENTS,
    ALL_ARGUMENTS_READ,
    DEFAULT_ARGUMENTS,
    DEFAULT_ARGUMENTS_READ,
)

# Each directive with its arguments in order, as `name` or `name=default`.
ARGUMENTS: dict[str, str] = {
    "epoch": "number",
    "cell": "name, weight=1.0, engines=(), zones=(), models=(), least=1, most=0, share=0.0",
    "tenant": "name, cell=None, cells=None, key=''",
    "default_cell": "name",
    "moves": "**seconds",
    "deadlines": (
        "learn=False, margin_ms=10, least_margin_ms=2, most_margin_ms=100, "
        "margin_share=0.99, count_from='last', half_close='left', slow_reader=30"
    ),
    "further_attempts": "share=0.2, burst=10, by_tenant=True, first=1.0, least_ms=100",
    "further_class": "name, share, burst",
    "logs": "format='text', stories=0.0",
    "start": (
        "list_connects=50, list_wait=10, engine_probes=20, engine_connects=100, "
        "accepts=200, contact_part=0.5, contact_wait=2, floor=0.1, ramp=8, "
        "last_list='', last_list_age=3600, installation=''"
    ),
    "members": (
        "address, key_file, installation, advertise='', seeds=(), seeds_file='', "
        "interval=1, sync=30, part=0.3333333333333333, settle=5, forget=600"
    ),
    "limit": "name, kind='tenant', rate=0",
    "limits": "lease=4, promise=6, drift=0.01, guaranteed=0.2, told=1",
    "verdicts": "observers=3, failures=2, age=10, part=0.3, hold=5, most_hold=60, told=0.5",
}


def described(parameter: inspect.Parameter) -> str:
    """A parameter as the table above has it."""
    if parameter.kind is parameter.VAR_KEYWORD:
        return f"**{parameter.name}"
    if parameter.default is parameter.empty:
        return parameter.name
    return f"{parameter.name}={parameter.default!r}"


def arguments_of(directive: str) -> str:
    """The arguments of a directive but the first, which is the script's evaluation."""
    _, *parameters = inspect.signature(DIRECTIVES_BY_NAME[directive]).parameters.values()
    return ", ".join(described(parameter) for parameter in parameters)


def test_the_directives_keep_their_names_and_arguments() -> None:
    assert {name: arguments_of(name) for name in DIRECTIVES_BY_NAME} == ARGUMENTS


def evaluated(folder: Path, script: str) -> dict[str, Any]:
    """The values of a script in the plain form in which the evaluator's process returns them."""
    path = folder / "ops.star"
    path.write_text(script)
    read = evaluate(str(path))
    assert read.cell_map is not None
    plain = plain_config(read)
    parts = ("deadlines", "logs", "start", "members", "shares", "verdicts")
    return {
        "map": plain["map"],
        "digest": read.cell_map.digest(),
        **{name: list(plain[name].values()) for name in parts if plain[name] is not None},
    }


@pytest.mark.parametrize(
    ("script", "values"),
    [
        pytest.param(ALL_ARGUMENTS, ALL_ARGUMENTS_READ, id="all arguments"),
        pytest.param(DEFAULT_ARGUMENTS, DEFAULT_ARGUMENTS_READ, id="defaults"),
    ],
)
def test_all_directives_are_read_as_their_values(
    tmp_path: Path, script: str, values: dict[str, Any]
) -> None:
    assert evaluated(tmp_path, script) == values
