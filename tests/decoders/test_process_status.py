"""Status files of other processes with arbitrary values are read or rejected with one error class.

A file with `"clients": Infinity` raised OverflowError in the timer that polls the files ten times a
second. Each time a `fault` line was logged, and the later timers of the same tick never fired.
"""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from query_broker.server.process_status import StatusFormatError, checksum, decode_status

from .hostile_values import DEEPLY_NESTED_JSON, VALUES, paths_of, replaced

STATUS: dict[str, Any] = {
    "accepting": True,
    "clients": 3,
    "words": {"s-1": [1_700_000_000_000_000_000, True]},
    "out": {"7": [2, 1_000_000, 5]},
}


def encoded(fields: Any) -> str:
    """Return the text of a file, with a valid checksum if the value can have one."""
    if not isinstance(fields, dict):
        return json.dumps(fields)
    return json.dumps({**fields, "sum": checksum(fields)})


@settings(derandomize=True, max_examples=300, deadline=None, database=None)
@given(st.sampled_from(paths_of(STATUS)), VALUES)
def test_any_value_in_any_place_is_read_or_rejected(path: tuple[Any, ...], value: Any) -> None:
    try:
        status = decode_status(encoded(replaced(STATUS, path, value)))
    except StatusFormatError:
        return
    assert 0 <= status.clients < 1 << 63
    for work in status.outstanding_work.values():
        assert all(abs(amount) < 1 << 63 for amount in work)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("clients", float("inf")),
        ("clients", float("nan")),
        ("clients", True),
        ("clients", -1),
        ("clients", 10**400),
        ("accepting", 1),
        ("words", {"s-1": [float("inf"), True]}),
        ("words", {"s-1": [1, "yes"]}),
        ("out", {"7": [1, float("inf"), 1]}),
        ("out", {"7": [1, 2, 1 << 63]}),
    ],
)
def test_a_value_of_a_wrong_type_or_out_of_range_is_rejected(key: str, value: Any) -> None:
    with pytest.raises(StatusFormatError):
        decode_status(encoded({**STATUS, key: value}))


@pytest.mark.parametrize(
    "text",
    [
        pytest.param(DEEPLY_NESTED_JSON, id="deep nesting"),
        pytest.param('{"clients": 1, "clients": 2}', id="a key twice"),
        pytest.param('{"clients": ' + "9" * 5_000 + "}", id="a number of 5,000 digits"),
    ],
)
def test_a_text_that_no_process_writes_is_rejected(text: str) -> None:
    with pytest.raises(StatusFormatError):
        decode_status(text)
