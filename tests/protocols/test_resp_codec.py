"""The RESP codec of the engines' protocol: valid, malformed and split input."""

from __future__ import annotations

import pytest

from query_broker.protocols import resp

from .parsing import parse_in_pieces


@pytest.mark.parametrize("step", [1, 4, 1_000])
@pytest.mark.parametrize(
    "arrays",
    [
        [[b"9b", b"served", b"chunks=2,spent=41", b"a\tb\r\n"]],
        [[b"t", b"green", b"-", b""], [b""], []],
    ],
    ids=["one", "three"],
)
def test_resp_arrays_are_parsed_from_pieces_of_any_size(
    arrays: list[list[bytes]], step: int
) -> None:
    data = b"".join(resp.encode(*array) for array in arrays)
    assert parse_in_pieces(resp.RespParser(), data, step) == arrays


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"+OK\r\n", id="no array"),
        pytest.param(b"*x\r\n", id="length is no number"),
        pytest.param(b"*99\r\n", id="array too long"),
        pytest.param(b"*-1\r\n", id="null array"),
        pytest.param(b"*1\r\n:5\r\n", id="no string"),
        pytest.param(b"*1\r\n$-1\r\n", id="null string"),
        pytest.param(b"*1\r\n$999999999\r\n", id="string too long"),
        pytest.param(b"*1\r\n$1\r\nabc", id="no end of the string"),
        pytest.param(b"*" + b"1" * 40, id="endless length"),
    ],
)
def test_malformed_resp_raises_an_error(data: bytes) -> None:
    with pytest.raises(resp.MalformedAnswerError):
        parse_in_pieces(resp.RespParser(), data, 1_000)


@pytest.mark.parametrize(
    ("raw", "pairs"),
    [(b"-", {}), (b"", {}), (b"chunks=2", {"chunks": "2"}), (b"a=1,b=x=y", {"a": "1", "b": "x=y"})],
    ids=["dash", "nothing", "one", "two"],
)
def test_the_fields_of_an_answer_are_read_as_a_dictionary(
    raw: bytes, pairs: dict[str, str]
) -> None:
    assert resp.read_pairs(raw) == pairs


@pytest.mark.parametrize(
    "raw",
    [b"chunks", b"=2", b"a=1,,b=2", b"\xff=1"],
    ids=["no value", "no name", "an empty pair", "no UTF-8"],
)
def test_malformed_fields_raise_an_error(raw: bytes) -> None:
    with pytest.raises(resp.MalformedAnswerError):
        resp.read_pairs(raw)


def test_a_load_report_is_read_as_numbers() -> None:
    assert resp.read_load_report("inflight:7;util:0.61") == {"inflight": 7.0, "util": 0.61}


def test_a_load_report_with_a_value_that_is_not_a_number_raises_an_error() -> None:
    with pytest.raises(resp.MalformedAnswerError):
        resp.read_load_report("util:high")
