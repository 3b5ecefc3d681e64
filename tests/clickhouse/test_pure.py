"""The ClickHouse interface without input or output: heads, statements, rules, sessions, errors."""

from __future__ import annotations

import base64
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from query_broker.clickhouse import sessions as sessions_
from query_broker.clickhouse.errors import (
    HEADER,
    SESSION_NOT_FOUND,
    TOO_MANY_SIMULTANEOUS_QUERIES,
    QueryError,
)
from query_broker.clickhouse.relay import FaultOutcome, Relay, RelayAction, RelayState, ResponseHead
from query_broker.clickhouse.request import read as read_head
from query_broker.clickhouse.request import shown, statement
from query_broker.clickhouse.rules import RequestFacts, Rule, RuleError, Rules
from query_broker.clickhouse.sessions import Sessions
from query_broker.clickhouse.statement import Statement, StatementKind, read

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
    found = read(text)
    assert (found.first, found.does) == (first, does)


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
    assert read(text).table == table


def test_settings_and_format_outside_brackets_and_strings() -> None:
    found = read(
        "SELECT 'FORMAT x', (SELECT 1 SETTINGS a = 1) SETTINGS max_threads = 2, b = 'o\\'k' "
        "FORMAT TSV"
    )
    assert dict(found.settings) == {"max_threads": "2", "b": "o'k"}
    assert found.format == "TSV"


@given(st.text(max_size=300))
def test_no_statement_raises(text: str) -> None:
    assert read(text).does in StatementKind


# --- heads ---


def test_a_head_says_who_asks_what_and_how() -> None:
    said = read_head(
        b"/?query=SELECT+1&database=d&max_threads=2&param_a=x&session_id=s&session_timeout=9"
        b"&wait_end_of_query=1&query_id=q1",
        [("X-ClickHouse-User", "ann"), ("X-ClickHouse-Key", "k")],
    )
    assert (said.user, said.password, said.database, said.query) == ("ann", "k", "d", "SELECT 1")
    assert said.settings == {"max_threads": "2"}
    assert said.params == {"a": "x"}
    assert said.session_timeout == 9 * S
    assert said.wait_end_of_query
    assert said.query_id == "q1"
    basic = base64.b64encode(b"bob:se:cret").decode()
    told = read_head(b"/", [("authorization", f"Basic {basic}"), ("x-clickhouse-format", "JSON")])
    assert (told.user, told.password, told.format) == ("bob", "se:cret", "JSON")
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
    assert shown("/?password=hidden&query=1") == "/?password=***&query=1"


def test_the_statement_stands_in_the_url_the_body_or_both() -> None:
    assert statement(read_head(b"/?query=INSERT+INTO+t+FORMAT+CSV", []), b"1\n2", "POST") == (
        b"INSERT INTO t FORMAT CSV\n1\n2"
    )
    assert statement(read_head(b"/", []), b"SELECT 1", "POST") == b"SELECT 1"
    for body, method in ((b"", "GET"), (b" \n", "POST")):
        with pytest.raises(QueryError):
            statement(read_head(b"/", []), body, method)


def test_errors_keep_the_interface_s_form() -> None:
    fault = QueryError(TOO_MANY_SIMULTANEOUS_QUERIES, "come\nback later", pause=0.2)
    assert (
        fault.body()
        == b"Code: 202. DB::Exception: come back later. (TOO_MANY_SIMULTANEOUS_QUERIES)\n"
    )
    assert fault.headers() == [(HEADER, "202"), ("Retry-After", "1")]
    assert dict(QueryError(SESSION_NOT_FOUND, "x").headers()) == {HEADER: "372"}


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
    return RequestFacts(statement=read(text), **{**base, **more})


def test_each_part_is_what_the_first_rule_that_names_it_says() -> None:
    rules = Rules(
        CLASSES,
        BY_DOES,
        (
            Rule(user="fin*", route="report", pool="big"),
            Rule(database="t?", tenant="likoni", patience_ms=3_000),
            Rule(user="fin*", route="load", cell="b"),
            Rule(setting=(("priority", "1*"),), cell="a"),
            Rule(header=(("x-desk", "lamu"),), tenant="lamu"),
            Rule(first=("KILL",), deny="not here"),
        ),
    )
    went = rules.route(seen(user="finance", database="t1", settings={"priority": "10"}))
    assert (went.route, went.pool, went.cell, went.tenant, went.timeout_ns) == (
        "report",
        "big",
        "b",
        "likoni",
        3 * S,
    )
    assert rules.route(seen(headers={"x-desk": "lamu"})).tenant == "lamu"
    assert rules.route(seen("KILL QUERY WHERE 1")).deny == "not here"
    assert not rules.route(seen()).deny


def test_patience_is_the_least_of_class_rule_and_client() -> None:
    rules = Rules(CLASSES, BY_DOES)
    for said, patience in (("2.5", 2.5), ("0", 5), ("60", 5), ("x", 5), ("nan", 5), ("-1", 5)):
        assert rules.route(seen(settings={"max_execution_time": said})).timeout_ns == patience * S


def test_an_insert_is_unsafe_unless_a_token_or_an_id_makes_it_keyed() -> None:
    rules = Rules(
        CLASSES, BY_DOES, keyed_by_id=True, tenants=frozenset({"acme"}), default_tenant="acme"
    )
    went = rules.route(seen("INSERT INTO t VALUES (1)"))
    assert not went.keyed
    assert not went.repeatable
    assert went.tenant == "acme"
    assert went.route == "load"
    assert rules.route(
        seen("INSERT INTO t VALUES (1)", settings={"insert_deduplication_token": "x"})
    ).keyed
    assert rules.route(seen("INSERT INTO t VALUES (1)"), "q1").keyed
    # that runs twice all the same
    assert not rules.route(seen("ALTER TABLE t DELETE WHERE 1"), "q1").keyed
    assert rules.route(seen()).repeatable


@pytest.mark.parametrize(
    "make",
    [
        lambda: Rule(user="a"),
        lambda: Rule(route="x", patience_ms=-1),
        lambda: Rule(first=("kill",), deny="x"),
        lambda: Rules(CLASSES, BY_DOES, (Rule(route="nowhere"),)),
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
    held.bind(one, 7, state=True)
    held.end(one, S)
    assert held.begin("ann", "s", 2 * S, check=True) is one
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
    held.bind(one, 7, state=False)
    held.end(one, 0)
    assert held.engine_removed(7) == []
    assert held.begin("ann", "s", 1) is one
    assert one.engine is None


def test_sessions_expire_and_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    held = Sessions()
    one = held.begin("ann", "s", 0, timeout=2 * S)
    held.end(one, 0)
    with pytest.raises(QueryError, match="not found"):
        held.begin("ann", "s", 2 * S, check=True)
    for bad in (-1, 9_999 * S):
        with pytest.raises(QueryError, match="session_timeout"):
            held.begin("ann", "t", 0, timeout=bad)
    with pytest.raises(QueryError, match="session_id"):
        held.begin("ann", "x" * 201, 0)
    monkeypatch.setattr(sessions_, "MOST_SESSIONS", 5)
    for i in range(20):
        held.end(held.begin("ann", f"i{i}", 10 * S + i), 10 * S + i)
    assert len(held.by_key) <= 5
    assert held.expire(10_000 * S) == len(held.by_key) + 5
    assert not held.by_key
    assert not held.by_engine


def test_statements_are_read_no_further_than_they_decide() -> None:
    assert read("SELECT 1 " + "x" * 1_000_000).does is StatementKind.READ
    assert Statement("SELECT", StatementKind.READ) == read("SELECT 1")


# --- results on their way ---


def kinds(relay: Relay) -> list[RelayAction]:
    return [act for act, _ in relay.take()]


def test_until_a_byte_has_gone_another_attempt_may_take_the_place() -> None:
    relay = Relay(wait_end=True)
    relay.begin(ResponseHead(200))
    relay.data(b"half")
    assert relay.fault() is FaultOutcome.AGAIN
    assert not relay.take()
    assert relay.state is RelayState.WAITING
    relay.begin(ResponseHead(200))
    relay.data(b"whole")
    assert relay.end()
    assert relay.take() == [
        (RelayAction.HEAD, b""),
        (RelayAction.BODY, b"whole"),
        (RelayAction.END, b""),
    ]
    assert relay.fault() is FaultOutcome.OVER


def test_once_it_flows_a_fault_is_shown_and_never_repeated() -> None:
    relay = Relay()
    relay.begin(ResponseHead(200))
    relay.data(b"a")
    assert relay.fault() is FaultOutcome.FAILED
    assert kinds(relay) == [
        RelayAction.HEAD,
        RelayAction.BODY,
        RelayAction.TEAR,
    ]
    with pytest.raises(AssertionError):
        relay.again()
    relay.data(b"b")
    assert not relay.end()
    assert not relay.take()


def test_a_result_that_says_itself_that_it_broke_is_no_result() -> None:
    for wait_end, fate in ((True, RelayState.WAITING), (False, RelayState.BROKEN)):
        relay = Relay(wait_end=wait_end)
        relay.begin(ResponseHead(200))
        relay.data(b"1\t2\n__exce")
        relay.data(b"ption__\nCode: 241\n")
        assert not relay.end()
        assert relay.state is fate
    held = Relay()
    held.begin(ResponseHead(200))
    held.data(b"a row with __exception__ in it\n")
    assert held.end()


def test_what_is_held_is_bounded_and_then_flows() -> None:
    relay = Relay(wait_end=True, most_buffered=10)
    relay.begin(ResponseHead(200))
    relay.data(b"x" * 8)
    assert not relay.take()
    relay.data(b"x" * 8)
    assert kinds(relay) == [RelayAction.HEAD, RelayAction.BODY, RelayAction.BODY]
    assert relay.overflowed
    assert relay.buffered_bytes == 0


def test_an_error_of_the_engine_is_not_shown_while_another_may_do_better() -> None:
    relay = Relay()
    relay.begin(ResponseHead(500))
    relay.data(b"Code: 241")
    assert not relay.take()
    assert relay.fault() is FaultOutcome.AGAIN
    assert relay.give_up() is FaultOutcome.FAILED
    assert kinds(relay) == [RelayAction.ERROR]


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
    relay, sent, ends, gone = Relay(wait_end=wait_end, most_buffered=100_000), 0, 0, False
    relay.begin(ResponseHead(200))
    for word, number in steps:
        if word == "data" and not relay.paused:
            relay.data(b"x" * number)
        elif word == "gone":
            relay.bytes_written(number)
        elif word == "fault":
            relay.fault()
        elif word == "end":
            relay.end()
        elif word == "left":
            relay.left()
            gone = True
        if relay.state is RelayState.WAITING:
            relay.begin(ResponseHead(200))
        for act, data in relay.take():
            assert not gone or act is RelayAction.RESUME
            assert not ends or act in (RelayAction.RESUME, RelayAction.PAUSE)
            sent += len(data)
            ends += act in (RelayAction.END, RelayAction.TEAR, RelayAction.ERROR)
        assert relay.buffered_bytes <= 100_000
        assert relay.unread <= 262_144 + 800_000
    assert ends <= 1
    assert sent <= relay.passed
