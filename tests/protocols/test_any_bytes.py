"""Any bytes, in any cut, are parsed alike on all wires."""

from __future__ import annotations

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from query_broker.discovery import event_codec
from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp

from .parsing import parse_piece

ENCODED_FIELDS = frames.write_fields({"route": "glance", "trace": "9b"})


@settings(derandomize=True, max_examples=300, deadline=None, database=None)
@given(
    st.binary(max_size=60)
    | st.lists(
        st.sampled_from(
            [
                frames.frame(frames.REQUEST, 1, ENCODED_FIELDS),
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
        (event_codec.LineParser, event_codec.InvalidEventError),
    ):
        results = []
        for size in (step, 1_000):
            parsed: list[Any] = []
            try:
                parser = parser_class()
                for start in range(0, len(data), size):
                    parse_piece(parser, data[start : start + size], parsed)
                results.append((parsed, False))
            except error_class:
                results.append((parsed, True))
        assert results[0] == results[1]
