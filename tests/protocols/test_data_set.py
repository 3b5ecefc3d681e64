"""The data set that a statement reads."""

from __future__ import annotations

import pytest

from query_broker.protocols.client_frames import MAX_FRAME_LENGTH
from query_broker.protocols.statement import MAX_SEARCHED_BYTES, data_set_of

from ..decoders.test_linear_time import shortest_time_s

#: A statement of sixteen times the searched length takes sixteen times as long without the bound.
MAX_TIME_FACTOR = 4.0


@pytest.mark.parametrize(
    ("statement", "data_set"),
    [
        pytest.param(b"SELECT * FROM sales_17.orders", 17, id="select"),
        pytest.param(b"select a.id from lake_9.events a", 9, id="lower case"),
        pytest.param(b"SELECT 1", -1, id="no table"),
        pytest.param(b"INSERT INTO ops_3.lines SELECT * FROM staging.batch", 3, id="insert"),
        pytest.param(
            b"SELECT 'from lake_0.x' -- from mart_1.old\nFROM mart_6.e", 6, id="line comment"
        ),
        pytest.param(b"/* a_1.b */ SELECT 1 FROM c_2.d", 2, id="comment"),
        pytest.param(b"SELECT 'it''s a_1.b' FROM c_2.d", 2, id="string"),
        pytest.param(b'SELECT "a_1.b" FROM "c_2"."d"', 2, id="quoted names"),
        pytest.param(b"FROM `c_2`.`d`", 2, id="names in backquotes"),
        pytest.param(b"SELECT 'open a_1.b", -1, id="open string"),
        pytest.param(b"SELECT 'it\\'s a_1.b \\", -1, id="string that breaks off after a backslash"),
        pytest.param(b"SELECT 'a_1.b\\\\' FROM c_2.d", 2, id="string that ends with a backslash"),
        pytest.param(b'SELECT "a FROM c_2.d', -1, id="open quoted name"),
        pytest.param(b"SELECT `a FROM c_2.d", -1, id="open name in backquotes"),
        pytest.param(b'FROM "c""_2" . d, "a""b" e_3.f', 3, id="doubled quotes in names"),
        pytest.param(b"", -1, id="empty"),
        pytest.param(b"\xff\0", -1, id="no UTF-8"),
    ],
)
def test_the_data_set_of_a_statement_is_read_from_its_first_table(
    statement: bytes, data_set: int
) -> None:
    assert data_set_of(statement) == data_set


@pytest.mark.parametrize(
    "part",
    [b"a.a ", b"'' ", b'"" ', b'"a".', b"``", b"/**/", b"a_1 ", b"x.a_1.b ", b"--\n", b"/", b"7,"],
)
def test_the_time_to_find_the_data_set_is_bounded_for_the_largest_statements(part: bytes) -> None:
    # Guards against statements that take tens of milliseconds each, on the only event loop.
    largest = b" _1 " + part * (MAX_FRAME_LENGTH // len(part))
    searched_s = shortest_time_s(data_set_of, largest[:MAX_SEARCHED_BYTES])
    assert shortest_time_s(data_set_of, largest) < MAX_TIME_FACTOR * searched_s


@pytest.mark.parametrize(
    ("offset", "data_set"), [(0, 17), (MAX_SEARCHED_BYTES - 100, 17), (MAX_SEARCHED_BYTES, -1)]
)
def test_the_data_set_is_looked_for_at_the_beginning_of_a_statement(
    offset: int, data_set: int
) -> None:
    assert data_set_of(b" " * offset + b"SELECT 1 FROM sales_17.orders") == data_set
