"""Structured lines on structlog, and a line for each request's story. Loaded only where it is asked
for.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import structlog
import xxhash

from ..deadlines.settings import Logs, Stage
from ..dispatch.requests import ActiveRequest
from .log import Log

MS = 1_000_000
WHOLE = 1 << 32


def logger(name: str, format: str) -> Any:
    """JSON lines, or `key=value` text; on standard error."""
    last: Any = (
        structlog.processors.JSONRenderer()
        if format == "json"
        else structlog.processors.LogfmtRenderer(key_order=["timestamp", "broker", "kind", "event"])
    )
    return structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr),
        processors=[structlog.processors.TimeStamper(fmt="iso", utc=True), last],
    ).bind(broker=name)


class Lines:
    """What the rate-limited log prints, as structured lines."""

    def __init__(self, name: str, terms: Logs) -> None:
        self.terms, self.out = terms, logger(name, terms.format)

    def __call__(self, kind: str, text: str) -> None:
        self.out.info(text, kind=kind)


def sampled(trace: bytes, share: float) -> bool:
    """The same requests at every broker that they come to."""
    return xxhash.xxh3_64_intdigest(trace) % WHOLE < share * WHOLE


def story(request: ActiveRequest, end: str, now: int) -> dict[str, Any]:
    """Where a request's time went, in milliseconds."""
    told: dict[str, Any] = {
        "trace": request.client_request_id.decode(),
        "route": request.class_name.decode(),
        "customer": request.tenant,
        "end": end,
        "total_ms": _ms(now - request.received_ns),
        "left_ms": _ms(request.deadline_ns - now),
    }
    attempt = next(reversed(request.attempts.values()), None)
    if attempt is not None:
        marks = (
            request.received_ns,
            request.accepted_ns,
            attempt.dispatched_ns,
            attempt.assigned_ns,
            attempt.written_ns,
            attempt.answered_ns or now,
        )
        for stage, begun, ended in zip(Stage, marks, marks[1:], strict=False):
            if begun and ended:
                told[f"{stage.value}_ms"] = _ms(ended - begun)
        told["attempt"], told["engine"] = attempt.number, attempt.endpoint
    return told


def _ms(time: int) -> float:
    return round(time / MS, 3)


def stories(log: Log, lines: Lines, now: Callable[[], int]) -> Callable[[ActiveRequest, str], None]:
    """A line for each sampled request, and for each that ended past its time. Danger: in trouble
    every one of them ends so: the log's own limit by kind holds for them too.
    """

    def tell(request: ActiveRequest, end: str) -> None:
        at = now()
        if at > request.deadline_ns:
            kind = "late"
        elif sampled(request.client_request_id, lines.terms.stories):
            kind = "story"
        else:
            return
        if log.allowed(kind):
            lines.out.info("request", kind=kind, **story(request, end, at))

    return tell
