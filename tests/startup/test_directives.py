"""The operators' directive `start`, and the lines that `check-config` prints about it."""

from __future__ import annotations

import pytest

from query_broker.operator_config.script import OperatorFileError, run_script
from query_broker.startup.bounds import describe_bounds
from query_broker.startup.settings import StartupSettings


@pytest.mark.parametrize(
    ("text", "key"),
    [
        pytest.param("start(list_connects = 0)", "start.list_connects", id="rate of zero"),
        pytest.param("start(floor = 0)", "start.floor", id="floor of zero"),
        pytest.param("start(floor = 2)", "start.floor", id="floor above one"),
        pytest.param("start(ramp = -1)", "start.ramp", id="negative ramp"),
        pytest.param("start(rmap = 1)", "start", id="unknown option"),
        pytest.param('start(last_list = "list")', "start.last_list", id="relative path"),
        pytest.param("start()\nstart()", "start", id="directive twice"),
        pytest.param("start(accepts = 0)", "start.accepts", id="accepts of zero"),
        pytest.param(
            "start(engine_connects = True)", "start.engine_connects", id="boolean as a number"
        ),
    ],
)
def test_error_of_an_invalid_argument_names_its_key(text: str, key: str) -> None:
    with pytest.raises(OperatorFileError) as caught:
        run_script("ops.star", text, lambda: False)
    assert f": {key}: " in str(caught.value)


def test_check_config_lines_contain_the_call_windows_of_the_fleet() -> None:
    lines = describe_bounds(StartupSettings(snapshot_path="/x"), 7, 300)
    assert "place 7 of 300" in lines[0]
    assert "at 0.14 s of each" in lines[0]
    assert "6.00 s" in lines[0]
    assert any("time-out ends this stage" in line for line in lines)
    assert "/x" in lines[-1]
