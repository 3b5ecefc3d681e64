"""The rate limit on log lines of each kind."""

from __future__ import annotations

import pytest

from query_broker import log


def test_log_lines_of_one_kind_are_limited_and_the_rest_are_counted(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    now_s = 50.0
    monkeypatch.setattr("query_broker.log.time.monotonic", lambda: now_s)
    write_line = log.Log("n0")
    for _ in range(log.MAX_LINES_PER_KIND + 30):
        write_line("client", "odd")
    write_line("engine", "other")
    now_s += log.RATE_LIMIT_WINDOW_S
    write_line("client", "again")
    lines = capsys.readouterr().err.splitlines()
    assert sum("odd" in line for line in lines) == log.MAX_LINES_PER_KIND
    assert any("30 more lines" in line for line in lines)
    assert sum("other" in line for line in lines) == 1
