"""Body and headers of error responses."""

from __future__ import annotations

from query_broker.clickhouse.errors import (
    EXCEPTION_CODE_HEADER,
    SESSION_NOT_FOUND,
    TOO_MANY_SIMULTANEOUS_QUERIES,
    QueryError,
)


def test_errors_have_the_body_and_headers_of_the_interface() -> None:
    error = QueryError(TOO_MANY_SIMULTANEOUS_QUERIES, "come\nback later", retry_after_s=0.2)
    assert (
        error.body()
        == b"Code: 202. DB::Exception: come back later. (TOO_MANY_SIMULTANEOUS_QUERIES)\n"
    )
    assert error.headers() == [(EXCEPTION_CODE_HEADER, "202"), ("Retry-After", "1")]
    assert dict(QueryError(SESSION_NOT_FOUND, "x").headers()) == {EXCEPTION_CODE_HEADER: "372"}
