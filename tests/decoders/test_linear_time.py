"""The time that parsers need grows with the length of their input, not with its square."""

from __future__ import annotations

import time
from collections.abc import Callable

import pytest

from query_broker.clickhouse.statement import parse_statement
from query_broker.protocols.statement import data_set_of

SHORT_BYTES = 4_000
#: Input that is four times as long takes four times as long to parse, or sixteen times as long
#: where the time grows with the square.
LENGTH_FACTOR = 4
MAX_TIME_FACTOR = 8.0
ROUNDS = 7

#: A beginning, a part that is repeated, and an end: statements that break off within a token.
BROKEN_STATEMENTS = [
    pytest.param(b"'", b"it\\'s ", b"\\", id="string after a backslash"),
    pytest.param(b"'", b"it\\'s ", b"", id="string with escaped quotes"),
    pytest.param(b"'", b"it''s ", b"", id="string with doubled quotes"),
    pytest.param(b"'", b"it''s ", b"\\", id="string with doubled quotes, after a backslash"),
    pytest.param(b"'", b"\\\\", b"\\", id="string of backslashes"),
    pytest.param(b'"', b'a""b ', b"", id="quoted name with doubled quotes"),
    pytest.param(b'"', b'""', b"", id="double quotes"),
    pytest.param(b"", b"`a` ", b"`", id="name in backquotes"),
    pytest.param(b"/*", b"/* 'a ", b"", id="comment with beginnings of comments"),
    pytest.param(b"/*", b"* ", b"*", id="comment of asterisks"),
    pytest.param(b"--", b"-- ' ", b"", id="line comment"),
    pytest.param(b"a", b" ", b"", id="white space after a name"),
    pytest.param(b"a.", b" ", b"", id="white space after a dot"),
    pytest.param(b"", b"a ", b"", id="names"),
    pytest.param(b"", b"a.", b"", id="names with dots"),
    pytest.param(b"", b"a", b"", id="long name"),
    pytest.param(b"a_", b"1", b"", id="long number"),
    pytest.param(b'"a"', b" ", b"", id="white space after a quoted name"),
    pytest.param(b"", b"(", b"", id="brackets"),
    pytest.param(b"", b"SETTINGS a = ", b"", id="settings"),
]


def parse_text(statement: bytes) -> object:
    """Parse a statement of the second client protocol, which is text."""
    return parse_statement("SELECT " + statement.decode())


def shortest_time_s(parse: Callable[[bytes], object], data: bytes) -> float:
    """Return the shortest of several measured processor times."""
    times_s = []
    for _ in range(ROUNDS):
        begin_s = time.thread_time()
        parse(data)
        times_s.append(time.thread_time() - begin_s)
    return min(times_s)


@pytest.mark.parametrize("parse", [data_set_of, parse_text])
@pytest.mark.parametrize(("begin", "part", "end"), BROKEN_STATEMENTS)
def test_a_statement_that_breaks_off_within_a_token_is_parsed_in_linear_time(
    parse: Callable[[bytes], object], begin: bytes, part: bytes, end: bytes
) -> None:
    # Guards against one client's statement of 100 kB that stops the process for over 20 s.
    count = SHORT_BYTES // len(part)
    short_s = shortest_time_s(parse, begin + part * count + end)
    long_s = shortest_time_s(parse, begin + part * (count * LENGTH_FACTOR) + end)
    assert long_s < MAX_TIME_FACTOR * short_s
