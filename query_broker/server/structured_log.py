"""The structured log based on structlog, and its lines with the trace of a request.

Imported only if the operators' file asks for it, since structlog is an optional dependency.
"""

from __future__ import annotations

import sys
from typing import Any

import structlog
import xxhash

from ..deadlines.settings import LatencyStage, Logs
from ..dispatch.observers import DispatchObserver, RequestEnding
from ..dispatch.requests import ActiveRequest, Attempt
from ..log import Log
from ..overriding import override
from ..timer_wheel import Clock

NS_PER_MS = 1_000_000
# The hash of a request id is reduced to 32 bits, precise enough for any sampled fraction.
HASH_RANGE = 1 << 32


def make_logger(name: str, line_format: str) -> Any:
    """Return a logger that writes JSON lines or, for ``text``, ``key=value`` pairs to stderr."""
    renderer: Any
    if line_format == "json":
        renderer = structlog.processors.JSONRenderer()
    else:
        first_keys = ["timestamp", "broker", "kind", "event"]
        renderer = structlog.processors.LogfmtRenderer(key_order=first_keys)
    timestamper = structlog.processors.TimeStamper(fmt="iso", utc=True)
    logger = structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr), processors=[timestamper, renderer]
    )
    return logger.bind(broker=name)


class StructuredLog:
    """Writes the lines of the rate-limited log in a structured format."""

    def __init__(self, name: str, settings: Logs) -> None:
        """Write lines under the name of this broker, in the format of the operators' settings."""
        self.settings = settings
        self.logger = make_logger(name, settings.format)

    def __call__(self, kind: str, text: str) -> None:
        """Write one line."""
        self.logger.info(text, kind=kind)


def is_sampled(request_id: bytes, fraction: float) -> bool:
    """Return whether a request is sampled; all brokers sample the same request ids."""
    return xxhash.xxh3_64_intdigest(request_id) % HASH_RANGE < fraction * HASH_RANGE


def request_trace(request: ActiveRequest, ending: str, now_ns: int) -> dict[str, Any]:
    """Return the fields of a request's trace: how it ended, and the milliseconds of each stage.

    The names of the fields are part of the log's format.
    """
    fields: dict[str, Any] = {
        "trace": request.client_request_id.decode(),
        "route": request.class_name.decode(),
        "customer": request.tenant,
        "end": ending,
        "total_ms": _milliseconds(now_ns - request.received_ns),
        "left_ms": _milliseconds(request.deadline_ns - now_ns),
    }
    attempt = next(reversed(request.attempts.values()), None)
    if attempt is not None:
        fields.update(_stage_times(request, attempt, now_ns))
        fields["attempt"] = attempt.number
        fields["engine"] = attempt.endpoint
    return fields


def _stage_times(request: ActiveRequest, attempt: Attempt, now_ns: int) -> dict[str, float]:
    """Return the time of each stage that has begun and ended, in milliseconds."""
    stage_boundaries_ns = (
        request.received_ns,
        request.accepted_ns,
        attempt.dispatched_ns,
        attempt.assigned_ns,
        attempt.written_ns,
        attempt.answered_ns or now_ns,
    )
    times: dict[str, float] = {}
    for stage, begun_ns, ended_ns in zip(
        LatencyStage, stage_boundaries_ns, stage_boundaries_ns[1:], strict=False
    ):
        if begun_ns and ended_ns:
            times[f"{stage.value}_ms"] = _milliseconds(ended_ns - begun_ns)
    return times


def _milliseconds(duration_ns: int) -> float:
    return round(duration_ns / NS_PER_MS, 3)


class TraceObserver(DispatchObserver):
    """Writes a trace line for sampled requests and for those that end past their deadline.

    During a fault every request may end past its deadline, so the log's limit of lines by kind
    applies to trace lines too.
    """

    def __init__(self, log: Log, structured_log: StructuredLog, clock: Clock) -> None:
        """Write to the structured log, subject to the line limits of ``log``."""
        self._log = log
        self._structured_log = structured_log
        self._clock = clock

    @override
    def request_ended(self, request: ActiveRequest, ending: RequestEnding) -> None:
        """Write the trace of a request that has ended, if it is late or sampled."""
        now_ns = self._clock.now()
        if now_ns > request.deadline_ns:
            kind = "late"
        elif is_sampled(request.client_request_id, self._structured_log.settings.traced_fraction):
            kind = "story"
        else:
            return
        if self._log.allowed(kind):
            fields = request_trace(request, ending.value, now_ns)
            self._structured_log.logger.info("request", kind=kind, **fields)
