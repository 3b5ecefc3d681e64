"""Golden form of the log lines that operators' pages quote."""

from __future__ import annotations

import json

import pytest

from query_broker.deadlines.settings import Logs
from query_broker.dispatch.requests import ActiveRequest, Attempt
from query_broker.log import Log
from query_broker.server.structured_log import StructuredLog, request_trace

from .nodes import NOW_NS, NS_PER_S

NS_PER_MS = 1_000_000


def test_plain_log_line(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("time.time", lambda: 1_700_000_000.25)
    Log("n0")("bus", "no heartbeat: reconnecting")
    assert capsys.readouterr().err == "1700000000.250 n0 bus: no heartbeat: reconnecting\n"


def test_json_log_line(capsys: pytest.CaptureFixture[str]) -> None:
    StructuredLog("n0", Logs("json"))("bus", "no beat")
    line = json.loads(capsys.readouterr().err)
    assert sorted(line) == ["broker", "event", "kind", "timestamp"]
    assert (line["broker"], line["kind"], line["event"]) == ("n0", "bus", "no beat")


def test_text_log_line(capsys: pytest.CaptureFixture[str]) -> None:
    StructuredLog("n0", Logs("text"))("bus", "no beat")
    timestamp, rest = capsys.readouterr().err.split(" ", 1)
    assert timestamp.startswith("timestamp=20")
    assert rest == 'broker=n0 kind=bus event="no beat"\n'


def traced_request() -> ActiveRequest:
    """Return a request whose only attempt took from 1 to 5 ms in its stages."""
    request = ActiveRequest(
        id="1",
        client_request_id=b"9b1f03aa5c7e2d41",
        class_name=b"glance",
        statement=b"SELECT 1",
        client=None,
        stream=1,
        deadline_ns=NOW_NS + 5 * NS_PER_S,
        tenant="acme",
    )
    request.received_ns = NOW_NS
    request.accepted_ns = NOW_NS + 1 * NS_PER_MS
    attempt = Attempt(
        request,
        number=0,
        endpoint=51,
        dispatched_ns=NOW_NS + 3 * NS_PER_MS,
        deadline_ns=NOW_NS + 4 * NS_PER_S,
        latest_start_ns=NOW_NS + 3 * NS_PER_S,
    )
    attempt.assigned_ns = NOW_NS + 6 * NS_PER_MS
    attempt.written_ns = NOW_NS + 10 * NS_PER_MS
    attempt.answered_ns = NOW_NS + 15 * NS_PER_MS
    request.attempts[0] = attempt
    return request


def test_fields_of_a_request_log_line() -> None:
    assert request_trace(traced_request(), "served", NOW_NS + 21 * NS_PER_MS) == {
        "trace": "9b1f03aa5c7e2d41",
        "route": "glance",
        "customer": "acme",
        "end": "served",
        "total_ms": 21.0,
        "left_ms": 4979.0,
        "read_ms": 1.0,
        "decide_ms": 2.0,
        "connect_ms": 3.0,
        "write_ms": 4.0,
        "engine_ms": 5.0,
        "attempt": 0,
        "engine": 51,
    }
