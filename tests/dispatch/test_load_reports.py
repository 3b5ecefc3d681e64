"""Load reports in the answers of engines."""

from __future__ import annotations

import pytest

from query_broker.decisions.facade import LoadReport
from query_broker.dispatch.load_reports import parse_load_report


@pytest.mark.parametrize(
    ("text", "expected", "logged"),
    [
        pytest.param("", None, 0, id="empty"),
        pytest.param(
            "q:2;rif:7;x1:0.5;x0:0.25",
            LoadReport(queue=2.0, memory=0.25, disk=0.5, inflight=7.0),
            0,
            id="all",
        ),
        pytest.param("what:1", None, 0, id="unknown names"),
        pytest.param("q:x", None, 1, id="malformed"),
    ],
)
def test_a_load_report_is_parsed_or_logged_as_malformed(
    text: str, expected: LoadReport | None, logged: int
) -> None:
    lines: list[str] = []
    assert parse_load_report(text, lambda kind, line: lines.append(line)) == expected
    assert len(lines) == logged
