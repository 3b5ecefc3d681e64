"""The data set that a statement reads."""

from __future__ import annotations

import pytest

from query_broker.protocols.statement import data_set_of


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
