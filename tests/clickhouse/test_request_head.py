"""Parsing of request heads: user, statement, settings, and errors for invalid heads."""

from __future__ import annotations

import base64

import pytest

from query_broker.clickhouse.errors import QueryError
from query_broker.clickhouse.request import read_head, redacted_url, statement_text

from ..support.helpers import S


def test_url_and_headers_are_parsed_into_the_request_head() -> None:
    head = read_head(
        b"/?query=SELECT+1&database=d&max_threads=2&param_a=x&session_id=s&session_timeout=9"
        b"&wait_end_of_query=1&query_id=q1",
        [("X-ClickHouse-User", "ann"), ("X-ClickHouse-Key", "k")],
    )
    assert head.user == "ann"
    assert head.password == "k"
    assert head.database == "d"
    assert head.query == "SELECT 1"
    assert head.settings == {"max_threads": "2"}
    assert head.statement_parameters == {"a": "x"}
    assert head.session_timeout_ns == 9 * S
    assert head.wait_end_of_query
    assert head.query_id == "q1"


def test_basic_authorization_and_format_header_are_parsed() -> None:
    basic = base64.b64encode(b"bob:se:cret").decode()
    head = read_head(b"/", [("authorization", f"Basic {basic}"), ("x-clickhouse-format", "JSON")])
    assert head.user == "bob"
    assert head.password == "se:cret"
    assert head.default_format == "JSON"


def test_a_request_without_a_user_gets_the_default_user() -> None:
    assert read_head(b"/ping", []).user == "default"


@pytest.mark.parametrize(
    ("url", "headers", "problem"),
    [
        pytest.param(b"/?a=1&a=2", [], "is given twice", id="a setting twice"),
        pytest.param(b"/?query=%ff", [], "cannot be read", id="no UTF-8"),
        pytest.param(b"/?session_timeout=x", [], "session_timeout", id="session_timeout"),
        pytest.param(b"/?session_check=2", [], "session_check", id="session_check"),
        pytest.param(b"/?a%20b=1", [], "not a valid setting name", id="name of a setting"),
        pytest.param(b"/?query_id=" + b"x" * 201, [], "query_id", id="long query_id"),
        pytest.param(
            b"/?user=a", [("X-ClickHouse-User", "b")], "more than one way", id="two users"
        ),
        pytest.param(b"/", [("Authorization", "Bearer x")], "Authorization", id="bearer"),
        pytest.param(b"/", [("Authorization", "Basic !")], "Authorization", id="no base64"),
        pytest.param(b"/" + b"a" * 70_000, [], "longer than", id="long URL"),
    ],
)
def test_an_invalid_head_raises_an_error(
    url: bytes, headers: list[tuple[str, str]], problem: str
) -> None:
    with pytest.raises(QueryError, match=problem):
        read_head(url, headers)


def test_a_redacted_url_hides_the_password() -> None:
    assert redacted_url("/?password=hidden&query=1") == "/?password=***&query=1"


def test_the_statement_is_read_from_the_url_the_body_or_both() -> None:
    assert statement_text(read_head(b"/?query=INSERT+INTO+t+FORMAT+CSV", []), b"1\n2", "POST") == (
        b"INSERT INTO t FORMAT CSV\n1\n2"
    )
    assert statement_text(read_head(b"/", []), b"SELECT 1", "POST") == b"SELECT 1"


@pytest.mark.parametrize(
    ("body", "method"), [(b"", "GET"), (b" \n", "POST")], ids=["empty", "blank"]
)
def test_a_request_without_a_statement_raises_an_error(body: bytes, method: str) -> None:
    with pytest.raises(QueryError):
        statement_text(read_head(b"/", []), body, method)
