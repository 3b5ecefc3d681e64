"""JSON answers of the admin API. Performs no I/O."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import Any

from .operator_answers import HttpAnswer

CONTENT_TYPE_JSON = "application/json"


def json_answer(
    content: Any, status: HTTPStatus = HTTPStatus.OK, allow: str = "", *, ensure_ascii: bool = True
) -> HttpAnswer:
    """Return an answer whose body is the content as JSON, followed by a newline.

    Args:
        content: A value that `json` can encode.
        status: The HTTP status.
        allow: Value of the Allow header: the method that the path allows; empty to omit the header.
        ensure_ascii: Whether characters outside ASCII are escaped.
    """
    body = json.dumps(content, ensure_ascii=ensure_ascii).encode() + b"\n"
    return HttpAnswer(status=int(status), body=body, content_type=CONTENT_TYPE_JSON, allow=allow)


def error_answer(status: HTTPStatus, reason: str, allow: str = "") -> HttpAnswer:
    """Return an answer that states what was wrong with the call."""
    return json_answer({"error": reason}, status, allow)


def wrong_method_answer(allowed: str) -> HttpAnswer:
    """Return the answer to a call with a method that its path does not allow."""
    reason = f"this call is a {allowed}"
    return error_answer(HTTPStatus.METHOD_NOT_ALLOWED, reason, allowed)
