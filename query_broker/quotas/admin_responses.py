"""Answers to operators' HTTP calls. Performs no I/O."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import Any, NamedTuple

CONTENT_TYPE_JSON = "application/json"


class AdminResponse(NamedTuple):
    """One HTTP answer.

    Attributes:
        status: HTTP status code.
        body: JSON, with a newline at its end.
        content_type: Value of Content-Type.
        allow: Value of Allow; empty to leave the header out.
    """

    status: int
    body: bytes
    content_type: str
    allow: str


def json_response(content: Any) -> AdminResponse:
    """Return an answer with the content as JSON."""
    return AdminResponse(int(HTTPStatus.OK), _encode(content), CONTENT_TYPE_JSON, "")


def error_response(status: HTTPStatus, reason: str, allow: str = "") -> AdminResponse:
    """Return an answer that names what was wrong with the call."""
    return AdminResponse(int(status), _encode({"error": reason}), CONTENT_TYPE_JSON, allow)


def wrong_method(allowed: str) -> AdminResponse:
    """Return the answer to a call that exists under another method only."""
    reason = f"this call is a {allowed}"
    return error_response(HTTPStatus.METHOD_NOT_ALLOWED, reason, allowed)


def _encode(content: Any) -> bytes:
    return json.dumps(content).encode() + b"\n"
