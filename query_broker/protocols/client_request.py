"""Parses a client's request, its fields and statement, into a `ParsedRequest`. Performs no I/O.

This module alone defines the field names of the wire protocol. Error texts use these names, since
the client knows the fields by them.
"""

from __future__ import annotations

from ..dispatch.validation import InvalidRequestError, ParsedRequest, read_number
from .client_frames import read_fields
from .statement import data_set_of

# Field names of the wire protocol.
FIELD_CLASS_NAME = "route"
FIELD_CLIENT_REQUEST_ID = "trace"
FIELD_TENANT = "customer"
FIELD_TIMEOUT_MS = "patience"
FIELD_ESTIMATE_MS = "weight"
FIELD_MEMORY_MB = "ram"
FIELD_IS_RETRY = "redo"
FIELD_IDEMPOTENCY_KEY = "nonce"

REQUIRED_FIELDS = (FIELD_CLASS_NAME, FIELD_CLIENT_REQUEST_ID, FIELD_TIMEOUT_MS)
# Length of a request id: 64 bits in hexadecimal digits.
REQUEST_ID_DIGITS = 16
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


def parse_request(payload: bytes) -> ParsedRequest:
    """Parse the payload of a request frame.

    Raises:
        MalformedFrameError: The encoding of the fields is malformed.
        InvalidRequestError: A field or the statement is invalid; the text says which.
    """
    fields, statement = read_fields(payload)
    for name in REQUIRED_FIELDS:
        if not fields.get(name):
            raise InvalidRequestError.for_field(name, "is missing")
    request_id = fields[FIELD_CLIENT_REQUEST_ID]
    if len(request_id) != REQUEST_ID_DIGITS or not HEX_DIGITS.issuperset(request_id):
        raise InvalidRequestError.for_field(FIELD_CLIENT_REQUEST_ID, "is not 16 hex digits")
    _check_statement(statement)
    if fields.get(FIELD_IS_RETRY, "1") not in ("0", "1"):
        raise InvalidRequestError.for_field(FIELD_IS_RETRY, "is neither 1 nor absent")
    return ParsedRequest(
        class_name=fields[FIELD_CLASS_NAME],
        client_request_id=request_id,
        tenant=fields.get(FIELD_TENANT),
        timeout_ms=read_number(fields[FIELD_TIMEOUT_MS], FIELD_TIMEOUT_MS),
        estimate_ms=read_number(fields.get(FIELD_ESTIMATE_MS, "0"), FIELD_ESTIMATE_MS),
        memory_mb=read_number(fields.get(FIELD_MEMORY_MB, "0"), FIELD_MEMORY_MB),
        is_retry=fields.get(FIELD_IS_RETRY) == "1",
        data_set=data_set_of(statement),
        statement=statement,
        idempotency_key=fields.get(FIELD_IDEMPOTENCY_KEY),
    )


def _check_statement(statement: bytes) -> None:
    """Check that a statement is text; an engine would take a NUL as the end of the statement."""
    try:
        statement.decode()
    except UnicodeDecodeError:
        reason = "the statement is no text"
        raise InvalidRequestError(reason) from None
    if not statement.strip() or b"\0" in statement:
        reason = "the statement is empty or no text"
        raise InvalidRequestError(reason)
