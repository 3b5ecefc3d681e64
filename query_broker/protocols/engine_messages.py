"""The messages of the data engines' protocol, in RESP. Performs no I/O.

This module maps the protocol's names to the terms of the program: ``do`` sends an attempt,
``undo`` cancels it, ``forget`` tells the engine that no more pages are needed, ``bump`` raises a
priority, ``top`` is a health check.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from ..decisions.facade import AttemptResult, ProgressKind
from ..dispatch.requests import Attempt
from . import resp

NS_PER_MS = 1_000_000

# Commands.
SEND = b"do"
CANCEL = b"undo"
FORGET = b"forget"
FETCH_PAGE = b"page"
SET_PRIORITY = b"bump"
HEALTH_CHECK = b"top"

# Kinds of answers.
SERVED = b"served"
PAGE = b"rows"
PROGRESS = b"update"
FAILURE_RESULTS = {
    b"overload": AttemptResult.FULL,
    b"crashed": AttemptResult.ERROR,
    b"nobody": AttemptResult.NOT_SENT,
}
HEALTH_RESULTS = {b"green": AttemptResult.SERVED, b"red": AttemptResult.ERROR}
ATTEMPT_ANSWER_KINDS = frozenset({SERVED, PAGE, *FAILURE_RESULTS})

# Fields of answers.
FIELD_LOAD_REPORT = "meter"
FIELD_PAGE_COUNT = "chunks"
FIELD_PAGE_NUMBER = "at"
FIELD_PROGRESS_KIND = "tell"
FIELD_PROGRESS_AMOUNT = "amount"
PROGRESS_KINDS = {
    "pct": ProgressKind.PROGRESS,
    "overflow": ProgressKind.SPILLING,
    "queued": ProgressKind.WAITING,
}

# Tag, kind, fields and body.
ANSWER_PARTS = 4
# Most pages of one result: memory is allocated for the stated count before the pages arrive.
MAX_PAGES = 1_024
# Largest result that fits into an answer to a client.
MAX_RESULT_BYTES = 48_000
# A page: rows of three tab-separated text columns, each row ended by a line feed.
ROWS_PATTERN = re.compile(rb"(?:[^\t\n\0]*\t[^\t\n\0]*\t[^\t\n\0]*\n)*")
# Bytes of an unknown kind, and characters of a count, that an error message quotes.
QUOTED_KIND_BYTES = 40
QUOTED_COUNT_CHARACTERS = 20


class EngineAnswer(NamedTuple):
    """One answer of an engine, before its fields are parsed.

    Attributes:
        tag: Request id of the attempt, or tag of the health check, that the answer belongs to.
        kind: The kind of answer, by its name in the protocol.
        raw_fields: The encoded fields.
        body: A page, or empty.
    """

    tag: bytes
    kind: bytes
    raw_fields: bytes
    body: bytes


def encode_attempt(attempt: Attempt, now_ns: int) -> tuple[bytes, ...]:
    """Return the encoded attempt, in pieces for a vectored write.

    Class, idempotency key and statement are forwarded unchanged. The time limit is the remaining
    time of the attempt at ``now_ns``, in milliseconds.
    """
    request = attempt.request
    fields: dict[str, object] = {
        "cls": request.class_name.decode(),
        "limit": max(1, (attempt.deadline_ns - now_ns) // NS_PER_MS),
    }
    if request.idempotency_key is not None:
        fields["nonce"] = request.idempotency_key
    if request.memory_mb > 0:
        fields["reserve"] = request.memory_mb
    if request.priority is not None:
        fields["level"] = request.priority
    encoded_fields = resp.write_pairs(fields)
    return resp.pieces(SEND, request.client_request_id, encoded_fields, request.statement)


def read_answer(parts: list[bytes]) -> EngineAnswer:
    """Return the parts of an answer by name.

    Raises:
        MalformedAnswerError: The number of parts is not `ANSWER_PARTS`.
    """
    if len(parts) != ANSWER_PARTS:
        reason = f"answer has {len(parts)} parts instead of {ANSWER_PARTS}"
        raise resp.MalformedAnswerError(reason)
    return EngineAnswer(*parts)


def check_rows(page: bytes) -> None:
    """Check that a page consists of rows, since a damaged page would be served as a result.

    Raises:
        MalformedAnswerError: The page is not valid UTF-8, or does not consist of rows of three
            columns.
    """
    try:
        page.decode()
    except UnicodeDecodeError:
        reason = "page is not valid UTF-8"
        raise resp.MalformedAnswerError(reason) from None
    if ROWS_PATTERN.fullmatch(page) is None:
        reason = "page does not consist of rows of three columns"
        raise resp.MalformedAnswerError(reason)


def read_count(text: str, name: str) -> int:
    """Read the number of pages, or the index of a page.

    Raises:
        MalformedAnswerError: The text is not a number from 0 to `MAX_PAGES`.
    """
    if not text.isdecimal() or int(text) > MAX_PAGES:
        reason = f"{name}: {text[:QUOTED_COUNT_CHARACTERS]!r} is not a number from 0 to {MAX_PAGES}"
        raise resp.MalformedAnswerError(reason)
    return int(text)
