"""The codec of the client frames and their fields: valid, malformed and split input."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from query_broker.dispatch.validation import InvalidRequestError
from query_broker.protocols import client_frames as frames
from query_broker.protocols.client_request import parse_request

from ..support.sockets import TRACE
from .parsing import parse_in_pieces

ENCODED_FIELDS = frames.write_fields({"route": "glance", "trace": "9b"})


@pytest.mark.parametrize("step", [1, 3, 1_000])
@pytest.mark.parametrize(
    "sent",
    [
        [(frames.REQUEST, 1, ENCODED_FIELDS + b"SELECT 1")],
        [(frames.ABANDON, 7, b""), (frames.ASK_READY, 9, b"\0"), (frames.REQUEST, 2**32 - 1, b"")],
    ],
    ids=["one", "three"],
)
def test_frames_are_parsed_from_pieces_of_any_size(
    sent: list[tuple[int, int, bytes]], step: int
) -> None:
    data = b"".join(frames.frame(*sent_frame) for sent_frame in sent)
    assert parse_in_pieces(frames.FrameParser(), data, step) == sent


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
    """However they are cut, and however many of them are taken between two skims."""
    data = b"".join(frames.frame(*sent_frame) for sent_frame in sent) + rest
    parser = frames.FrameParser()
    returned = 0
    skimmed = 0

    def skim(limit: int) -> None:
        nonlocal skimmed
        for head in parser.skim(limit):
            place = max(returned, skimmed)
            assert head == sent[place][:2]
            skimmed = place + 1

    for number, start in enumerate(range(0, len(data), step)):
        parser.feed(data[start : start + step])
        for _ in range(turns[number % len(turns)]):
            returned += parser.next() is not None
        skim(turns[-1 - number % len(turns)])
    skim(len(sent))
    assert max(returned, skimmed) == len(sent)
    assert returned + sum(1 for _ in iter(parser.next, None)) == len(sent)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"\0\0\0\x04", id="length below 5"),
        pytest.param(b"\0\x04\0\x01", id="length above the maximum"),
        pytest.param(b"\xff\xff\xff\xff", id="greatest length that can be encoded"),
        pytest.param(b"\0\0\0\x05\x04", id="type 4"),
        pytest.param(b"\0\0\0\x05\0", id="type 0"),
        pytest.param(b"\0\0\0\x05\x20", id="type 32"),
    ],
)
def test_a_malformed_frame_raises_an_error_before_it_is_complete(data: bytes) -> None:
    with pytest.raises(frames.MalformedFrameError):
        parse_in_pieces(frames.FrameParser(), data, len(data))


@pytest.mark.parametrize(
    ("payload", "fields", "body"),
    [
        (b"\0", {}, b""),
        (b"\0rest", {}, b"rest"),
        (ENCODED_FIELDS + b"x", {"route": "glance", "trace": "9b"}, b"x"),
    ],
    ids=["nothing", "body alone", "fields and body"],
)
def test_the_fields_and_the_body_of_a_payload_are_read(
    payload: bytes, fields: dict[str, str], body: bytes
) -> None:
    assert frames.read_fields(payload) == (fields, body)


@pytest.mark.parametrize(
    "payload",
    [
        pytest.param(b"", id="no count"),
        pytest.param(b"\x01", id="no name"),
        pytest.param(b"\x01\x05ro", id="truncated name"),
        pytest.param(b"\x01\x01a\0", id="truncated length of a value"),
        pytest.param(b"\x01\x01a\0\x02b", id="truncated value"),
        pytest.param(b"\x01\x01\xff\0\0", id="no UTF-8"),
        pytest.param(ENCODED_FIELDS[:-1], id="truncated last value"),
        pytest.param(b"\x02\x01a\0\x01b\x01a\0\x01c", id="a name twice"),
    ],
)
def test_malformed_fields_raise_an_error(payload: bytes) -> None:
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
    ids=lambda changes: "{}: {}".format(*next(iter(changes.items()))),
)
def test_the_error_for_an_invalid_request_names_the_field(changes: dict[str, str | None]) -> None:
    fields = {
        "route": "glance",
        "trace": TRACE,
        "patience": "1500",
        "weight": "8.5",
        "ram": "96",
        **changes,
    }
    present_fields = {name: value for name, value in fields.items() if value is not None}
    with pytest.raises(InvalidRequestError) as caught:
        parse_request(frames.write_fields(present_fields) + b"SELECT 1")
    assert type(caught.value) is InvalidRequestError
    assert next(iter(changes)) in str(caught.value)
