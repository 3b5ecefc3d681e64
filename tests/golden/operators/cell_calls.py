"""Calls to a node with cells, with their answers."""

from __future__ import annotations

from .subsystem_calls import ONLY_GET, ONLY_POST, START, Answer, OperatorCall

# The answer to `GET /cells` up to its list of migrations.
CELLS = (
    '{"epoch": 3, "digest": "c4a70c98407e55c1", "cells": [{"cell": "a", '
    '"weight": 1.0, "default": true, "ready": 1, "cold": 0, "short": false, '
    '"cores": 8, "open": 0, "lent": 0, "refused_for_room": 0, "engines": '
    '["s-1"]}, {"cell": "b", "weight": 1.0, "default": false, "ready": 1, '
    '"cold": 0, "short": true, "cores": 8, "open": 0, "lent": 0, '
    '"refused_for_room": 0, "engines": ["s-2"]}], "tenants": [{"tenant": "acme", '
    '"cell": "b", "load": 0.0}], "unplaced": [], "moves": '
)
PROPOSED_MIGRATION = (
    '{"subject": "acme", "source": "b", "target": "a", "stage": "proposed", '
    '"version": 1, "at": 1700000000000000000, "begun": 1700000000000000000, '
    '"driver": "4711-00000000", "able_since": 0, "lost_since": 0, "switch_at": '
    '0, "why": ""}'
)

# Made in this order on one node: a later answer depends on the calls before it.
CELL_CALLS: list[OperatorCall] = [
    OperatorCall(
        "GET",
        "/cells",
        Answer(200, CELLS + "[]}\n"),
    ),
    OperatorCall("POST", "/cells", ONLY_GET),
    OperatorCall("GET", "/cells/move/acme/a", ONLY_POST),
    OperatorCall(
        "POST",
        "/cells/move/acme/nowhere",
        Answer(409, '{"error": "cell: \'nowhere\' is no cell"}\n'),
    ),
    OperatorCall(
        "POST",
        "/cells/abort/acme",
        Answer(409, '{"error": "tenant: \'acme\' is not on the move"}\n'),
    ),
    OperatorCall(
        "POST",
        "/cells/move/acme/b",
        Answer(409, "{\"error\": \"cell: 'acme' is in 'b' already\"}\n"),
    ),
    OperatorCall(
        "POST",
        "/cells/move/acme/a",
        Answer(200, PROPOSED_MIGRATION + "\n"),
    ),
    OperatorCall(
        "POST",
        "/cells/move/acme/a",
        Answer(409, "{\"error\": \"tenant: 'acme' is on the move to 'a' (proposed)\"}\n"),
    ),
    OperatorCall(
        "GET",
        "/cells",
        Answer(200, CELLS + "[" + PROPOSED_MIGRATION + "]}\n"),
    ),
    OperatorCall(
        "POST",
        "/cells/abort/acme",
        Answer(
            200,
            (
                '{"subject": "acme", "source": "b", "target": "a", "stage": "taken back", '
                '"version": 2, "at": 1700000000000000000, "begun": 1700000000000000000, '
                '"driver": "4711-00000000", "able_since": 0, "lost_since": 0, "switch_at": '
                '0, "why": "by the operators"}\n'
            ),
        ),
    ),
    OperatorCall("POST", "/cells/odd", Answer(404, '{"error": "no such call"}\n')),
    OperatorCall("POST", "/cells/move/%ff/a", Answer(400, '{"error": "a name that is no text"}\n')),
    OperatorCall("GET", "/start", START),
]
