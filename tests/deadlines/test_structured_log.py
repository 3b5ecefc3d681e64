"""Structured log lines: their rate limit, and the traces of requests."""

from __future__ import annotations

import json

import pytest

from query_broker.deadlines.settings import Logs
from query_broker.dispatch.observers import RequestEnding
from query_broker.dispatch.requests import ActiveRequest, Attempt
from query_broker.log import Log
from query_broker.overriding import override
from query_broker.server.structured_log import StructuredLog, TraceObserver, is_sampled
from query_broker.timer_wheel import Clock

MS = 1_000_000

NS_PER_SECOND = 1_000 * MS


class StoppedClock(Clock):
    """A clock that always returns the same time."""

    def __init__(self, now_ns: int) -> None:
        super().__init__()
        self.now_ns = now_ns

    @override
    def now(self) -> int:
        """Return the time that the test has set."""
        return self.now_ns


def answered_request(number: int, deadline_ns: int) -> ActiveRequest:
    """Return a request that arrived at 1 s, with one attempt that was written 3 ms later."""
    trace = b"%016x" % number
    request = ActiveRequest(
        f"{number}",
        trace,
        b"glance",
        b"",
        None,
        1,
        deadline_ns,
        "acme",
        NS_PER_SECOND,
        NS_PER_SECOND + MS,
    )
    request.attempts[0] = Attempt(
        request,
        0,
        7,
        NS_PER_SECOND + 2 * MS,
        deadline_ns,
        deadline_ns,
        assigned_ns=NS_PER_SECOND + 2 * MS,
        written_ns=NS_PER_SECOND + 3 * MS,
    )
    return request


def logged_lines(settings: Logs, capsys: pytest.CaptureFixture[str]) -> list[str]:
    """Return the log lines of two requests answered at 2 s, and of thirty more lines.

    The first request is answered before its deadline, the second one after it.
    """
    log = Log("n0")
    structured_log = StructuredLog("n0", settings)
    log.sink = structured_log
    observer = TraceObserver(log, structured_log, StoppedClock(2 * NS_PER_SECOND))
    for number, deadline_ns in enumerate((3 * NS_PER_SECOND, NS_PER_SECOND)):
        request = answered_request(number, deadline_ns)
        observer.request_ended(request, RequestEnding.SUCCESS)
    for _ in range(30):
        log("engine", "a line of its kind")
    return capsys.readouterr().err.splitlines()


def test_structured_lines_are_limited_and_late_requests_are_always_traced(
    capsys: pytest.CaptureFixture[str],
) -> None:
    lines = [json.loads(line) for line in logged_lines(Logs("json"), capsys)]
    assert [line["kind"] for line in lines] == ["late", *["engine"] * 20]
    late_trace = lines[0]
    assert late_trace["trace"] == "0" * 15 + "1"
    assert late_trace["total_ms"] == 1_000.0
    assert late_trace["left_ms"] == -1_000.0
    assert late_trace["read_ms"] == 1.0
    assert late_trace["decide_ms"] == 1.0
    assert late_trace["connect_ms"] == 0.0
    assert late_trace["write_ms"] == 1.0
    assert late_trace["broker"] == "n0"
    assert late_trace["engine_ms"] == 997.0
    assert "timestamp" in late_trace


def test_all_requests_are_traced_in_text_if_so_configured(
    capsys: pytest.CaptureFixture[str],
) -> None:
    lines = logged_lines(Logs("text", traced_fraction=1.0), capsys)
    assert lines[0].count("kind=story") == 1
    assert lines[1].count("kind=late") == 1
    assert "broker=n0" in lines[0]
    assert "customer=acme" in lines[0]


def test_sampling_depends_only_on_the_request_id_and_the_fraction() -> None:
    sampled = [number for number in range(10_000) if is_sampled(b"%016x" % number, 0.1)]
    assert 800 < len(sampled) < 1_200
    assert not is_sampled(b"x", 0.0)
    assert is_sampled(b"x", 1.0)
