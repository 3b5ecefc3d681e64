"""The rules that a run is audited by, each bound from the platform's pages."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from enum import StrEnum

from query_broker.emulator.cluster import EmulatedCluster
from query_broker.protocols import client_frames as frames

from .records import SentRequest

MS = 1_000_000
S = 1_000 * MS
#: Every time limit on sockets is this much longer than in the settings.
SOCKET_SLACK_NS = 50 * MS
#: Up to this after its time an answer only earns nothing; later it is lost.
LATE_ANSWER_NS = 500 * MS
#: An attempt that begins later than this after its client has left is a break.
AFTER_LEAVING_NS = 100 * MS
#: Whatever the discovery service has to tell counts as notified no later than this.
NOTIFIED_NS = 7 * S
MAX_READY_S = 30.0
MAX_MEMORY_MB = 96


class Rule(StrEnum):
    """What may not happen."""

    LOST = "lost"  # no whole answer in time
    SECOND_ANSWER = "second answer"
    WRONG_ANSWER = "wrong answer"  # served with what no engine made for it
    RAN_TWICE = "ran twice"  # a non-idempotent request
    KEY_WINDOW = "key window"  # a keyed request ran again after its window
    DRAIN = "drain"  # sent to a draining or removed engine
    ABANDONED = "abandoned"  # an attempt began after its client had left
    COLD = "cold"  # an engine that warms up was overloaded
    EXIT = "exit"  # exit code or last line
    READY = "ready"  # too long until ready
    FAULT = "fault"  # a fault line or a traceback in the log
    LEFTOVER = "leftover"  # tables, memory or files that did not shrink back


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule.

    Attributes:
        rule: The rule.
        text: What happened.
        request: The request that it happened to, if it is about one.
    """

    rule: Rule
    text: str
    request: SentRequest | None = None


@dataclass(frozen=True, slots=True)
class Pause:
    """A time in which a broker's process was stopped, in Unix nanoseconds."""

    broker: int
    began_ns: int
    ended_ns: int


@dataclass(frozen=True, slots=True)
class RunRecord:
    """All that one run recorded.

    Attributes:
        cluster: The engines with their ledgers, and the discovery service.
        requests: All requests that were sent.
        unmatched_answers: Answers to no request.
        pauses: When processes were stopped.
        windows_ns: The idempotency window of each keyed class.
        drain_grace_ns: The drain grace of the settings.
        silent_ns: From when to when the discovery service sent nothing; zeros if it always did.
        process_violations: What was seen of the processes themselves.
    """

    cluster: EmulatedCluster
    requests: list[SentRequest]
    unmatched_answers: int
    pauses: list[Pause]
    windows_ns: dict[str, int]
    drain_grace_ns: int
    silent_ns: tuple[int, int]
    process_violations: list[Violation]


def audit(record: RunRecord) -> list[Violation]:
    """Return every broken rule of a run."""
    violations = list(record.process_violations)
    for request in record.requests:
        violations += _audit_answers(request, record.pauses)
    if record.unmatched_answers:
        text = f"{record.unmatched_answers} answers to no request"
        violations.append(Violation(Rule.SECOND_ANSWER, text))
    violations += _audit_runs(record)
    violations += _audit_attempts(record)
    violations += [
        Violation(Rule.COLD, f"{engine.uid} was overloaded while it warmed up")
        for engine in record.cluster.engines.values()
        if engine.machine.crashed
    ]
    return violations


def _audit_answers(request: SentRequest, pauses: list[Pause]) -> list[Violation]:
    if len(request.codes) > 1:
        text = f"{request.request_id}: answers {request.codes}"
        return [Violation(Rule.SECOND_ANSWER, text, request)]
    if request.abandoned_ns:
        return []
    if request.codes:
        late_ns = request.answered_ns - request.sent_ns - request.timeout_ns
        late_ns -= _paused_ns(request, pauses)
        if late_ns > LATE_ANSWER_NS + SOCKET_SLACK_NS:
            text = f"{request.request_id}: answered {late_ns / MS:.0f} ms after its time"
            return [Violation(Rule.LOST, text, request)]
        is_repeat = bool(request.idempotency_key)  # a repeat under its key is served without rows
        if request.codes[0] == frames.SERVED and not (request.body or is_repeat):
            text = f"{request.request_id}: served without a row"
            return [Violation(Rule.WRONG_ANSWER, text, request)]
        return []
    if not request.connection_ended_ns:
        return [Violation(Rule.LOST, f"{request.request_id}: no answer", request)]
    crossed_ns = request.connection_ended_ns - request.sent_ns
    if request.crossed_end:
        return []  # its client sends it once more
    how = "reset" if request.was_reset else "ended"
    text = f"{request.request_id}: connection {how} {crossed_ns / MS:.0f} ms after it was sent"
    return [Violation(Rule.LOST, text, request)]


def _paused_ns(request: SentRequest, pauses: list[Pause]) -> int:
    """Return for how long the broker of a request was stopped while the request was open."""
    return sum(
        max(0, min(pause.ended_ns, request.answered_ns) - max(pause.began_ns, request.sent_ns))
        for pause in pauses
        if pause.broker == request.broker
    )


def _audit_runs(record: RunRecord) -> list[Violation]:
    """Check what ran, by the engines' ledgers."""
    begun_ns: defaultdict[str, list[int]] = defaultdict(list)
    for engine in record.cluster.engines.values():
        for run in engine.machine.ledger:
            begun_ns[run.query_id.decode()].append(run.begun_ns)
    violations = []
    for request in record.requests:
        times = sorted(begun_ns.get(request.request_id, []))
        if len(times) < 2:
            continue
        if request.effect == "non_idempotent":
            text = f"{request.request_id}: ran {len(times)} times"
            violations.append(Violation(Rule.RAN_TWICE, text, request))
        window_ns = record.windows_ns.get(request.request_class, 0)
        if request.idempotency_key and times[-1] - times[0] > window_ns + SOCKET_SLACK_NS:
            text = f"{request.request_id}: ran again after {(times[-1] - times[0]) / MS:.0f} ms"
            violations.append(Violation(Rule.KEY_WINDOW, text, request))
    return violations


def _audit_attempts(record: RunRecord) -> list[Violation]:
    """Check when attempts came to engines: not after a drain, nor after their client had left."""
    by_id = {request.request_id: request for request in record.requests}
    drained_ns = _drain_times(record)
    violations = []
    for uid, engine in record.cluster.engines.items():
        limit_ns = drained_ns.get(uid)
        for query in engine.received:
            request = by_id.get(query.query_id.decode())
            if request is None:
                continue
            if limit_ns is not None and query.received_ns > limit_ns:
                late_ms = (query.received_ns - limit_ns) / MS
                text = f"{request.request_id}: came to {uid} {late_ms:.0f} ms after its grace"
                violations.append(Violation(Rule.DRAIN, text, request))
            left_ns = request.abandoned_ns
            if left_ns and query.received_ns > left_ns + AFTER_LEAVING_NS + SOCKET_SLACK_NS:
                text = f"{request.request_id}: came to {uid} after its client had left"
                violations.append(Violation(Rule.ABANDONED, text, request))
    return violations


def _drain_times(record: RunRecord) -> dict[str, int]:
    """Return until when each draining engine may get queries."""
    limits_ns: dict[str, int] = {}
    silent_from_ns, silent_until_ns = record.silent_ns
    for announcement in record.cluster.discovery.announcements:
        if announcement.state == "in_service":
            limits_ns.pop(announcement.uid, None)
            continue
        told_ns = announcement.announced_ns
        if silent_from_ns <= told_ns <= silent_until_ns:
            told_ns += NOTIFIED_NS
        limit_ns = told_ns + record.drain_grace_ns + SOCKET_SLACK_NS
        limits_ns[announcement.uid] = min(limits_ns.get(announcement.uid, limit_ns), limit_ns)
    return limits_ns


def timeline(request: SentRequest, record: RunRecord) -> list[str]:
    """Return the way of a request from the records, a line for each event."""
    events = [(request.sent_ns, f"sent to n{request.broker} ({request.request_class})")]
    if request.abandoned_ns:
        events.append((request.abandoned_ns, "cancelled by its client"))
    if request.connection_ended_ns:
        events.append((request.connection_ended_ns, "its connection ended"))
    if request.answered_ns:
        events.append((request.answered_ns, f"answered with {request.codes}"))
    for uid, engine in record.cluster.engines.items():
        events += [
            (query.received_ns, f"came to {uid}")
            for query in engine.received
            if query.query_id.decode() == request.request_id
        ]
    for pause in record.pauses:
        if pause.broker == request.broker:
            events += [(pause.began_ns, "broker paused"), (pause.ended_ns, "broker runs on")]
    begin_ns = request.sent_ns
    return [f"{(at_ns - begin_ns) / MS:+9.1f} ms  {text}" for at_ns, text in sorted(events)]


def count_rules(violations: list[Violation]) -> Counter[Rule]:
    """Count the violations of each rule."""
    return Counter(violation.rule for violation in violations)
