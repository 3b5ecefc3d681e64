"""What goes over the wire to a data engine and comes back, in RESP. Performs no I/O.

The wire's own words stand here alone, beside this program's terms: ``do`` sends an attempt,
``undo`` cancels it, ``forget`` says that no more pages are wanted, ``bump`` raises a priority,
``top`` is a health check.
"""

from __future__ import annotations

import re
from typing import NamedTuple

from ..decisions.facade import AttemptResult, ProgressKind
from ..dispatch.requests import Attempt
from . import resp

MS = 1_000_000

# Commands.
SEND = b"do"
CANCEL = b"undo"
FORGET = b"forget"
FETCH_PAGE = b"page"
RAISE_PRIORITY = b"bump"
HEALTH_CHECK = b"top"

# Kinds of answers.
SERVED = b"served"
PAGE = b"rows"
PROGRESS = b"update"
FAILURES = {
    b"overload": AttemptResult.FULL,
    b"crashed": AttemptResult.ERROR,
    b"nobody": AttemptResult.NOT_SENT,
}
HEALTH = {b"green": AttemptResult.SERVED, b"red": AttemptResult.ERROR}
ANSWERS_TO_ATTEMPTS = frozenset({SERVED, PAGE, *FAILURES})

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
# Pages of one result: memory is taken for the count before the pages are here.
MOST_PAGES = 1_024
# Bytes of one result: the largest that an answer to a client can hold.
MOST_RESULT = 48_000
# Three text columns and a line end each.
ROWS = re.compile(rb"(?:[^\t\n\0]*\t[^\t\n\0]*\t[^\t\n\0]*\n)*")
# Bytes of an unknown kind, and characters of a count, that an error text repeats.
QUOTED_KIND_LENGTH = 40
QUOTED_COUNT_LENGTH = 20


class EngineAnswer(NamedTuple):
    """One answer as it came: its fields are not read yet."""

    tag: bytes
    kind: bytes
    raw_fields: bytes
    body: bytes


def encode_attempt(attempt: Attempt, now: int) -> tuple[bytes, ...]:
    """Return the pieces that send an attempt.

    Class, idempotency key and statement go on as they came; only our own fields are written anew.
    The time that the engine is given is what is left of the attempt's at ``now``, in ms.
    """
    request = attempt.request
    fields: dict[str, object] = {
        "cls": request.class_name.decode(),
        "limit": max(1, (attempt.deadline_ns - now) // MS),
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
    """Name the parts of an answer.

    Raises:
        MalformedAnswerError: there are more or fewer of them.
    """
    if len(parts) != ANSWER_PARTS:
        reason = f"{len(parts)} parts in place of {ANSWER_PARTS}"
        raise resp.MalformedAnswerError(reason)
    return EngineAnswer(*parts)


def check_rows(page: bytes) -> None:
    """Check that a page holds rows: noise in a good frame would be served as a result.

    Raises:
        MalformedAnswerError: no UTF-8, or no rows of three columns.
    """
    try:
        page.decode()
    except UnicodeDecodeError:
        reason = "a page that is no text"
        raise resp.MalformedAnswerError(reason) from None
    if ROWS.fullmatch(page) is None:
        reason = "a page that is no rows of three columns"
        raise resp.MalformedAnswerError(reason)


def read_count(text: str, name: str) -> int:
    """Read a count of pages, or the number of one.

    Raises:
        MalformedAnswerError: no number from 0 to `MOST_PAGES`.
    """
    if not text.isdecimal() or int(text) > MOST_PAGES:
        reason = f"{name}: {text[:QUOTED_COUNT_LENGTH]!r} is no count up to {MOST_PAGES}"
        raise resp.MalformedAnswerError(reason)
    return int(text)
