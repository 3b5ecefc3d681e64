"""Golden form of what the encoders of the clients' and the engines' protocol write."""

from __future__ import annotations

import pytest

from query_broker.protocols import client_frames as frames
from query_broker.protocols import resp


@pytest.mark.parametrize(
    ("encoded", "wire"),
    [
        pytest.param(
            frames.answer(1, frames.SERVED, {}, b"a\tb\tc\n"),
            b"\x00\x00\x00\x0d\x04\x00\x00\x00\x01\x00\x00a\tb\tc\n",
            id="served",
        ),
        pytest.param(
            frames.answer(258, frames.REFUSED, {"pause": "250"}),
            b"\x00\x00\x00\x12\x04\x00\x00\x01\x02\x01\x01\x05pause\x00\x03250",
            id="rejected",
        ),
        pytest.param(
            frames.answer(7, frames.FAILED, {}, b"no"),
            b"\x00\x00\x00\x09\x04\x00\x00\x00\x07\x02\x00no",
            id="failed",
        ),
        pytest.param(
            frames.answer(0, frames.FAILED, {}, b""),
            b"\x00\x00\x00\x07\x04\x00\x00\x00\x00\x02\x00",
            id="failed on no stream",
        ),
        pytest.param(
            frames.ready(9, True), b"\x00\x00\x00\x07\x20\x00\x00\x00\x09\x00\x00", id="ready"
        ),
        pytest.param(
            frames.ready(9, False), b"\x00\x00\x00\x07\x20\x00\x00\x00\x09\x01\x00", id="not ready"
        ),
        pytest.param(
            frames.frame(frames.NO_MORE, 0), b"\x00\x00\x00\x05\x40\x00\x00\x00\x00", id="no more"
        ),
        pytest.param(
            frames.write_fields({"a": "b", "ä": ""}),
            b"\x02\x01a\x00\x01b\x02\xc3\xa4\x00\x00",
            id="fields",
        ),
        pytest.param(
            resp.encode(b"do", b"", b"x y"),
            b"*3\r\n$2\r\ndo\r\n$0\r\n\r\n$3\r\nx y\r\n",
            id="array",
        ),
        pytest.param(
            resp.write_pairs({"cls": "glance", "limit": 5}), b"cls=glance,limit=5", id="pairs"
        ),
        pytest.param(resp.write_pairs({}), b"-", id="no pairs"),
    ],
)
def test_a_message_is_encoded_as_these_bytes(encoded: bytes, wire: bytes) -> None:
    assert encoded == wire


def test_a_large_statement_is_a_piece_of_its_own() -> None:
    statement = b"s" * 5_000
    assert resp.pieces(b"do", statement) == (
        b"*2\r\n$2\r\ndo\r\n$5000\r\n",
        statement,
        b"\r\n",
    )
