"""Golden form of what operators read: HTTP answers, metrics and log lines, byte for byte."""

from __future__ import annotations

import asyncio
import json
import os
from dataclasses import replace
from pathlib import Path

import pytest

from query_broker.cells.migrations import Stage as MoveStage
from query_broker.cells.node import CellNode
from query_broker.deadlines import metrics as deadline_figures
from query_broker.deadlines.handover_checks import HandOver, HandOverStatistics, StopReason
from query_broker.deadlines.retry_budget import RetryBudget
from query_broker.deadlines.retry_budget import RetryBudgetSettings as FurtherTerms
from query_broker.deadlines.settings import LatencyStage, Logs, MarginTerms
from query_broker.deadlines.stage_latencies import StageLatencies
from query_broker.discovery.event_codec import parse_event
from query_broker.dispatch.requests import ActiveRequest, Attempt
from query_broker.log import Log
from query_broker.membership.member_record import HelperResult, MemberRecord
from query_broker.membership.messages import Identity, Status
from query_broker.metrics import ERROR, OVERLOAD, SUCCESS, Metrics
from query_broker.operator_config.script import evaluate
from query_broker.operator_config.service import ConfiguredNode
from query_broker.outlier_consensus.consensus import Ejection, OutlierScope
from query_broker.outlier_consensus.messages import Endpoint
from query_broker.outlier_consensus.overrides import OVERRIDE_VALUES
from query_broker.protocols.operator_answers import REASONS
from query_broker.quotas.lease_holder import Lease
from query_broker.server.structured_log import StructuredLog, request_trace
from query_broker.startup.stages import Stage as StartStage
from query_broker.timer_wheel import Clock

from .sockets import make_config, on_uvloop, running, target_entry, topology_event, within

pytestmark = pytest.mark.real_time

S = 1_000_000_000
NOW = 1_700_000_000 * S  # the clock of all nodes in this module stands still here
DIRECTIVES = """
members("127.0.0.1:0", key_file = "KEYS", installation = "golden", advertise = "10.0.0.4:7946")
start()
limit("orders", rate = 50)
limit("attempts", kind = "further", rate = 10)
limits()
verdicts()
deadlines()
further_attempts()
CELLS
"""
CELLS = """
cell("a", engines = ["s-1"])
cell("b", engines = ["s-2"], least = 2)
default_cell("a")
tenant("acme", cell = "b")
epoch(3)
"""

# --- the wire of the second address ---

# Of a broker whose list holds the engine `s-1`: the call as sent, the complete answer.
CALLS: list[tuple[str, bytes, bytes]] = [
    (
        "ready",
        b"GET /ready HTTP/1.1\r\n\r\n",
        (
            b"HTTP/1.1 200 OK\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 6\r\n"
            b"Connection: close\r\n"
            b"\r\n"
            b"ready\n"
        ),
    ),
    (
        "unknown path",
        b"GET / HTTP/1.1\r\n\r\n",
        (
            b"HTTP/1.1 404 Not Found\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 13\r\n"
            b"Connection: close\r\n"
            b"\r\n"
            b"no such call\n"
        ),
    ),
    (
        "ready by POST",
        b"POST /ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        (
            b"HTTP/1.1 405 Method Not Allowed\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 19\r\n"
            b"Connection: close\r\n"
            b"Allow: GET\r\n"
            b"\r\n"
            b"this call is a GET\n"
        ),
    ),
    (
        "metrics by POST",
        b"POST /metrics HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        (
            b"HTTP/1.1 405 Method Not Allowed\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 19\r\n"
            b"Connection: close\r\n"
            b"Allow: GET\r\n"
            b"\r\n"
            b"this call is a GET\n"
        ),
    ),
    (
        "metrics",
        b"GET /metrics HTTP/1.1\r\n\r\n",
        (
            b"HTTP/1.1 200 OK\r\n"
            b"Content-Type: text/plain; version=0.0.4; charset=utf-8\r\n"
            b"Content-Length: 1361\r\n"
            b"Connection: close\r\n"
            b"\r\n"
            b"# HELP edge_proxy_replies_total Requests answered, by class: served, "
            b"refused, failed.\n"
            b"# TYPE edge_proxy_replies_total counter\n"
            b'edge_proxy_replies_total{type="glance",status="success"} 0\n'
            b'edge_proxy_replies_total{type="glance",status="overload"} 0\n'
            b'edge_proxy_replies_total{type="glance",status="error"} 0\n'
            b'edge_proxy_replies_total{type="stock-add",status="success"} 0\n'
            b'edge_proxy_replies_total{type="stock-add",status="overload"} 0\n'
            b'edge_proxy_replies_total{type="stock-add",status="error"} 0\n'
            b"# HELP edge_proxy_dispatches_total Attempts written whole to data engines.\n"
            b"# TYPE edge_proxy_dispatches_total counter\n"
            b"edge_proxy_dispatches_total 0\n"
            b"# HELP edge_proxy_concurrent Requests taken that have no final answer yet.\n"
            b"# TYPE edge_proxy_concurrent gauge\n"
            b"edge_proxy_concurrent 0\n"
            b"# HELP edge_proxy_targets Data engines in the list.\n"
            b"# TYPE edge_proxy_targets gauge\n"
            b"edge_proxy_targets 1\n"
            b"# HELP edge_proxy_targets_disabled Listed data engines that are left out, "
            b"by hand or by choice.\n"
            b"# TYPE edge_proxy_targets_disabled gauge\n"
            b"edge_proxy_targets_disabled 0\n"
            b"# HELP edge_proxy_reload_success_total Configuration files taken at SIGHUP.\n"
            b"# TYPE edge_proxy_reload_success_total counter\n"
            b"edge_proxy_reload_success_total 0\n"
            b"# HELP edge_proxy_reload_failure_total Configuration files turned down at "
            b"SIGHUP.\n"
            b"# TYPE edge_proxy_reload_failure_total counter\n"
            b"edge_proxy_reload_failure_total 0\n"
        ),
    ),
    (
        "disable by GET",
        b"GET /data-engines/disable/s-1 HTTP/1.1\r\n\r\n",
        (
            b"HTTP/1.1 405 Method Not Allowed\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 20\r\n"
            b"Connection: close\r\n"
            b"Allow: POST\r\n"
            b"\r\n"
            b"this call is a POST\n"
        ),
    ),
    (
        "enable by GET",
        b"GET /data-engines/enable/s-1 HTTP/1.1\r\n\r\n",
        (
            b"HTTP/1.1 405 Method Not Allowed\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 20\r\n"
            b"Connection: close\r\n"
            b"Allow: POST\r\n"
            b"\r\n"
            b"this call is a POST\n"
        ),
    ),
    (
        "disable",
        b"POST /data-engines/disable/s-1 HTTP/1.1\r\n\r\n",
        (
            b"HTTP/1.1 200 OK\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 5\r\n"
            b"Connection: close\r\n"
            b"\r\n"
            b"done\n"
        ),
    ),
    (
        "enable",
        b"POST /data-engines/enable/s-1 HTTP/1.1\r\n\r\n",
        (
            b"HTTP/1.1 200 OK\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 5\r\n"
            b"Connection: close\r\n"
            b"\r\n"
            b"done\n"
        ),
    ),
    (
        "disable an unknown engine",
        b"POST /data-engines/disable/nobody HTTP/1.1\r\n\r\n",
        (
            b"HTTP/1.1 404 Not Found\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 27\r\n"
            b"Connection: close\r\n"
            b"\r\n"
            b"no data engine has this id\n"
        ),
    ),
    (
        "disable no text",
        b"POST /data-engines/disable/%ff HTTP/1.1\r\n\r\n",
        (
            b"HTTP/1.1 400 Bad Request\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 18\r\n"
            b"Connection: close\r\n"
            b"\r\n"
            b"the id is no text\n"
        ),
    ),
    (
        "no HTTP",
        b"hello\r\n\r\n",
        (
            b"HTTP/1.1 400 Bad Request\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 28\r\n"
            b"Connection: close\r\n"
            b"\r\n"
            b"this is no call in HTTP/1.1\n"
        ),
    ),
    (
        "path that cannot be read",
        b"GET http:// HTTP/1.1\r\n\r\n",
        (
            b"HTTP/1.1 400 Bad Request\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 24\r\n"
            b"Connection: close\r\n"
            b"\r\n"
            b"the path cannot be read\n"
        ),
    ),
    (
        "half a call in 0.8 s",
        b"GET /rea",
        (
            b"HTTP/1.1 408 Request Timeout\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 22\r\n"
            b"Connection: close\r\n"
            b"\r\n"
            b"no whole call in time\n"
        ),
    ),
    (
        "cells without cells",
        b"GET /cells HTTP/1.1\r\n\r\n",
        (
            b"HTTP/1.1 404 Not Found\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 13\r\n"
            b"Connection: close\r\n"
            b"\r\n"
            b"no such call\n"
        ),
    ),
    (
        "start without an operators' file",
        b"GET /start HTTP/1.1\r\n\r\n",
        (
            b"HTTP/1.1 404 Not Found\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 13\r\n"
            b"Connection: close\r\n"
            b"\r\n"
            b"no such call\n"
        ),
    ),
]
# Of a broker that has no list yet.
CALLS_BEFORE_THE_LIST: list[tuple[str, bytes, bytes]] = [
    (
        "ready",
        b"GET /ready HTTP/1.1\r\n\r\n",
        (
            b"HTTP/1.1 503 Service Unavailable\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 10\r\n"
            b"Connection: close\r\n"
            b"\r\n"
            b"not ready\n"
        ),
    ),
    (
        "disable",
        b"POST /data-engines/disable/s-1 HTTP/1.1\r\n\r\n",
        (
            b"HTTP/1.1 404 Not Found\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 27\r\n"
            b"Connection: close\r\n"
            b"\r\n"
            b"no data engine has this id\n"
        ),
    ),
]


async def answer_to(call: bytes, listed: bool) -> bytes:
    """All bytes that come back on a connection of its own."""
    config = make_config(target_entry("s-1", 9), operator=True, listed=listed)
    async with running(config) as rig:
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.operator_port)
        writer.write(call)
        answer = await within(reader.read())
        writer.close()
    return answer


@pytest.mark.parametrize(
    ("call", "answer"), [pytest.param(*case, id=name) for name, *case in CALLS]
)
def test_http_answer_bytes(call: bytes, answer: bytes) -> None:
    @on_uvloop
    async def check() -> None:
        assert await answer_to(call, listed=True) == answer

    check()


@pytest.mark.parametrize(
    ("call", "answer"), [pytest.param(*case, id=name) for name, *case in CALLS_BEFORE_THE_LIST]
)
def test_http_answer_bytes_before_the_endpoint_list(call: bytes, answer: bytes) -> None:
    @on_uvloop
    async def check() -> None:
        assert await answer_to(call, listed=False) == answer

    check()


@pytest.mark.parametrize(
    ("call", "answer"),
    [
        pytest.param(
            b"GET /ready HTTP/1.1\r\nA: " + b"a" * 9_000 + b"\r\n\r\n",
            b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 21\r\nConnection: close\r\n\r\nthe head is too long\n",
            id="long head",
        ),
        pytest.param(
            b"POST /ready HTTP/1.1\r\nContent-Length: 99999\r\n\r\n" + b"a" * 17_000,
            b"HTTP/1.1 413 Content Too Large\r\n"
            b"Content-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 26\r\nConnection: close\r\n\r\nno call needs such a body\n",
            id="long body",
        ),
    ],
)
def test_http_answer_bytes_to_a_call_beyond_its_bounds(call: bytes, answer: bytes) -> None:
    @on_uvloop
    async def check() -> None:
        assert await answer_to(call, listed=True) == answer

    check()


def test_http_answer_bytes_to_half_a_call_whose_caller_ends_its_side() -> None:
    @on_uvloop
    async def check() -> None:
        async with running(make_config(target_entry("s-1", 9), operator=True)) as rig:
            reader, writer = await asyncio.open_connection("127.0.0.1", rig.operator_port)
            writer.write(b"GET /rea")
            writer.write_eof()
            assert await within(reader.read()) == (
                b"HTTP/1.1 400 Bad Request\r\n"
                b"Content-Type: text/plain; charset=utf-8\r\n"
                b"Content-Length: 22\r\nConnection: close\r\n\r\nthe call is not whole\n"
            )
            writer.close()

    check()


def test_every_status_has_its_reason() -> None:
    assert REASONS == {
        200: "OK",
        400: "Bad Request",
        404: "Not Found",
        405: "Method Not Allowed",
        408: "Request Timeout",
        409: "Conflict",
        413: "Content Too Large",
        431: "Request Header Fields Too Large",
        500: "Internal Server Error",
        503: "Service Unavailable",
    }


def test_words_for_stages_in_answers_and_metrics() -> None:
    assert [stage.value for stage in MoveStage] == [
        "proposed",
        "warming",
        "switched",
        "draining",
        "returning",
        "done",
        "taken back",
    ]
    assert [stage.value for stage in StartStage] == [
        "settings",
        "list",
        "contact",
        "ramp",
        "full",
    ]
    assert OVERRIDE_VALUES == ("out", "back", "pinned")


# --- calls of the subsystems ---

Answer = tuple[int, str, str, str] | None  # status, body, content type, allowed method

# Played in this order on one node each.
FILED_CALLS: list[tuple[str, str, Answer]] = [
    (
        "GET",
        "/start",
        (
            200,
            (
                '{"place": 0, "fleet": 1, "stage": "contact", "for": 0.0, "waits_for": "0.5 '
                'of 0 engines, heard of 0", "ready": false, "list": "known", "list_age": '
                '0.0, "confirmed": true, "listed": 0, "heard": 0, "share": 0.0, "passed": '
                '[{"stage": "settings", "took": 0.0, "why": "read"}, {"stage": "list", '
                '"took": 0.0, "why": "told by the known"}]}\n'
            ),
            "application/json",
            "",
        ),
    ),
    ("POST", "/start", (405, '{"error": "this call is a GET"}\n', "application/json", "GET")),
    (
        "GET",
        "/members",
        (
            200,
            (
                '{"me": "10.0.0.4:7946", "boot": "760e84be472f9e959dc16725", "incarnation": '
                '0, "left": false, "doubt": 0, "pauses": 0, "isolated": false, "view": '
                '{"epoch": 0, "digest": "", "certain": false, "why": "nobody has been heard '
                'yet", "alive": 1, "reference": 1, "limits_by": 1, "place": 0, "configured": '
                '1}, "bounds_s": {"suspected_median": 2.2, "suspected_p99": 6.1, '
                '"suspected_worst": 15.5, "removed_median": 8.2, "removed_p99": 16.1, '
                '"removed_worst": 41.5}, "members": [], "figures": {"bytes_in": 0, '
                '"bytes_out": 0, "flooded": 0, "dropped": {}}}\n'
            ),
            "application/json",
            "",
        ),
    ),
    ("POST", "/members", (405, '{"error": "this call is a GET"}\n', "application/json", "GET")),
    (
        "GET",
        "/members/keys",
        (
            200,
            '{"signs": 1, "reads": [1], "taken_in": {}, "dropped": {}}\n',
            "application/json",
            "",
        ),
    ),
    (
        "POST",
        "/members/keys",
        (405, '{"error": "this call is a GET"}\n', "application/json", "GET"),
    ),
    (
        "GET",
        "/members/leave",
        (405, '{"error": "this call is a POST"}\n', "application/json", "POST"),
    ),
    ("GET", "/members/other", None),
    (
        "GET",
        "/limits",
        (
            200,
            (
                '{"me": "10.0.0.4:7946", "limits": [{"name": "orders", "kind": "tenant", '
                '"hard": true, "whole": 50.0, "ours": 10.0, "asked": 0.0, "stale_s": 4.0, '
                '"overshoot_promised": 0.0, "floor": 10.0, "held": 0.0, "left_s": 0.0, '
                '"want": 0.0, "home": "", "floor_in_force": true}, {"name": "attempts", '
                '"kind": "further", "hard": false, "whole": 10.0, "ours": 10.0, "asked": '
                '0.0, "stale_s": 3.0, "overshoot_promised": 0.0, "age_s": 0.0, '
                '"overshoot_seen": 0.0}], "breaches": 0, "figures": {"asked": 0, "granted": '
                '0, "refused": 0, "homes_lost": 0, "ended": 0, "rows": 0, "old_rows": 0}}\n'
            ),
            "application/json",
            "",
        ),
    ),
    ("POST", "/limits", (405, '{"error": "this call is a GET"}\n', "application/json", "GET")),
    ("GET", "/limits/record", (200, "[]\n", "application/json", "")),
    (
        "POST",
        "/limits/record",
        (405, '{"error": "this call is a GET"}\n', "application/json", "GET"),
    ),
    (
        "GET",
        "/limits/lend/orders/10.0.0.4:7946/3",
        (405, '{"error": "this call is a POST"}\n', "application/json", "POST"),
    ),
    (
        "POST",
        "/limits/lend/orders/10.0.0.4:7946/much",
        (400, '{"error": "\'much\' is no amount"}\n', "application/json", ""),
    ),
    (
        "POST",
        "/limits/lend/orders/10.0.0.9:1/3",
        (404, '{"error": "10.0.0.9:1 is no member"}\n', "application/json", ""),
    ),
    (
        "POST",
        "/limits/lend/nothing/10.0.0.4:7946/3",
        (404, '{"error": "no such call, or no such limit"}\n', "application/json", ""),
    ),
    (
        "POST",
        "/limits/recall/orders/10.0.0.9:1",
        (404, '{"error": "10.0.0.9:1 is no member"}\n', "application/json", ""),
    ),
    (
        "POST",
        "/limits/recall/nothing/10.0.0.9:1",
        (404, '{"error": "no such call, or no such limit"}\n', "application/json", ""),
    ),
    (
        "GET",
        "/verdicts",
        (
            200,
            (
                '{"verdicts": [], "words": [], "lost": [], "figures": {"verdicts": 0, '
                '"lifted": 0, "over_part": 0}}\n'
            ),
            "application/json",
            "",
        ),
    ),
    ("POST", "/verdicts", (405, '{"error": "this call is a GET"}\n', "application/json", "GET")),
    (
        "GET",
        "/verdicts/pin/s-1",
        (405, '{"error": "this call is a POST"}\n', "application/json", "POST"),
    ),
    (
        "POST",
        "/verdicts/pin/s-1",
        (200, '{"uid": "s-1", "word": "pinned", "version": 1}\n', "application/json", ""),
    ),
    (
        "POST",
        "/verdicts/out/s-1",
        (200, '{"uid": "s-1", "word": "out", "version": 2}\n', "application/json", ""),
    ),
    (
        "POST",
        "/verdicts/clear/s-1",
        (200, '{"uid": "s-1", "word": "back", "version": 3}\n', "application/json", ""),
    ),
    (
        "POST",
        "/verdicts/pin/nobody",
        (404, '{"error": "no data engine has this id"}\n', "application/json", ""),
    ),
    ("POST", "/verdicts/odd/s-1", (404, '{"error": "no such call"}\n', "application/json", "")),
    (
        "GET",
        "/verdicts",
        (
            200,
            (
                '{"verdicts": [], "words": [{"uid": "s-1", "word": "back", "version": 3, '
                '"by": "10.0.0.4:7946"}], "lost": [], "figures": {"verdicts": 0, "lifted": '
                '0, "over_part": 0}}\n'
            ),
            "application/json",
            "",
        ),
    ),
    ("POST", "/members/leave", (200, '{"left": "10.0.0.4:7946"}\n', "application/json", "")),
    ("GET", "/cells", None),
    ("GET", "/other", None),
]
CELLED_CALLS: list[tuple[str, str, Answer]] = [
    (
        "GET",
        "/cells",
        (
            200,
            (
                '{"epoch": 3, "digest": "c4a70c98407e55c1", "cells": [{"cell": "a", '
                '"weight": 1.0, "default": true, "ready": 1, "cold": 0, "short": false, '
                '"cores": 8, "open": 0, "lent": 0, "refused_for_room": 0, "engines": '
                '["s-1"]}, {"cell": "b", "weight": 1.0, "default": false, "ready": 1, '
                '"cold": 0, "short": true, "cores": 8, "open": 0, "lent": 0, '
                '"refused_for_room": 0, "engines": ["s-2"]}], "tenants": [{"tenant": "acme", '
                '"cell": "b", "load": 0.0}], "unplaced": [], "moves": []}\n'
            ),
            "application/json",
            "",
        ),
    ),
    ("POST", "/cells", (405, '{"error": "this call is a GET"}\n', "application/json", "GET")),
    (
        "GET",
        "/cells/move/acme/a",
        (405, '{"error": "this call is a POST"}\n', "application/json", "POST"),
    ),
    (
        "POST",
        "/cells/move/acme/nowhere",
        (409, '{"error": "cell: \'nowhere\' is no cell"}\n', "application/json", ""),
    ),
    (
        "POST",
        "/cells/abort/acme",
        (409, '{"error": "tenant: \'acme\' is not on the move"}\n', "application/json", ""),
    ),
    (
        "POST",
        "/cells/move/acme/b",
        (409, "{\"error\": \"cell: 'acme' is in 'b' already\"}\n", "application/json", ""),
    ),
    (
        "POST",
        "/cells/move/acme/a",
        (
            200,
            (
                '{"subject": "acme", "source": "b", "target": "a", "stage": "proposed", '
                '"version": 1, "at": 1700000000000000000, "begun": 1700000000000000000, '
                '"driver": "4711-00000000", "able_since": 0, "lost_since": 0, "switch_at": '
                '0, "why": ""}\n'
            ),
            "application/json",
            "",
        ),
    ),
    (
        "POST",
        "/cells/move/acme/a",
        (
            409,
            "{\"error\": \"tenant: 'acme' is on the move to 'a' (proposed)\"}\n",
            "application/json",
            "",
        ),
    ),
    (
        "GET",
        "/cells",
        (
            200,
            (
                '{"epoch": 3, "digest": "c4a70c98407e55c1", "cells": [{"cell": "a", '
                '"weight": 1.0, "default": true, "ready": 1, "cold": 0, "short": false, '
                '"cores": 8, "open": 0, "lent": 0, "refused_for_room": 0, "engines": '
                '["s-1"]}, {"cell": "b", "weight": 1.0, "default": false, "ready": 1, '
                '"cold": 0, "short": true, "cores": 8, "open": 0, "lent": 0, '
                '"refused_for_room": 0, "engines": ["s-2"]}], "tenants": [{"tenant": "acme", '
                '"cell": "b", "load": 0.0}], "unplaced": [], "moves": [{"subject": "acme", '
                '"source": "b", "target": "a", "stage": "proposed", "version": 1, "at": '
                '1700000000000000000, "begun": 1700000000000000000, "driver": '
                '"4711-00000000", "able_since": 0, "lost_since": 0, "switch_at": 0, "why": '
                '""}]}\n'
            ),
            "application/json",
            "",
        ),
    ),
    (
        "POST",
        "/cells/abort/acme",
        (
            200,
            (
                '{"subject": "acme", "source": "b", "target": "a", "stage": "taken back", '
                '"version": 2, "at": 1700000000000000000, "begun": 1700000000000000000, '
                '"driver": "4711-00000000", "able_since": 0, "lost_since": 0, "switch_at": '
                '0, "why": "by the operators"}\n'
            ),
            "application/json",
            "",
        ),
    ),
    ("POST", "/cells/odd", (404, '{"error": "no such call"}\n', "application/json", "")),
    (
        "POST",
        "/cells/move/%ff/a",
        (400, '{"error": "a name that is no text"}\n', "application/json", ""),
    ),
    (
        "GET",
        "/start",
        (
            200,
            (
                '{"place": 0, "fleet": 1, "stage": "contact", "for": 0.0, "waits_for": "0.5 '
                'of 0 engines, heard of 0", "ready": false, "list": "known", "list_age": '
                '0.0, "confirmed": true, "listed": 0, "heard": 0, "share": 0.0, "passed": '
                '[{"stage": "settings", "took": 0.0, "why": "read"}, {"stage": "list", '
                '"took": 0.0, "why": "told by the known"}]}\n'
            ),
            "application/json",
            "",
        ),
    ),
]


@pytest.fixture
def _frozen(monkeypatch: pytest.MonkeyPatch) -> None:
    """The clock stands still and random bytes are zeros, so that each run gives the same texts."""
    monkeypatch.setattr(Clock, "now", lambda self: NOW)
    monkeypatch.setattr(os, "urandom", bytes)
    monkeypatch.setattr(os, "getpid", lambda: 4711)


def write_operators_file(folder: Path, cells: str) -> str:
    keys = folder / "keys"
    keys.write_text("1 " + "00" * 32 + "\n")
    path = folder / "ops.star"
    path.write_text(DIRECTIVES.replace("KEYS", str(keys)).replace("CELLS", cells))
    return str(path)


def make_node(folder: Path, cells: bool) -> ConfiguredNode:
    """A node with all subsystems of the operators' file, which is not run."""
    path = write_operators_file(folder, CELLS if cells else "")
    limits = {
        "cancel": True,
        "peer_messages": True,
        "probing": True,
        "retry_after": True,
        "send_cap": 3,
        "max_retry_after": 2 * S,
    }
    config = make_config(target_entry("s-1", 9), operator=True, policy_limits=limits)
    kind = CellNode if cells else ConfiguredNode
    node = kind(config, evaluate(path), path, {})
    node.dispatcher.endpoint_list_changed(
        parse_event(topology_event(1, target_entry("s-1", 9), target_entry("s-2", 9), full=True))
    )
    return node


def play(node: ConfiguredNode, method: str, path: str) -> Answer:
    answer = node.admin_api.call_subsystem(method, path)
    return answer and (answer[0], answer[1].decode(), answer[2], answer[3])


def check_calls(node: ConfiguredNode, calls: list[tuple[str, str, Answer]]) -> None:
    async def check() -> None:
        for method, path, expected in calls:
            assert play(node, method, path) == expected, (method, path)
        node.stop()

    asyncio.run(check())


@pytest.mark.usefixtures("_frozen")
def test_answers_of_a_node_with_an_operators_file(tmp_path: Path) -> None:
    check_calls(make_node(tmp_path, cells=False), FILED_CALLS)


@pytest.mark.usefixtures("_frozen")
def test_answers_of_a_node_with_cells(tmp_path: Path) -> None:
    check_calls(make_node(tmp_path, cells=True), CELLED_CALLS)


# Of a node that knows other members, holds out an engine and is the home of its limits.
BUSY_CALLS: list[tuple[str, str, Answer]] = [
    (
        "GET",
        "/members",
        (
            200,
            (
                '{"me": "10.0.0.4:7946", "boot": "760e84be472f9e959dc16725", "incarnation": '
                '0, "left": false, "doubt": 0, "pauses": 0, "isolated": false, "view": '
                '{"epoch": 0, "digest": "", "certain": true, "why": "nobody has been heard '
                'yet", "alive": 1, "reference": 1, "limits_by": 1, "place": 0, "configured": '
                '1}, "bounds_s": {"suspected_median": 2.2, "suspected_p99": 6.1, '
                '"suspected_worst": 15.5, "removed_median": 8.2, "removed_p99": 16.1, '
                '"removed_worst": 41.5}, "members": [{"address": "10.0.1.0:7946", "boot": '
                '"000000000000000000000000", "incarnation": 3, "status": "alive", "for": '
                '7.0, "place": 0, "zone": "west", "verdict": "reached", "heard": 0.25, '
                '"reached": 0.5, "through_others": 2.0, "hears_us": 3.0, "by": "10.0.1.9:1", '
                '"round_trip_ms": 0.0, "helpers": {"10.0.1.8:7946": {"reached": true, "ago": '
                '4.0}}}, {"address": "10.0.1.1:7946", "boot": "010101010101010101010101", '
                '"incarnation": 3, "status": "suspect", "for": 7.0, "place": 1, "zone": '
                '"west", "verdict": "its answers don\'t reach us", "heard": 0.25, "reached": '
                'null, "through_others": 2.0, "hears_us": 3.0, "by": "10.0.1.9:1", '
                '"round_trip_ms": 0.0, "helpers": {"10.0.1.8:7946": {"reached": true, "ago": '
                '4.0}}}, {"address": "10.0.1.2:7946", "boot": "020202020202020202020202", '
                '"incarnation": 3, "status": "dead", "for": 7.0, "place": 2, "zone": "west", '
                '"verdict": "dead: nobody has heard it", "heard": 0.25, "reached": null, '
                '"through_others": 2.0, "hears_us": 3.0, "by": "10.0.1.9:1", '
                '"round_trip_ms": 0.0, "helpers": {"10.0.1.8:7946": {"reached": true, "ago": '
                '4.0}}}, {"address": "10.0.1.3:7946", "boot": "030303030303030303030303", '
                '"incarnation": 3, "status": "left", "for": 7.0, "place": 3, "zone": "west", '
                '"verdict": "has left", "heard": 0.25, "reached": null, "through_others": '
                '2.0, "hears_us": 3.0, "by": "10.0.1.9:1", "round_trip_ms": 0.0, "helpers": '
                '{"10.0.1.8:7946": {"reached": true, "ago": 4.0}}}], "figures": {"bytes_in": '
                '0, "bytes_out": 0, "flooded": 0, "dropped": {"forged": 2}}}\n'
            ),
            "application/json",
            "",
        ),
    ),
    (
        "GET",
        "/members/keys",
        (
            200,
            '{"signs": 1, "reads": [1], "taken_in": {}, "dropped": {"forged": 2}}\n',
            "application/json",
            "",
        ),
    ),
    (
        "GET",
        "/verdicts",
        (
            200,
            (
                '{"verdicts": [{"uid": "s-1", "kind": "bad for all", "zone": "", '
                '"observers": 3, "for": 1.0, "at_least": 4.0, "evidence_age": 2.0, '
                '"relapses": 1}, {"uid": "s-2", "kind": "out of this zone\'s reach", "zone": '
                '"east", "observers": 2, "for": 1.0, "at_least": 4.0, "evidence_age": 2.0, '
                '"relapses": 0}], "words": [], "lost": [], "figures": {"verdicts": 0, '
                '"lifted": 0, "over_part": 0}}\n'
            ),
            "application/json",
            "",
        ),
    ),
    (
        "GET",
        "/limits",
        (
            200,
            (
                '{"me": "10.0.0.4:7946", "limits": [{"name": "orders", "kind": "tenant", '
                '"hard": true, "whole": 50.0, "ours": 22.5, "asked": 0.0, "stale_s": 4.0, '
                '"overshoot_promised": 0.0, "floor": 10.0, "held": 12.5, "left_s": 2.0, '
                '"want": 0.0, "home": "10.0.0.4:7946", "floor_in_force": false, "lent": {}}, '
                '{"name": "attempts", "kind": "further", "hard": false, "whole": 10.0, '
                '"ours": 5.0, "asked": 0.0, "stale_s": 3.0, "overshoot_promised": 0.0, '
                '"age_s": 0.0, "overshoot_seen": 0.0}], "breaches": 0, "figures": {"asked": '
                '0, "granted": 0, "refused": 0, "homes_lost": 0, "ended": 0, "rows": 0, '
                '"old_rows": 0}}\n'
            ),
            "application/json",
            "",
        ),
    ),
    (
        "POST",
        "/limits/lend/orders/10.0.1.0:7946/3",
        (
            200,
            '{"limit": "orders", "holder": "10.0.1.0:7946", "at_most": 3.0}\n',
            "application/json",
            "",
        ),
    ),
    (
        "POST",
        "/limits/recall/orders/10.0.1.0:7946",
        (
            200,
            '{"limit": "orders", "holder": "10.0.1.0:7946", "at_most": 0.0}\n',
            "application/json",
            "",
        ),
    ),
    (
        "POST",
        "/limits/lend/attempts/10.0.1.0:7946/3",
        (404, '{"error": "no such call, or no such limit"}\n', "application/json", ""),
    ),
    (
        "POST",
        "/verdicts/clear/s-1",
        (200, '{"uid": "s-1", "word": "back", "version": 1}\n', "application/json", ""),
    ),
    (
        "GET",
        "/verdicts",
        (
            200,
            (
                '{"verdicts": [{"uid": "s-1", "kind": "bad for all", "zone": "", '
                '"observers": 3, "for": 1.0, "at_least": 4.0, "evidence_age": 2.0, '
                '"relapses": 1}, {"uid": "s-2", "kind": "out of this zone\'s reach", "zone": '
                '"east", "observers": 2, "for": 1.0, "at_least": 4.0, "evidence_age": 2.0, '
                '"relapses": 0}], "words": [{"uid": "s-1", "word": "back", "version": 1, '
                '"by": "10.0.0.4:7946"}], "lost": [], "figures": {"verdicts": 0, "lifted": '
                '0, "over_part": 0}}\n'
            ),
            "application/json",
            "",
        ),
    ),
]
BUSY_METRICS = (
    "# HELP edge_proxy_members Other members by what they are held to be.\n"
    "# TYPE edge_proxy_members gauge\n"
    'edge_proxy_members{status="alive"} 1\n'
    'edge_proxy_members{status="suspect"} 1\n'
    'edge_proxy_members{status="dead"} 1\n'
    'edge_proxy_members{status="left"} 1\n'
    "# HELP edge_proxy_members_view_epoch Number of the view.\n"
    "# TYPE edge_proxy_members_view_epoch gauge\n"
    "edge_proxy_members_view_epoch 0\n"
    "# HELP edge_proxy_members_view_certain 1: limits go by the view.\n"
    "# TYPE edge_proxy_members_view_certain gauge\n"
    "edge_proxy_members_view_certain 1\n"
    "# HELP edge_proxy_members_view_limits_by Brokers that limits are divided "
    "by.\n"
    "# TYPE edge_proxy_members_view_limits_by gauge\n"
    "edge_proxy_members_view_limits_by 1\n"
    "# HELP edge_proxy_members_doubt How far the broker doubts its own senses, 0 "
    "to 8.\n"
    "# TYPE edge_proxy_members_doubt gauge\n"
    "edge_proxy_members_doubt 0\n"
    "# HELP edge_proxy_members_suspicions_total Members that were suspected.\n"
    "# TYPE edge_proxy_members_suspicions_total counter\n"
    "edge_proxy_members_suspicions_total 0\n"
    "# HELP edge_proxy_members_refuted_total Suspicions of this broker that it "
    "refuted.\n"
    "# TYPE edge_proxy_members_refuted_total counter\n"
    "edge_proxy_members_refuted_total 0\n"
    "# HELP edge_proxy_members_false_suspicions_total Suspicions known to be "
    "false afterwards.\n"
    "# TYPE edge_proxy_members_false_suspicions_total counter\n"
    "edge_proxy_members_false_suspicions_total 0\n"
    "# HELP edge_proxy_members_removals_total Members that were removed.\n"
    "# TYPE edge_proxy_members_removals_total counter\n"
    "edge_proxy_members_removals_total 0\n"
    "# HELP edge_proxy_members_false_removals_total Removed members that came "
    "back.\n"
    "# TYPE edge_proxy_members_false_removals_total counter\n"
    "edge_proxy_members_false_removals_total 0\n"
    "# HELP edge_proxy_members_removal_ms_total Milliseconds from the last word "
    "of a member to its removal.\n"
    "# TYPE edge_proxy_members_removal_ms_total counter\n"
    "edge_proxy_members_removal_ms_total 0\n"
    "# HELP edge_proxy_members_bytes_in_total Bytes from members.\n"
    "# TYPE edge_proxy_members_bytes_in_total counter\n"
    "edge_proxy_members_bytes_in_total 0\n"
    "# HELP edge_proxy_members_bytes_out_total Bytes to members.\n"
    "# TYPE edge_proxy_members_bytes_out_total counter\n"
    "edge_proxy_members_bytes_out_total 0\n"
    "# HELP edge_proxy_members_flooded_total Datagrams that were not looked at, "
    "being too many.\n"
    "# TYPE edge_proxy_members_flooded_total counter\n"
    "edge_proxy_members_flooded_total 0\n"
    "# HELP edge_proxy_members_dropped_total Datagrams that changed nothing, by "
    "why.\n"
    "# TYPE edge_proxy_members_dropped_total counter\n"
    'edge_proxy_members_dropped_total{why="forged"} 2\n'
    "# HELP edge_proxy_limit_ours What this broker may use of a limit, a second.\n"
    "# TYPE edge_proxy_limit_ours gauge\n"
    'edge_proxy_limit_ours{limit="orders"} 22.5\n'
    'edge_proxy_limit_ours{limit="attempts"} 5\n'
    "# HELP edge_proxy_limit_asked What was asked of it in the last second.\n"
    "# TYPE edge_proxy_limit_asked gauge\n"
    'edge_proxy_limit_asked{limit="orders"} 0\n'
    'edge_proxy_limit_asked{limit="attempts"} 0\n'
    "# HELP edge_proxy_limit_held What of it is leased.\n"
    "# TYPE edge_proxy_limit_held gauge\n"
    'edge_proxy_limit_held{limit="orders"} 12.5\n'
    'edge_proxy_limit_held{limit="attempts"} 0\n'
    "# HELP edge_proxy_limit_overshoot_promised By how much all may be over.\n"
    "# TYPE edge_proxy_limit_overshoot_promised gauge\n"
    'edge_proxy_limit_overshoot_promised{limit="orders"} 0\n'
    'edge_proxy_limit_overshoot_promised{limit="attempts"} 0\n'
    "# HELP edge_proxy_limit_overshoot_seen By how much all were seen to be "
    "over.\n"
    "# TYPE edge_proxy_limit_overshoot_seen gauge\n"
    'edge_proxy_limit_overshoot_seen{limit="orders"} 0\n'
    'edge_proxy_limit_overshoot_seen{limit="attempts"} 0\n'
    "# HELP edge_proxy_limit_events_total What became of leases.\n"
    "# TYPE edge_proxy_limit_events_total counter\n"
    'edge_proxy_limit_events_total{event="asked"} 0\n'
    'edge_proxy_limit_events_total{event="granted"} 0\n'
    'edge_proxy_limit_events_total{event="refused"} 0\n'
    'edge_proxy_limit_events_total{event="homes_lost"} 0\n'
    'edge_proxy_limit_events_total{event="ended"} 0\n'
    'edge_proxy_limit_events_total{event="breaches"} 0\n'
    "# HELP edge_proxy_verdicts Engines that shared verdicts hold out.\n"
    "# TYPE edge_proxy_verdicts gauge\n"
    "edge_proxy_verdicts 2\n"
    "# HELP edge_proxy_verdict_events_total Verdicts begun, lifted, or over the "
    "part.\n"
    "# TYPE edge_proxy_verdict_events_total counter\n"
    'edge_proxy_verdict_events_total{event="verdicts"} 0\n'
    'edge_proxy_verdict_events_total{event="lifted"} 0\n'
    'edge_proxy_verdict_events_total{event="over_part"} 0\n'
)


def make_busy_node(folder: Path) -> ConfiguredNode:
    node = make_node(folder, cells=False)
    membership = node.membership_service
    sharing = node.quota_service
    judging = node.outlier_consensus_service
    assert membership is not None
    assert sharing is not None
    assert judging is not None
    detector = membership.detector
    for number, status in enumerate(list(Status)[:4]):
        identity = Identity(f"10.0.1.{number}:7946", bytes([number]) * 12)
        peer = MemberRecord(
            identity, 3, b"", b"", status, NOW - 7 * S, number, "west", 1, "10.0.1.9:1"
        )
        peer.received_ns = NOW - S // 4
        peer.acked_ns = 0 if number else NOW - S // 2
        peer.acked_indirectly_ns = NOW - 2 * S
        peer.hears_us_ns = NOW - 3 * S
        peer.helper_results = {"10.0.1.8:7946": HelperResult(True, NOW - 4 * S)}
        detector.table.records[identity] = peer
    view = membership.views.view
    first = next(iter(detector.table.records))
    membership.views.view = replace(view, members=(detector.me, first), certain=True)
    membership.codec.dropped["forged"] = 2
    sharing.leases.state.members = (membership.name,)
    sharing.leases.holder.leases["orders"] = Lease(12.5, NOW + 2 * S, 1, 1)
    engine = Endpoint("s-1", 5)
    judging.consensus.ejections[engine] = Ejection(
        engine,
        OutlierScope.FLEET,
        "",
        NOW - S,
        NOW + 4 * S,
        NOW - 2 * S,
        frozenset({"x", "y", "z"}),
        1,
    )
    zoned = Endpoint("s-2", 6)
    judging.consensus.ejections[zoned] = Ejection(
        zoned, OutlierScope.ZONE, "east", NOW - S, NOW + 4 * S, NOW - 2 * S, frozenset({"x", "y"})
    )
    return node


@pytest.mark.usefixtures("_frozen")
def test_answers_and_metrics_of_a_node_that_knows_other_members(tmp_path: Path) -> None:
    node = make_busy_node(tmp_path)
    assert subsystem_metrics(node) == BUSY_METRICS
    check_calls(node, BUSY_CALLS)


def subsystem_metrics(node: ConfiguredNode) -> str:
    """Those of members, limits and verdicts."""
    lines = node.admin_api.metrics().decode().splitlines(keepends=True)
    names = ("edge_proxy_members", "edge_proxy_limit", "edge_proxy_verdict")
    return "".join(line for line in lines if any(name in line for name in names))


# --- metrics ---

BASE_METRICS = (
    "# HELP edge_proxy_replies_total Requests answered, by class: served, "
    "refused, failed.\n"
    "# TYPE edge_proxy_replies_total counter\n"
    'edge_proxy_replies_total{type="glance",status="success"} 1\n'
    'edge_proxy_replies_total{type="glance",status="overload"} 1\n'
    'edge_proxy_replies_total{type="glance",status="error"} 0\n'
    'edge_proxy_replies_total{type="quo\\"te",status="success"} 0\n'
    'edge_proxy_replies_total{type="quo\\"te",status="overload"} 0\n'
    'edge_proxy_replies_total{type="quo\\"te",status="error"} 1\n'
    "# HELP edge_proxy_dispatches_total Attempts written whole to data engines.\n"
    "# TYPE edge_proxy_dispatches_total counter\n"
    "edge_proxy_dispatches_total 3\n"
    "# HELP edge_proxy_concurrent Requests taken that have no final answer yet.\n"
    "# TYPE edge_proxy_concurrent gauge\n"
    "edge_proxy_concurrent 6\n"
    "# HELP edge_proxy_targets Data engines in the list.\n"
    "# TYPE edge_proxy_targets gauge\n"
    "edge_proxy_targets 7\n"
    "# HELP edge_proxy_targets_disabled Listed data engines that are left out, "
    "by hand or by choice.\n"
    "# TYPE edge_proxy_targets_disabled gauge\n"
    "edge_proxy_targets_disabled 8\n"
    "# HELP edge_proxy_reload_success_total Configuration files taken at SIGHUP.\n"
    "# TYPE edge_proxy_reload_success_total counter\n"
    "edge_proxy_reload_success_total 4\n"
    "# HELP edge_proxy_reload_failure_total Configuration files turned down at "
    "SIGHUP.\n"
    "# TYPE edge_proxy_reload_failure_total counter\n"
    "edge_proxy_reload_failure_total 5\n"
)
BROKER_METRICS = (
    "# HELP edge_proxy_replies_total Requests answered, by class: served, "
    "refused, failed.\n"
    "# TYPE edge_proxy_replies_total counter\n"
    'edge_proxy_replies_total{type="glance",status="success"} 0\n'
    'edge_proxy_replies_total{type="glance",status="overload"} 0\n'
    'edge_proxy_replies_total{type="glance",status="error"} 0\n'
    'edge_proxy_replies_total{type="stock-add",status="success"} 0\n'
    'edge_proxy_replies_total{type="stock-add",status="overload"} 0\n'
    'edge_proxy_replies_total{type="stock-add",status="error"} 0\n'
    "# HELP edge_proxy_dispatches_total Attempts written whole to data engines.\n"
    "# TYPE edge_proxy_dispatches_total counter\n"
    "edge_proxy_dispatches_total 0\n"
    "# HELP edge_proxy_concurrent Requests taken that have no final answer yet.\n"
    "# TYPE edge_proxy_concurrent gauge\n"
    "edge_proxy_concurrent 0\n"
    "# HELP edge_proxy_targets Data engines in the list.\n"
    "# TYPE edge_proxy_targets gauge\n"
    "edge_proxy_targets 2\n"
    "# HELP edge_proxy_targets_disabled Listed data engines that are left out, "
    "by hand or by choice.\n"
    "# TYPE edge_proxy_targets_disabled gauge\n"
    "edge_proxy_targets_disabled 0\n"
    "# HELP edge_proxy_reload_success_total Configuration files taken at SIGHUP.\n"
    "# TYPE edge_proxy_reload_success_total counter\n"
    "edge_proxy_reload_success_total 0\n"
    "# HELP edge_proxy_reload_failure_total Configuration files turned down at "
    "SIGHUP.\n"
    "# TYPE edge_proxy_reload_failure_total counter\n"
    "edge_proxy_reload_failure_total 0\n"
)
FILED_METRICS = (
    "# HELP edge_proxy_start_seconds Time in each stage of the start.\n"
    "# TYPE edge_proxy_start_seconds gauge\n"
    'edge_proxy_start_seconds{stage="settings"} 0.000\n'
    'edge_proxy_start_seconds{stage="list"} 0.000\n'
    'edge_proxy_start_seconds{stage="contact"} 0.000\n'
    "# HELP edge_proxy_start_share Share of the admission that is open.\n"
    "# TYPE edge_proxy_start_share gauge\n"
    "edge_proxy_start_share 0.0000\n"
    "# HELP edge_proxy_members Other members by what they are held to be.\n"
    "# TYPE edge_proxy_members gauge\n"
    'edge_proxy_members{status="alive"} 0\n'
    'edge_proxy_members{status="suspect"} 0\n'
    'edge_proxy_members{status="dead"} 0\n'
    'edge_proxy_members{status="left"} 0\n'
    "# HELP edge_proxy_members_view_epoch Number of the view.\n"
    "# TYPE edge_proxy_members_view_epoch gauge\n"
    "edge_proxy_members_view_epoch 0\n"
    "# HELP edge_proxy_members_view_certain 1: limits go by the view.\n"
    "# TYPE edge_proxy_members_view_certain gauge\n"
    "edge_proxy_members_view_certain 0\n"
    "# HELP edge_proxy_members_view_limits_by Brokers that limits are divided "
    "by.\n"
    "# TYPE edge_proxy_members_view_limits_by gauge\n"
    "edge_proxy_members_view_limits_by 1\n"
    "# HELP edge_proxy_members_doubt How far the broker doubts its own senses, 0 "
    "to 8.\n"
    "# TYPE edge_proxy_members_doubt gauge\n"
    "edge_proxy_members_doubt 0\n"
    "# HELP edge_proxy_members_suspicions_total Members that were suspected.\n"
    "# TYPE edge_proxy_members_suspicions_total counter\n"
    "edge_proxy_members_suspicions_total 0\n"
    "# HELP edge_proxy_members_refuted_total Suspicions of this broker that it "
    "refuted.\n"
    "# TYPE edge_proxy_members_refuted_total counter\n"
    "edge_proxy_members_refuted_total 0\n"
    "# HELP edge_proxy_members_false_suspicions_total Suspicions known to be "
    "false afterwards.\n"
    "# TYPE edge_proxy_members_false_suspicions_total counter\n"
    "edge_proxy_members_false_suspicions_total 0\n"
    "# HELP edge_proxy_members_removals_total Members that were removed.\n"
    "# TYPE edge_proxy_members_removals_total counter\n"
    "edge_proxy_members_removals_total 0\n"
    "# HELP edge_proxy_members_false_removals_total Removed members that came "
    "back.\n"
    "# TYPE edge_proxy_members_false_removals_total counter\n"
    "edge_proxy_members_false_removals_total 0\n"
    "# HELP edge_proxy_members_removal_ms_total Milliseconds from the last word "
    "of a member to its removal.\n"
    "# TYPE edge_proxy_members_removal_ms_total counter\n"
    "edge_proxy_members_removal_ms_total 0\n"
    "# HELP edge_proxy_members_bytes_in_total Bytes from members.\n"
    "# TYPE edge_proxy_members_bytes_in_total counter\n"
    "edge_proxy_members_bytes_in_total 0\n"
    "# HELP edge_proxy_members_bytes_out_total Bytes to members.\n"
    "# TYPE edge_proxy_members_bytes_out_total counter\n"
    "edge_proxy_members_bytes_out_total 0\n"
    "# HELP edge_proxy_members_flooded_total Datagrams that were not looked at, "
    "being too many.\n"
    "# TYPE edge_proxy_members_flooded_total counter\n"
    "edge_proxy_members_flooded_total 0\n"
    "# HELP edge_proxy_members_dropped_total Datagrams that changed nothing, by "
    "why.\n"
    "# TYPE edge_proxy_members_dropped_total counter\n"
    "# HELP edge_proxy_limit_ours What this broker may use of a limit, a second.\n"
    "# TYPE edge_proxy_limit_ours gauge\n"
    'edge_proxy_limit_ours{limit="orders"} 10\n'
    'edge_proxy_limit_ours{limit="attempts"} 10\n'
    "# HELP edge_proxy_limit_asked What was asked of it in the last second.\n"
    "# TYPE edge_proxy_limit_asked gauge\n"
    'edge_proxy_limit_asked{limit="orders"} 0\n'
    'edge_proxy_limit_asked{limit="attempts"} 0\n'
    "# HELP edge_proxy_limit_held What of it is leased.\n"
    "# TYPE edge_proxy_limit_held gauge\n"
    'edge_proxy_limit_held{limit="orders"} 0\n'
    'edge_proxy_limit_held{limit="attempts"} 0\n'
    "# HELP edge_proxy_limit_overshoot_promised By how much all may be over.\n"
    "# TYPE edge_proxy_limit_overshoot_promised gauge\n"
    'edge_proxy_limit_overshoot_promised{limit="orders"} 0\n'
    'edge_proxy_limit_overshoot_promised{limit="attempts"} 0\n'
    "# HELP edge_proxy_limit_overshoot_seen By how much all were seen to be "
    "over.\n"
    "# TYPE edge_proxy_limit_overshoot_seen gauge\n"
    'edge_proxy_limit_overshoot_seen{limit="orders"} 0\n'
    'edge_proxy_limit_overshoot_seen{limit="attempts"} 0\n'
    "# HELP edge_proxy_limit_events_total What became of leases.\n"
    "# TYPE edge_proxy_limit_events_total counter\n"
    'edge_proxy_limit_events_total{event="asked"} 0\n'
    'edge_proxy_limit_events_total{event="granted"} 0\n'
    'edge_proxy_limit_events_total{event="refused"} 0\n'
    'edge_proxy_limit_events_total{event="homes_lost"} 0\n'
    'edge_proxy_limit_events_total{event="ended"} 0\n'
    'edge_proxy_limit_events_total{event="breaches"} 0\n'
    "# HELP edge_proxy_verdicts Engines that shared verdicts hold out.\n"
    "# TYPE edge_proxy_verdicts gauge\n"
    "edge_proxy_verdicts 0\n"
    "# HELP edge_proxy_verdict_events_total Verdicts begun, lifted, or over the "
    "part.\n"
    "# TYPE edge_proxy_verdict_events_total counter\n"
    'edge_proxy_verdict_events_total{event="verdicts"} 0\n'
    'edge_proxy_verdict_events_total{event="lifted"} 0\n'
    'edge_proxy_verdict_events_total{event="over_part"} 0\n'
)
CELLED_METRICS = (
    "# HELP larchhall_cell_replies_total Requests answered, by cell and class.\n"
    "# TYPE larchhall_cell_replies_total counter\n"
    "# HELP larchhall_cell_open Requests that hold a part of the room.\n"
    "# TYPE larchhall_cell_open gauge\n"
    'larchhall_cell_open{cell="a"} 0\n'
    'larchhall_cell_open{cell="b"} 0\n'
    "# HELP larchhall_cell_statement_bytes Bytes of their statements.\n"
    "# TYPE larchhall_cell_statement_bytes gauge\n"
    'larchhall_cell_statement_bytes{cell="a"} 0\n'
    'larchhall_cell_statement_bytes{cell="b"} 0\n'
    "# HELP larchhall_cell_engine_connections Connections to the cell's engines.\n"
    "# TYPE larchhall_cell_engine_connections gauge\n"
    'larchhall_cell_engine_connections{cell="a"} 0\n'
    'larchhall_cell_engine_connections{cell="b"} 0\n'
    "# HELP larchhall_cell_lent Requests beyond the cell's own part.\n"
    "# TYPE larchhall_cell_lent gauge\n"
    'larchhall_cell_lent{cell="a"} 0\n'
    'larchhall_cell_lent{cell="b"} 0\n'
    "# HELP larchhall_cell_engines_ready Engines that take new work.\n"
    "# TYPE larchhall_cell_engines_ready gauge\n"
    'larchhall_cell_engines_ready{cell="a"} 1\n'
    'larchhall_cell_engines_ready{cell="b"} 1\n'
    "# HELP larchhall_cell_engines_cold Those of them that are cold.\n"
    "# TYPE larchhall_cell_engines_cold gauge\n"
    'larchhall_cell_engines_cold{cell="a"} 0\n'
    'larchhall_cell_engines_cold{cell="b"} 0\n'
    "# HELP larchhall_cell_refused_for_room_total Requests refused since the "
    "cell's part was full.\n"
    "# TYPE larchhall_cell_refused_for_room_total counter\n"
    'larchhall_cell_refused_for_room_total{cell="a"} 0\n'
    'larchhall_cell_refused_for_room_total{cell="b"} 0\n'
    "# HELP larchhall_cell_moves Moves on record, by stage.\n"
    "# TYPE larchhall_cell_moves gauge\n"
    "# HELP larchhall_cell_called_in_total Requests on loan that were called in.\n"
    "# TYPE larchhall_cell_called_in_total counter\n"
    "larchhall_cell_called_in_total 0\n"
    "# HELP larchhall_cell_map_epoch Epoch of the map in force.\n"
    "# TYPE larchhall_cell_map_epoch gauge\n"
    "larchhall_cell_map_epoch 3\n"
)
DEADLINE_METRICS = (
    "# HELP larchhall_taken_back_total Attempts stopped at a hand-over before a "
    "byte left.\n"
    "# TYPE larchhall_taken_back_total counter\n"
    'larchhall_taken_back_total{at="connection",cause="budget"} 2\n'
    'larchhall_taken_back_total{at="connection",cause="drained"} 2\n'
    'larchhall_taken_back_total{at="connection",cause="left"} 2\n'
    'larchhall_taken_back_total{at="connection",cause="out"} 2\n'
    'larchhall_taken_back_total{at="connection",cause="past"} 2\n'
    'larchhall_taken_back_total{at="connection",cause="too late"} 2\n'
    'larchhall_taken_back_total{at="pool",cause="budget"} 1\n'
    'larchhall_taken_back_total{at="pool",cause="drained"} 1\n'
    'larchhall_taken_back_total{at="pool",cause="left"} 1\n'
    'larchhall_taken_back_total{at="pool",cause="out"} 1\n'
    'larchhall_taken_back_total{at="pool",cause="past"} 1\n'
    'larchhall_taken_back_total{at="pool",cause="too late"} 1\n'
    'larchhall_taken_back_total{at="socket",cause="budget"} 3\n'
    'larchhall_taken_back_total{at="socket",cause="drained"} 3\n'
    'larchhall_taken_back_total{at="socket",cause="left"} 3\n'
    'larchhall_taken_back_total{at="socket",cause="out"} 3\n'
    'larchhall_taken_back_total{at="socket",cause="past"} 3\n'
    'larchhall_taken_back_total{at="socket",cause="too late"} 3\n'
    "# HELP larchhall_begun_after_total Attempts half written when their request "
    "ended.\n"
    "# TYPE larchhall_begun_after_total counter\n"
    'larchhall_begun_after_total{cause="budget"} 6\n'
    'larchhall_begun_after_total{cause="drained"} 5\n'
    'larchhall_begun_after_total{cause="left"} 1\n'
    'larchhall_begun_after_total{cause="out"} 4\n'
    'larchhall_begun_after_total{cause="past"} 2\n'
    'larchhall_begun_after_total{cause="too late"} 3\n'
    "# HELP larchhall_undone_total Running attempts that were undone.\n"
    "# TYPE larchhall_undone_total counter\n"
    "larchhall_undone_total 3\n"
    "# HELP larchhall_undone_stopped_total Of them, those that were silent from "
    "then on.\n"
    "# TYPE larchhall_undone_stopped_total counter\n"
    "larchhall_undone_stopped_total 1\n"
    "# HELP larchhall_undone_went_on_total Of them, those that answered all the "
    "same.\n"
    "# TYPE larchhall_undone_went_on_total counter\n"
    "larchhall_undone_went_on_total 2\n"
    "# HELP larchhall_answers_late_total Answers that came when nobody waited.\n"
    "# TYPE larchhall_answers_late_total counter\n"
    "larchhall_answers_late_total 4\n"
    "# HELP larchhall_margin_seconds Kept of each request's time for its "
    "answer's way back.\n"
    "# TYPE larchhall_margin_seconds gauge\n"
    "larchhall_margin_seconds 0.010000\n"
    "# HELP larchhall_further_refused_total Further attempts that the budget did "
    "not allow.\n"
    "# TYPE larchhall_further_refused_total counter\n"
    "larchhall_further_refused_total 6\n"
    "# HELP larchhall_stage_seconds Time that requests spent in each stage.\n"
    "# TYPE larchhall_stage_seconds histogram\n"
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.0001"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.00025"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.0005"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.001"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.0025"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.005"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.01"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.025"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.05"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.25"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="2.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="10"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="30"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="+Inf"} 1\n'
    'larchhall_stage_seconds_sum{type="glance",stage="answer"} 0.006000\n'
    'larchhall_stage_seconds_count{type="glance",stage="answer"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.0001"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.00025"} '
    "0\n"
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.0005"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.001"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.0025"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.005"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.01"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.025"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.05"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.25"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="2.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="10"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="30"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="+Inf"} 1\n'
    'larchhall_stage_seconds_sum{type="glance",stage="connect"} 0.003000\n'
    'larchhall_stage_seconds_count{type="glance",stage="connect"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.0001"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.00025"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.0005"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.001"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.0025"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.005"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.01"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.025"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.05"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.25"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="2.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="10"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="30"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="+Inf"} 1\n'
    'larchhall_stage_seconds_sum{type="glance",stage="decide"} 0.002000\n'
    'larchhall_stage_seconds_count{type="glance",stage="decide"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.0001"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.00025"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.0005"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.001"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.0025"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.005"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.01"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.025"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.05"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.25"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="2.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="10"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="30"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="+Inf"} 1\n'
    'larchhall_stage_seconds_sum{type="glance",stage="engine"} 0.005000\n'
    'larchhall_stage_seconds_count{type="glance",stage="engine"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.0001"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.00025"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.0005"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.001"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.0025"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.005"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.01"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.025"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.05"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.25"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="2.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="10"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="30"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="+Inf"} 1\n'
    'larchhall_stage_seconds_sum{type="glance",stage="read"} 0.001000\n'
    'larchhall_stage_seconds_count{type="glance",stage="read"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.0001"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.00025"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.0005"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.001"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.0025"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.005"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.01"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.025"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.05"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.25"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="2.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="10"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="30"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="+Inf"} 1\n'
    'larchhall_stage_seconds_sum{type="glance",stage="write"} 0.004000\n'
    'larchhall_stage_seconds_count{type="glance",stage="write"} 1\n'
)
EMPTY_DEADLINE_METRICS = (
    "# HELP larchhall_taken_back_total Attempts stopped at a hand-over before a "
    "byte left.\n"
    "# TYPE larchhall_taken_back_total counter\n"
    "# HELP larchhall_begun_after_total Attempts half written when their request "
    "ended.\n"
    "# TYPE larchhall_begun_after_total counter\n"
    "# HELP larchhall_undone_total Running attempts that were undone.\n"
    "# TYPE larchhall_undone_total counter\n"
    "larchhall_undone_total 0\n"
    "# HELP larchhall_undone_stopped_total Of them, those that were silent from "
    "then on.\n"
    "# TYPE larchhall_undone_stopped_total counter\n"
    "larchhall_undone_stopped_total 0\n"
    "# HELP larchhall_undone_went_on_total Of them, those that answered all the "
    "same.\n"
    "# TYPE larchhall_undone_went_on_total counter\n"
    "larchhall_undone_went_on_total 0\n"
    "# HELP larchhall_answers_late_total Answers that came when nobody waited.\n"
    "# TYPE larchhall_answers_late_total counter\n"
    "larchhall_answers_late_total 0\n"
    "# HELP larchhall_margin_seconds Kept of each request's time for its "
    "answer's way back.\n"
    "# TYPE larchhall_margin_seconds gauge\n"
    "larchhall_margin_seconds 0.010000\n"
    "# HELP larchhall_stage_seconds Time that requests spent in each stage.\n"
    "# TYPE larchhall_stage_seconds histogram\n"
)


def base_metrics() -> str:
    figures = Metrics(["glance", 'quo"te'])
    figures.count_reply("glance", SUCCESS)
    figures.count_reply("glance", OVERLOAD)
    figures.count_reply('quo"te', ERROR)
    figures.dispatches = 3
    figures.reloads_applied = 4
    figures.reloads_rejected = 5
    return figures.text(concurrent=6, targets=7, disabled=8).decode()


def test_metrics_of_every_broker() -> None:
    assert base_metrics() == BASE_METRICS


def node_metrics(node: ConfiguredNode) -> str:
    async def read() -> str:
        text = node.admin_api.metrics().decode()
        node.stop()
        return text

    return asyncio.run(read())


@pytest.mark.usefixtures("_frozen")
def test_metrics_of_a_node_with_an_operators_file(tmp_path: Path) -> None:
    assert node_metrics(make_node(tmp_path, cells=False)) == BROKER_METRICS + FILED_METRICS


@pytest.mark.usefixtures("_frozen")
def test_metrics_of_a_node_with_cells(tmp_path: Path) -> None:
    text = node_metrics(make_node(tmp_path, cells=True))
    assert text == BROKER_METRICS + FILED_METRICS + CELLED_METRICS


def deadline_metrics() -> str:
    tally = HandOverStatistics(
        stopped_after_cancel=1, answered_after_cancel=2, cancels_sent=3, late_answers=4
    )
    for number, hand in enumerate(HandOver, 1):
        for stop in StopReason:
            tally.stopped[hand, stop] = number
    for number, stop in enumerate(StopReason, 1):
        tally.begun_after[stop] = number
    stages = StageLatencies(MarginTerms())
    for number, stage in enumerate(LatencyStage, 1):
        stages.add("glance", stage, number * S // 1000, NOW)
    return deadline_figures.text(
        tally, stages, 10_000_000, RetryBudget(FurtherTerms(), refused=6)
    ).decode()


def test_metrics_of_deadlines() -> None:
    assert deadline_metrics() == DEADLINE_METRICS


def test_metrics_of_deadlines_without_a_retry_budget() -> None:
    text = deadline_figures.text(
        HandOverStatistics(), StageLatencies(MarginTerms()), 10_000_000, None
    ).decode()
    assert text == EMPTY_DEADLINE_METRICS


# --- log lines ---


def test_plain_log_line(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("time.time", lambda: 1_700_000_000.25)
    Log("n0")("bus", "no beat: connecting anew")
    assert capsys.readouterr().err == "1700000000.250 n0 bus: no beat: connecting anew\n"


def test_json_log_line(capsys: pytest.CaptureFixture[str]) -> None:
    StructuredLog("n0", Logs("json"))("bus", "no beat")
    line = json.loads(capsys.readouterr().err)
    assert sorted(line) == ["broker", "event", "kind", "timestamp"]
    assert (line["broker"], line["kind"], line["event"]) == ("n0", "bus", "no beat")


def test_text_log_line(capsys: pytest.CaptureFixture[str]) -> None:
    StructuredLog("n0", Logs("text"))("bus", "no beat")
    first, rest = capsys.readouterr().err.split(" ", 1)
    assert first.startswith("timestamp=20")
    assert rest == 'broker=n0 kind=bus event="no beat"\n'


def traced_request() -> ActiveRequest:
    ms = S // 1000
    request = ActiveRequest(
        "1", b"9b1f03aa5c7e2d41", b"glance", b"SELECT 1", None, 1, NOW + 5 * S, tenant="acme"
    )
    request.received_ns = NOW
    request.accepted_ns = NOW + 1 * ms
    attempt = Attempt(request, 0, 51, NOW + 3 * ms, NOW + 4 * S, NOW + 3 * S)
    attempt.assigned_ns = NOW + 6 * ms
    attempt.written_ns = NOW + 10 * ms
    attempt.answered_ns = NOW + 15 * ms
    request.attempts[0] = attempt
    return request


def test_fields_of_a_request_log_line() -> None:
    assert request_trace(traced_request(), "served", NOW + 21 * S // 1000) == {
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
