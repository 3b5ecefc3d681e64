"""The ClickHouse interface without input or output: heads, statements, rules, sessions, errors."""

from __future__ import annotations

import base64
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from query_broker.clickhouse import sessions as sessions_
from query_broker.clickhouse.errors import (
    EXCEPTION_CODE_HEADER,
    SESSION_NOT_FOUND,
    TOO_MANY_SIMULTANEOUS_QUERIES,
    QueryError,
)
from query_broker.clickhouse.relay import FaultOutcome, Relay, RelayAction, RelayState, ResponseHead
from query_broker.clickhouse.request import read_head, redacted_url, statement_text
from query_broker.clickhouse.rules import NamedPattern, RequestFacts, Rule, RuleError, Rules
from query_broker.clickhouse.sessions import Sessions
from query_broker.clickhouse.statement import Statement, StatementKind, parse_statement

S = 1_000_000_000

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


@pytest.mark.parametrize(("text", "first", "does"), STATEMENTS)
def test_a_statement_s_first_words(text: str, first: str, does: StatementKind) -> None:
    found = parse_statement(text)
    assert (found.verb, found.kind) == (first, does)


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
def test_the_table_of_an_insert(text: str, table: str) -> None:
    assert parse_statement(text).table == table


def test_settings_and_format_outside_brackets_and_strings() -> None:
    found = parse_statement(
        "SELECT 'FORMAT x', (SELECT 1 SETTINGS a = 1) SETTINGS max_threads = 2, b = 'o\\'k' "
        "FORMAT TSV"
    )
    assert dict(found.settings) == {"max_threads": "2", "b": "o'k"}
    assert found.format == "TSV"


@given(st.text(max_size=300))
def test_no_statement_raises(text: str) -> None:
    assert parse_statement(text).kind in StatementKind


# --- heads ---


def test_a_head_says_who_asks_what_and_how() -> None:
    said = read_head(
        b"/?query=SELECT+1&database=d&max_threads=2&param_a=x&session_id=s&session_timeout=9"
        b"&wait_end_of_query=1&query_id=q1",
        [("X-ClickHouse-User", "ann"), ("X-ClickHouse-Key", "k")],
    )
    assert (said.user, said.password, said.database, said.query) == ("ann", "k", "d", "SELECT 1")
    assert said.settings == {"max_threads": "2"}
    assert said.statement_parameters == {"a": "x"}
    assert said.session_timeout_ns == 9 * S
    assert said.wait_end_of_query
    assert said.query_id == "q1"
    basic = base64.b64encode(b"bob:se:cret").decode()
    told = read_head(b"/", [("authorization", f"Basic {basic}"), ("x-clickhouse-format", "JSON")])
    assert (told.user, told.password, told.default_format) == ("bob", "se:cret", "JSON")
    assert read_head(b"/ping", []).user == "default"


@pytest.mark.parametrize(
    ("url", "headers", "problem"),
    [
        (b"/?a=1&a=2", [], "comes twice"),
        (b"/?query=%ff", [], "cannot be read"),
        (b"/?session_timeout=x", [], "session_timeout"),
        (b"/?session_check=2", [], "session_check"),
        (b"/?a%20b=1", [], "no name of a setting"),
        (b"/?query_id=" + b"x" * 201, [], "query_id"),
        (b"/?user=a", [("X-ClickHouse-User", "b")], "more than one way"),
        (b"/", [("Authorization", "Bearer x")], "Authorization"),
        (b"/", [("Authorization", "Basic !")], "Authorization"),
        (b"/" + b"a" * 70_000, [], "longer than"),
    ],
)
def test_a_head_that_cannot_be_is_an_error_that_tells_no_secret(
    url: bytes, headers: list[tuple[str, str]], problem: str
) -> None:
    with pytest.raises(QueryError, match=problem):
        read_head(url, headers)
    assert redacted_url("/?password=hidden&query=1") == "/?password=***&query=1"


def test_the_statement_stands_in_the_url_the_body_or_both() -> None:
    assert statement_text(read_head(b"/?query=INSERT+INTO+t+FORMAT+CSV", []), b"1\n2", "POST") == (
        b"INSERT INTO t FORMAT CSV\n1\n2"
    )
    assert statement_text(read_head(b"/", []), b"SELECT 1", "POST") == b"SELECT 1"
    for body, method in ((b"", "GET"), (b" \n", "POST")):
        with pytest.raises(QueryError):
            statement_text(read_head(b"/", []), body, method)


def test_errors_keep_the_interface_s_form() -> None:
    fault = QueryError(TOO_MANY_SIMULTANEOUS_QUERIES, "come\nback later", retry_after_s=0.2)
    assert (
        fault.body()
        == b"Code: 202. DB::Exception: come back later. (TOO_MANY_SIMULTANEOUS_QUERIES)\n"
    )
    assert fault.headers() == [(EXCEPTION_CODE_HEADER, "202"), ("Retry-After", "1")]
    assert dict(QueryError(SESSION_NOT_FOUND, "x").headers()) == {EXCEPTION_CODE_HEADER: "372"}


# --- rules ---

CLASSES = {"glance": 5 * S, "report": 20 * S, "load": 25 * S}
BY_DOES = {
    StatementKind.READ: "glance",
    StatementKind.WRITE: "load",
    StatementKind.CHANGE: "load",
    StatementKind.SESSION: "glance",
    StatementKind.UNKNOWN: "report",
}


def seen(text: str = "SELECT 1", **more: Any) -> RequestFacts:
    base: dict[str, Any] = {
        "user": "ann",
        "path": "/",
        "database": "",
        "settings": {},
        "headers": {},
    }
    return RequestFacts(statement=parse_statement(text), **{**base, **more})


def test_each_part_is_what_the_first_rule_that_names_it_says() -> None:
    rules = Rules(
        CLASSES,
        BY_DOES,
        (
            Rule(user="fin*", class_name="report", pool="big"),
            Rule(database="t?", tenant="likoni", timeout_ms=3_000),
            Rule(user="fin*", class_name="load", cell="b"),
            Rule(settings=(NamedPattern("priority", "1*"),), cell="a"),
            Rule(headers=(NamedPattern("x-desk", "lamu"),), tenant="lamu"),
            Rule(verbs=("KILL",), denial="not here"),
        ),
    )
    went = rules.route(seen(user="finance", database="t1", settings={"priority": "10"}))
    assert (went.class_name, went.pool, went.cell, went.tenant, went.timeout_ns) == (
        "report",
        "big",
        "b",
        "likoni",
        3 * S,
    )
    assert rules.route(seen(headers={"x-desk": "lamu"})).tenant == "lamu"
    assert rules.route(seen("KILL QUERY WHERE 1")).denial == "not here"
    assert not rules.route(seen()).denial


def test_patience_is_the_least_of_class_rule_and_client() -> None:
    rules = Rules(CLASSES, BY_DOES)
    for said, patience in (("2.5", 2.5), ("0", 5), ("60", 5), ("x", 5), ("nan", 5), ("-1", 5)):
        assert rules.route(seen(settings={"max_execution_time": said})).timeout_ns == patience * S


def test_an_insert_is_unsafe_unless_a_token_or_an_id_makes_it_keyed() -> None:
    rules = Rules(
        CLASSES,
        BY_DOES,
        query_id_is_idempotency_key=True,
        tenants=frozenset({"acme"}),
        default_tenant="acme",
    )
    went = rules.route(seen("INSERT INTO t VALUES (1)"))
    assert not went.has_idempotency_key
    assert not went.idempotent
    assert went.tenant == "acme"
    assert went.class_name == "load"
    assert rules.route(
        seen("INSERT INTO t VALUES (1)", settings={"insert_deduplication_token": "x"})
    ).has_idempotency_key
    assert rules.route(seen("INSERT INTO t VALUES (1)"), "q1").has_idempotency_key
    # that runs twice all the same
    assert not rules.route(seen("ALTER TABLE t DELETE WHERE 1"), "q1").has_idempotency_key
    assert rules.route(seen()).idempotent


@pytest.mark.parametrize(
    "make",
    [
        lambda: Rule(user="a"),
        lambda: Rule(class_name="x", timeout_ms=-1),
        lambda: Rule(verbs=("kill",), denial="x"),
        lambda: Rules(CLASSES, BY_DOES, (Rule(class_name="nowhere"),)),
        lambda: Rules(CLASSES, {StatementKind.READ: "glance"}),
        lambda: Rules({}, BY_DOES),
    ],
)
def test_rules_that_cannot_be_name_their_key(make: Any) -> None:
    with pytest.raises(RuleError, match="^[a-z_.]+: "):
        make()


# --- sessions ---


def test_a_session_sticks_and_one_whose_engine_is_gone_is_told_so() -> None:
    held = Sessions()
    one = held.begin("ann", "s", 0)
    with pytest.raises(QueryError, match="locked"):
        held.begin("ann", "s", 1)
    held.begin("bob", "s", 1)  # another user's is another session
    held.bind(one, 7, leaves_state=True)
    held.end(one, S)
    assert held.begin("ann", "s", 2 * S, must_exist=True) is one
    assert one.engine == 7
    held.end(one, 2 * S)
    assert held.engine_removed(7) == [one]
    with pytest.raises(QueryError, match="has gone"):
        held.begin("ann", "s", 3 * S)
    again = held.begin("ann", "s", 3 * S)  # it has been told: from here on it is a new one
    assert again is not one
    assert again.engine is None


def test_a_session_that_left_nothing_behind_goes_elsewhere() -> None:
    held = Sessions()
    one = held.begin("ann", "s", 0)
    held.bind(one, 7, leaves_state=False)
    held.end(one, 0)
    assert held.engine_removed(7) == []
    assert held.begin("ann", "s", 1) is one
    assert one.engine is None


def test_sessions_expire_and_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    held = Sessions()
    one = held.begin("ann", "s", 0, timeout_ns=2 * S)
    held.end(one, 0)
    with pytest.raises(QueryError, match="not found"):
        held.begin("ann", "s", 2 * S, must_exist=True)
    for bad in (-1, 9_999 * S):
        with pytest.raises(QueryError, match="session_timeout"):
            held.begin("ann", "t", 0, timeout_ns=bad)
    with pytest.raises(QueryError, match="session_id"):
        held.begin("ann", "x" * 201, 0)
    monkeypatch.setattr(sessions_, "MAX_SESSIONS", 5)
    for i in range(20):
        held.end(held.begin("ann", f"i{i}", 10 * S + i), 10 * S + i)
    assert len(held.by_key) <= 5
    assert held.expire(10_000 * S) == len(held.by_key) + 5
    assert not held.by_key
    assert not held.by_engine


def test_statements_are_read_no_further_than_they_decide() -> None:
    assert parse_statement("SELECT 1 " + "x" * 1_000_000).kind is StatementKind.READ
    assert Statement("SELECT", StatementKind.READ) == parse_statement("SELECT 1")


# --- results on their way ---


def kinds(relay: Relay) -> list[RelayAction]:
    return [act for act, _ in relay.take_steps()]


def test_until_a_byte_has_gone_another_attempt_may_take_the_place() -> None:
    relay = Relay(wait_for_end=True)
    relay.head_received(ResponseHead(200))
    relay.body_received(b"half")
    assert relay.attempt_failed() is FaultOutcome.RETRY
    assert not relay.take_steps()
    assert relay.state is RelayState.WAITING
    relay.head_received(ResponseHead(200))
    relay.body_received(b"whole")
    assert relay.body_ended()
    assert relay.take_steps() == [
        (RelayAction.SEND_HEAD, b""),
        (RelayAction.SEND_BODY, b"whole"),
        (RelayAction.SEND_END, b""),
    ]
    assert relay.attempt_failed() is FaultOutcome.ALREADY_ENDED


def test_once_it_flows_a_fault_is_shown_and_never_repeated() -> None:
    relay = Relay()
    relay.head_received(ResponseHead(200))
    relay.body_received(b"a")
    assert relay.attempt_failed() is FaultOutcome.FAILED
    assert kinds(relay) == [
        RelayAction.SEND_HEAD,
        RelayAction.SEND_BODY,
        RelayAction.ABORT,
    ]
    with pytest.raises(AssertionError):
        relay.restart()
    relay.body_received(b"b")
    assert not relay.body_ended()
    assert not relay.take_steps()


def test_a_result_that_says_itself_that_it_broke_is_no_result() -> None:
    for wait_end, fate in ((True, RelayState.WAITING), (False, RelayState.BROKEN)):
        relay = Relay(wait_for_end=wait_end)
        relay.head_received(ResponseHead(200))
        relay.body_received(b"1\t2\n__exce")
        relay.body_received(b"ption__\nCode: 241\n")
        assert not relay.body_ended()
        assert relay.state is fate
    held = Relay()
    held.head_received(ResponseHead(200))
    held.body_received(b"a row with __exception__ in it\n")
    assert held.body_ended()


def test_what_is_held_is_bounded_and_then_flows() -> None:
    relay = Relay(wait_for_end=True, max_buffered_bytes=10)
    relay.head_received(ResponseHead(200))
    relay.body_received(b"x" * 8)
    assert not relay.take_steps()
    relay.body_received(b"x" * 8)
    assert kinds(relay) == [RelayAction.SEND_HEAD, RelayAction.SEND_BODY, RelayAction.SEND_BODY]
    assert relay.overflowed
    assert relay.buffered_bytes == 0


def test_an_error_of_the_engine_is_not_shown_while_another_may_do_better() -> None:
    relay = Relay()
    relay.head_received(ResponseHead(500))
    relay.body_received(b"Code: 241")
    assert not relay.take_steps()
    assert relay.attempt_failed() is FaultOutcome.RETRY
    assert relay.give_up() is FaultOutcome.FAILED
    assert kinds(relay) == [RelayAction.SEND_ERROR]


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["data", "gone", "fault", "end", "again", "left"]),
            st.integers(0, 400_000),
        ),
        max_size=40,
    ),
    st.booleans(),
)
def test_memory_is_bounded_and_the_client_gets_one_end(
    steps: list[tuple[str, int]], wait_end: bool
) -> None:
    relay, sent, ends, gone = Relay(wait_for_end=wait_end, max_buffered_bytes=100_000), 0, 0, False
    relay.head_received(ResponseHead(200))
    for word, number in steps:
        if word == "data" and not relay.paused:
            relay.body_received(b"x" * number)
        elif word == "gone":
            relay.bytes_written(number)
        elif word == "fault":
            relay.attempt_failed()
        elif word == "end":
            relay.body_ended()
        elif word == "left":
            relay.client_left()
            gone = True
        if relay.state is RelayState.WAITING:
            relay.head_received(ResponseHead(200))
        for act, data in relay.take_steps():
            assert not gone or act is RelayAction.RESUME
            assert not ends or act in (RelayAction.RESUME, RelayAction.PAUSE)
            sent += len(data)
            ends += act in (RelayAction.SEND_END, RelayAction.ABORT, RelayAction.SEND_ERROR)
        assert relay.buffered_bytes <= 100_000
        assert relay.unread_bytes <= 262_144 + 800_000
    assert ends <= 1
    assert sent <= relay.passed_bytes
