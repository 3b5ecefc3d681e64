"""The parsers on tables of cases, each given in one piece and byte by byte."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from query_broker.decisions.events import EndpointState
from query_broker.discovery import event_codec as bus
from query_broker.dispatch.validation import InvalidRequestError
from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp
from query_broker.protocols.client_request import parse_request
from query_broker.protocols.statement import table_group

from ..support.sockets import TRACE, target_entry, topology_event

FIELDS = frames.write_fields({"route": "glance", "trace": "9b"})


def parse_piece(parser: Any, data: bytes, parsed: list[Any]) -> None:
    """Into a list, since what comes before an error counts."""
    if isinstance(parser, frames.FrameParser):
        parser.feed(data)
        while (frame := parser.next()) is not None:
            parsed.append(frame)
    else:
        for item in parser.feed(data):
            parsed.append(item)


def parse_in_steps(parser: Any, data: bytes, step: int) -> list[Any]:
    """All that the parser returns, where each piece has so many bytes."""
    parsed: list[Any] = []
    for at in range(0, len(data), step):
        parse_piece(parser, data[at : at + step], parsed)
    return parsed


@pytest.mark.parametrize("step", [1, 3, 1_000])
@pytest.mark.parametrize(
    "sent",
    [
        [(frames.REQUEST, 1, FIELDS + b"SELECT 1")],
        [(frames.ABANDON, 7, b""), (frames.ASK_READY, 9, b"\0"), (frames.REQUEST, 2**32 - 1, b"")],
    ],
)
def test_frames_are_parsed_however_they_are_cut(
    sent: list[tuple[int, int, bytes]], step: int
) -> None:
    data = b"".join(frames.frame(*sent_frame) for sent_frame in sent)
    assert parse_in_steps(frames.FrameParser(), data, step) == sent


@given(
    st.lists(
        st.tuples(
            st.sampled_from([frames.REQUEST, frames.ABANDON, frames.ASK_READY]),
            st.integers(0, 2**32 - 1),
            st.binary(max_size=9),
        ),
        max_size=12,
    ),
    st.integers(1, 40),
    st.lists(st.integers(0, 5), min_size=1, max_size=12),
    st.binary(max_size=3),
)
def test_skimming_yields_the_frames_that_still_wait_each_once(
    sent: list[tuple[int, int, bytes]], step: int, turns: list[int], rest: bytes
) -> None:
    """However they are cut, and however many of them are given out between two looks."""
    data = b"".join(frames.frame(*sent_frame) for sent_frame in sent) + rest
    parser = frames.FrameParser()
    returned = 0
    seen = 0

    def skim(most: int) -> None:
        nonlocal seen
        for head in parser.skim(most):
            place = max(returned, seen)
            assert head == sent[place][:2]
            seen = place + 1

    for number, at in enumerate(range(0, len(data), step)):
        parser.feed(data[at : at + step])
        for _ in range(turns[number % len(turns)]):
            returned += parser.next() is not None
        skim(turns[-1 - number % len(turns)])
    skim(len(sent))
    assert max(returned, seen) == len(sent)
    assert returned + sum(1 for _ in iter(parser.next, None)) == len(sent)


@pytest.mark.parametrize(
    "data",
    [
        b"\0\0\0\x04",
        b"\0\x04\0\x01",
        b"\xff\xff\xff\xff",
        b"\0\0\0\x05\x04",
        b"\0\0\0\x05\0",
        b"\0\0\0\x05\x20",
    ],
)
def test_a_malformed_frame_is_an_error_before_the_rest_of_it_is_there(data: bytes) -> None:
    with pytest.raises(frames.MalformedFrameError):
        parse_in_steps(frames.FrameParser(), data, len(data))


@pytest.mark.parametrize(
    ("payload", "fields", "body"),
    [
        (b"\0", {}, b""),
        (b"\0rest", {}, b"rest"),
        (FIELDS + b"x", {"route": "glance", "trace": "9b"}, b"x"),
    ],
)
def test_fields_and_body_of_a_payload(payload: bytes, fields: dict[str, str], body: bytes) -> None:
    assert frames.read_fields(payload) == (fields, body)


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        b"\x01",
        b"\x01\x05ro",
        b"\x01\x01a\0",
        b"\x01\x01a\0\x02b",
        b"\x01\x01\xff\0\0",
        FIELDS[:-1],
        b"\x02\x01a\0\x01b\x01a\0\x01c",
    ],
)
def test_unreadable_fields_are_an_error(payload: bytes) -> None:
    with pytest.raises(frames.MalformedFrameError):
        frames.read_fields(payload)


@pytest.mark.parametrize(
    "changes",
    [
        {"route": None},
        {"trace": None},
        {"trace": "xyz"},
        {"trace": TRACE + "0"},
        {"patience": None},
        {"patience": "soon"},
        {"patience": "nan"},
        {"patience": "-1"},
        {"patience": "inf"},
        {"weight": "much"},
        {"weight": "-3"},
        {"ram": "1e999"},
        {"redo": "yes"},
    ],
)
def test_an_unusable_request_names_the_field(changes: dict[str, str | None]) -> None:
    base = {
        "route": "glance",
        "trace": TRACE,
        "patience": "1500",
        "weight": "8.5",
        "ram": "96",
        **changes,
    }
    with pytest.raises(InvalidRequestError) as caught:
        parse_request(
            frames.write_fields({name: value for name, value in base.items() if value is not None})
            + b"SELECT 1"
        )
    assert type(caught.value) is InvalidRequestError
    assert next(iter(changes)) in str(caught.value)


@pytest.mark.parametrize("step", [1, 4, 1_000])
@pytest.mark.parametrize(
    "arrays",
    [
        [[b"9b", b"served", b"chunks=2,spent=41", b"a\tb\r\n"]],
        [[b"t", b"green", b"-", b""], [b""], []],
    ],
)
def test_resp_arrays_are_parsed_however_they_are_cut(arrays: list[list[bytes]], step: int) -> None:
    assert (
        parse_in_steps(resp.RespParser(), b"".join(resp.encode(*array) for array in arrays), step)
        == arrays
    )


@pytest.mark.parametrize(
    "data",
    [
        b"+OK\r\n",
        b"*x\r\n",
        b"*99\r\n",
        b"*-1\r\n",
        b"*1\r\n:5\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$999999999\r\n",
        b"*1\r\n$1\r\nabc",
        b"*" + b"1" * 40,
    ],
)
def test_malformed_resp_is_an_error(data: bytes) -> None:
    with pytest.raises(resp.MalformedAnswerError):
        parse_in_steps(resp.RespParser(), data, 1_000)


@pytest.mark.parametrize(
    ("raw", "pairs"),
    [(b"-", {}), (b"", {}), (b"chunks=2", {"chunks": "2"}), (b"a=1,b=x=y", {"a": "1", "b": "x=y"})],
)
def test_fields_of_an_engine(raw: bytes, pairs: dict[str, str]) -> None:
    assert resp.read_pairs(raw) == pairs


def test_malformed_fields_and_load_reports_are_an_error() -> None:
    for raw in (b"chunks", b"=2", b"a=1,,b=2", b"\xff=1"):
        with pytest.raises(resp.MalformedAnswerError):
            resp.read_pairs(raw)
    assert resp.read_load_report("inflight:7;util:0.61") == {"inflight": 7.0, "util": 0.61}
    with pytest.raises(resp.MalformedAnswerError):
        resp.read_load_report("util:high")


@pytest.mark.parametrize(
    ("statement", "group"),
    [
        (b"SELECT * FROM sales_17.orders", 17),
        (b"select a.id from lake_9.events a", 9),
        (b"SELECT 1", -1),
        (b"INSERT INTO ops_3.lines SELECT * FROM staging.batch", 3),
        (b"SELECT 'from lake_0.x' -- from mart_1.old\nFROM mart_6.e", 6),
        (b"/* a_1.b */ SELECT 1 FROM c_2.d", 2),
        (b"SELECT 'it''s a_1.b' FROM c_2.d", 2),
        (b'SELECT "a_1.b" FROM "c_2"."d"', 2),
        (b"FROM `c_2`.`d`", 2),
        (b"SELECT 'open a_1.b", -1),
        (b"", -1),
        (b"\xff\0", -1),
    ],
)
def test_the_group_of_tables_of_a_statement(statement: bytes, group: int) -> None:
    assert table_group(statement) == group


def test_bus_lines() -> None:
    line = json.dumps(
        topology_event(41, target_entry("s-1", 9090, boot_ms=1_700_000_000_123), full=True)
    ).encode()
    parsed = bus.parse_line(line)
    assert isinstance(parsed, bus.EndpointListEvent)
    assert parsed.offset == 41
    assert parsed.full
    endpoint = parsed.targets[0]
    assert endpoint == bus.ListedEndpoint(
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
    assert bus.parse_line(b"17") == 17
    assert parse_in_steps(bus.LineParser(), b"17\n" + line + b"\n18", 5) == [b"17", line]


@pytest.mark.parametrize(
    "line",
    [
        b"{",
        b"[]",
        b"null",
        b"1.5",
        b"{}",
        b'{"offset":"1"}',
        b'{"offset":1,"topology":{"targets":{}}}',
        json.dumps(topology_event(1, target_entry("", 1))).encode(),
        json.dumps(topology_event(1, target_entry("s", 1, "asleep"))).encode(),
        json.dumps(topology_event(1, target_entry("s", 99_999))).encode(),
        b"[" * 100_000,
        json.dumps(topology_event(1, target_entry("s", 1, boot_ms="late"))).encode(),
    ],
)
def test_bad_bus_lines(line: bytes) -> None:
    with pytest.raises(bus.InvalidEventError):
        bus.parse_line(line)


@settings(derandomize=True, max_examples=300, deadline=None, database=None)
@given(
    st.binary(max_size=60)
    | st.lists(
        st.sampled_from(
            [
                frames.frame(frames.REQUEST, 1, FIELDS),
                frames.frame(frames.ASK_READY, 3, b"\0"),
                b"\0\0\0",
                b"*4\r\n$1\r\nt\r\n",
                b"$6\r\nserved\r\n",
                b"$-1\r\n",
                b"{}\n",
                b"17\n",
                b"\xff",
            ]
        )
    ).map(b"".join),
    st.integers(1, 9),
)
def test_any_bytes_are_read_or_an_error_alike_however_they_are_cut(data: bytes, step: int) -> None:
    """No input may raise anything but the parser's own error."""
    for parser_class, error_class in (
        (frames.FrameParser, frames.MalformedFrameError),
        (resp.RespParser, resp.MalformedAnswerError),
        (bus.LineParser, bus.InvalidEventError),
    ):
        results = []
        for size in (step, 1_000):
            parsed: list[Any] = []
            try:
                parser = parser_class()
                for at in range(0, len(data), size):
                    parse_piece(parser, data[at : at + size], parsed)
                results.append((parsed, False))
            except error_class:
                results.append((parsed, True))
        assert results[0] == results[1]
