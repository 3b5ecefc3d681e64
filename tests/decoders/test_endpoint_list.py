"""Lines of the discovery service with arbitrary values are parsed or rejected with one error class.

An event with `"capacity_hint": NaN` passed the codec and raised an exception in the decisions,
after its number had been recorded as the latest known one. The connection was dropped, and the
event was never sent again.
"""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from query_broker.discovery.event_codec import InvalidEventError, parse_line
from query_broker.dispatch.dispatcher import Dispatcher
from query_broker.log import Log
from query_broker.timer_wheel import Clock

from ..support.sockets import make_config, target_entry, topology_event
from .hostile_values import VALUES, paths_of, replaced

EVENT = topology_event(2, target_entry("s-1", 9090, model="other"), full=True)


@settings(derandomize=True, max_examples=300, deadline=None, database=None)
@given(st.sampled_from(paths_of(EVENT)), VALUES)
def test_any_value_in_any_place_is_read_or_rejected(path: tuple[Any, ...], value: Any) -> None:
    try:
        event = parse_line(json.dumps(replaced(EVENT, path, value)).encode())
    except InvalidEventError:
        return
    if not isinstance(event, int):
        Dispatcher(make_config(), Clock(), Log("n0")).endpoint_list_changed(event)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("capacity_hint", float("nan")),
        ("capacity_hint", float("inf")),
        ("boot_ms", float("inf")),
        ("boot_ms", 10**400),
        ("state", ["in_service"]),
        ("endpoint", "127.0.0.1:" + "9" * 5_000),
    ],
)
def test_a_value_out_of_range_is_rejected(key: str, value: Any) -> None:
    line = json.dumps(topology_event(2, {**target_entry("s-1", 9090), key: value})).encode()
    with pytest.raises(InvalidEventError) as caught:
        parse_line(line)
    assert len(str(caught.value)) < 200
