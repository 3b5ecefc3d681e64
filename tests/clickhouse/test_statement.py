"""Classification of statements, and parsing of insert tables, settings and formats."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from query_broker.clickhouse.statement import Statement, StatementKind, parse_statement

STATEMENTS = [
    ("SELECT 1", "SELECT", StatementKind.READ),
    ("  select 1 -- x", "SELECT", StatementKind.READ),
    ("/* INSERT */ SELECT 1", "SELECT", StatementKind.READ),
    ("-- INSERT\nSELECT 1", "SELECT", StatementKind.READ),
    ("#! x\nSELECT 1", "SELECT", StatementKind.READ),
    ("((SELECT 1) UNION ALL SELECT 2)", "SELECT", StatementKind.READ),
    ("WITH x AS (SELECT 1) SELECT * FROM x", "WITH", StatementKind.READ),
    ("WITH 'INSERT' AS x SELECT x", "WITH", StatementKind.READ),
    ("WITH x AS (SELECT 1) INSERT INTO t SELECT * FROM x", "WITH", StatementKind.WRITE),
    ("SHOW TABLES", "SHOW", StatementKind.READ),
    ("DESCRIBE t", "DESCRIBE", StatementKind.READ),
    ("EXPLAIN SELECT 1", "EXPLAIN", StatementKind.READ),
    ("INSERT INTO t VALUES (1)", "INSERT", StatementKind.WRITE),
    ("SET max_threads = 1", "SET", StatementKind.SESSION),
    ("USE tickets", "USE", StatementKind.SESSION),
    ("SET ROLE a", "SET", StatementKind.CHANGE),
    ("CREATE TEMPORARY TABLE t (a Int8)", "CREATE", StatementKind.SESSION),
    ("CREATE OR REPLACE TEMPORARY TABLE t (a Int8)", "CREATE", StatementKind.CHANGE),
    ("CREATE TABLE t (a Int8)", "CREATE", StatementKind.CHANGE),
    ("DROP TEMPORARY TABLE t", "DROP", StatementKind.SESSION),
    ("ALTER TABLE t DELETE WHERE 1", "ALTER", StatementKind.CHANGE),
    ("SYSTEM FLUSH LOGS", "SYSTEM", StatementKind.CHANGE),
    ("KILL QUERY WHERE 1", "KILL", StatementKind.CHANGE),
    ("", "", StatementKind.UNKNOWN),
    ("/* open", "", StatementKind.UNKNOWN),
    ("42", "", StatementKind.UNKNOWN),
    ("'SELECT'", "", StatementKind.UNKNOWN),
]


@pytest.mark.parametrize(
    ("text", "expected_verb", "kind"),
    STATEMENTS,
    ids=[text or "empty" for text, _, _ in STATEMENTS],
)
def test_a_statement_is_classified_by_its_first_words(
    text: str, expected_verb: str, kind: StatementKind
) -> None:
    statement = parse_statement(text)
    assert (statement.verb, statement.kind) == (expected_verb, kind)


@pytest.mark.parametrize(
    ("text", "table"),
    [
        ("INSERT INTO t VALUES (1)", "t"),
        ("insert into `a b`.t format CSV", "`a b`.t"),
        ("INSERT INTO TABLE db.t SELECT 1", "db.t"),
        ("INSERT INTO FUNCTION file('x') SELECT 1", ""),
        ("INSERT t VALUES", "t"),
    ],
)
def test_the_table_of_an_insert_is_parsed(text: str, table: str) -> None:
    assert parse_statement(text).table == table


def test_settings_and_format_are_parsed_outside_brackets_and_strings() -> None:
    statement = parse_statement(
        "SELECT 'FORMAT x', (SELECT 1 SETTINGS a = 1) SETTINGS max_threads = 2, b = 'o\\'k' "
        "FORMAT TSV"
    )
    assert dict(statement.settings) == {"max_threads": "2", "b": "o'k"}
    assert statement.format == "TSV"


@given(st.text(max_size=300))
def test_no_statement_raises(text: str) -> None:
    assert parse_statement(text).kind in StatementKind


def test_a_very_long_statement_is_classified_by_its_beginning() -> None:
    assert parse_statement("SELECT 1 " + "x" * 1_000_000).kind is StatementKind.READ
    assert Statement("SELECT", StatementKind.READ) == parse_statement("SELECT 1")
