"""Parsing the lines of the discovery service: events, heartbeats and invalid lines."""

from __future__ import annotations

import json
from typing import Any

import pytest

from query_broker.decisions.events import EndpointState
from query_broker.discovery import event_codec

from ..protocols.parsing import parse_in_pieces
from ..support.sockets import target_entry, topology_event


def event_line(target: dict[str, Any]) -> bytes:
    """Return the line of an event that lists only this endpoint."""
    return json.dumps(topology_event(1, target)).encode()


def test_a_line_is_an_event_or_the_offset_of_a_heartbeat() -> None:
    line = json.dumps(
        topology_event(41, target_entry("s-1", 9090, boot_ms=1_700_000_000_123), full=True)
    ).encode()
    event = event_codec.parse_line(line)
    assert isinstance(event, event_codec.EndpointListEvent)
    assert event.offset == 41
    assert event.full
    assert event.targets[0] == event_codec.ListedEndpoint(
        "s-1",
        "127.0.0.1",
        9090,
        "east",
        "std",
        2,
        EndpointState.READY,
        8.0,
        1_700_000_000_123_000_000,
    )
    assert event_codec.parse_line(b"17") == 17


def test_lines_are_parsed_from_chunks_of_any_size_and_a_partial_line_is_kept() -> None:
    line = event_line(target_entry("s-1", 9090))
    parser = event_codec.LineParser()
    assert parse_in_pieces(parser, b"17\n" + line + b"\n18", 5) == [b"17", line]


@pytest.mark.parametrize(
    "line",
    [
        pytest.param(b"{", id="truncated JSON"),
        pytest.param(b"[]", id="a list"),
        pytest.param(b"null", id="null"),
        pytest.param(b"1.5", id="a fraction"),
        pytest.param(b"{}", id="no offset"),
        pytest.param(b'{"offset":"1"}', id="offset is a string"),
        pytest.param(b'{"offset":1,"topology":{"targets":{}}}', id="targets is not a list"),
        pytest.param(event_line(target_entry("", 1)), id="empty uid"),
        pytest.param(event_line(target_entry("s", 1, "asleep")), id="unknown state"),
        pytest.param(event_line(target_entry("s", 99_999)), id="port out of range"),
        pytest.param(b"[" * 100_000, id="deep nesting"),
        pytest.param(
            event_line(target_entry("s", 1, boot_ms="late")), id="boot_ms is not a number"
        ),
    ],
)
def test_an_invalid_line_raises_invalid_event_error(line: bytes) -> None:
    with pytest.raises(event_codec.InvalidEventError):
        event_codec.parse_line(line)
