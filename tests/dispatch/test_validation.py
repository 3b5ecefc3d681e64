"""Validation of requests before they reach the decisions."""

from __future__ import annotations

from dataclasses import replace

import pytest

from query_broker.dispatch.request_table import RequestTable
from query_broker.dispatch.requests import ActiveRequest
from query_broker.dispatch.validation import (
    DispatchError,
    InvalidRequestError,
    ParsedRequest,
    RequestValidator,
    read_number,
)

from ..support.helpers import S
from ..support.sockets import STATEMENT, make_config
from .recording_client import RecordingClient, idempotent_class, parsed_request

VALID = replace(parsed_request("glance"), memory_mb=16.0)


@pytest.mark.parametrize(
    ("parsed", "text"),
    [
        pytest.param(
            replace(VALID, class_name="x" * 50),
            f"route: {'x' * 40!r} is no class of the settings",
            id="class",
        ),
        pytest.param(
            replace(VALID, timeout_ms=0.5), "patience: must be 1 to 3600000 ms", id="timeout"
        ),
        pytest.param(
            replace(VALID, memory_mb=2e7), "weight or ram: is out of range", id="estimate"
        ),
        pytest.param(
            replace(VALID, tenant=None), "customer: '' is none of the settings", id="tenant"
        ),
        pytest.param(replace(VALID, class_name="claim"), "nonce: is missing", id="no key"),
        pytest.param(
            replace(VALID, class_name="claim", idempotency_key="a,b"),
            "nonce: is empty or holds a comma: no engine can be told it",
            id="comma in the key",
        ),
        pytest.param(
            replace(VALID, client_request_id="b" * 16, statement=b"other"),
            "trace: is open with another statement or nonce",
            id="open id",
        ),
    ],
)
def test_invalid_requests_get_one_line_that_names_the_field(
    parsed: ParsedRequest, text: str
) -> None:
    table = RequestTable()
    table.add(ActiveRequest("1", b"b" * 16, b"glance", STATEMENT, RecordingClient(), 1, S))
    classes = [*make_config().settings.classes]
    classes_with_key = make_config(classes=[idempotent_class(deadline_ns=20 * S)]).settings.classes
    settings = replace(make_config().settings, classes=(*classes, *classes_with_key))
    validator = RequestValidator(settings, table)
    validator.check(VALID)
    validator.check(replace(VALID, client_request_id="b" * 16))  # the same statement again
    with pytest.raises(InvalidRequestError) as caught:
        validator.check(parsed)
    assert str(caught.value) == text
    assert isinstance(caught.value, DispatchError)


@pytest.mark.parametrize("text", ["", "-1", "+1", "nan", "inf", "1_0", "\u0661", "1e100", "1" * 16])
def test_a_text_that_is_no_number_is_rejected(text: str) -> None:
    with pytest.raises(InvalidRequestError, match="weight: .* is no number from 0 up"):
        read_number(text, "weight")
