"""The rules that a run is audited by; their bounds come from the platform's documentation."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from enum import StrEnum

from query_broker.emulator.cluster import EmulatedCluster
from query_broker.protocols import client_frames as frames

from .records import SentRequest

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
#: Added to each time limit from the settings, as a tolerance for times measured at sockets.
SOCKET_SLACK_NS = 50 * NS_PER_MS
#: An answer up to this long after the timeout has no value but is allowed; later it counts as lost.
MAX_LATE_ANSWER_NS = 500 * NS_PER_MS
#: An attempt that begins later than this after the client cancelled the request breaks a rule.
MAX_ATTEMPT_AFTER_CANCEL_NS = 100 * NS_PER_MS
#: A change announced while the discovery service sends no events reaches all brokers in this time.
MAX_NOTIFICATION_DELAY_NS = 7 * NS_PER_S
MAX_READY_S = 30.0
MAX_MEMORY_MB = 96


class Rule(StrEnum):
    """The rules of the audit, named by what breaks them."""

    LOST = "lost"  # no complete answer in time
    SECOND_ANSWER = "second answer"
    WRONG_ANSWER = "wrong answer"  # an empty body, though the request has no idempotency key
    RAN_TWICE = "ran twice"  # a non-idempotent request ran more than once
    KEY_WINDOW = "key window"  # a request with an idempotency key ran again after its window
    DRAIN = "drain"  # sent to a draining or removed engine after the grace period
    ABANDONED = "abandoned"  # an attempt began after the client had cancelled the request
    COLD = "cold"  # an engine was overloaded while it warmed up
    EXIT = "exit"  # wrong exit code, no last log line, or still running at SIGKILL
    READY = "ready"  # a broker took too long to become ready
    FAULT = "fault"  # a fault line or a traceback in a broker's log
    LEFTOVER = "leftover"  # tables, memory or files were not released after the load


@dataclass(frozen=True, slots=True)
class Violation:
    """One broken rule.

    Attributes:
        rule: The rule.
        text: What happened.
        request: The request concerned, if the rule is about one.
    """

    rule: Rule
    text: str
    request: SentRequest | None = None


@dataclass(frozen=True, slots=True)
class Pause:
    """A period in which a broker process was stopped by SIGSTOP, in Unix nanoseconds."""

    broker: int
    began_ns: int
    ended_ns: int


@dataclass(frozen=True, slots=True)
class RunRecord:
    """All that one run recorded.

    Attributes:
        cluster: The engines with their ledgers, and the discovery service.
        requests: All requests that were sent.
        unmatched_answers: Number of answers that belong to no request.
        pauses: The periods in which broker processes were stopped.
        idempotency_windows_ns: The idempotency window of each class with idempotency keys.
        drain_grace_ns: The drain grace of the settings.
        discovery_silence_ns: Begin and end of the period in which the discovery service sent no
            events; zeros if there was none.
        process_violations: Violations found in the processes and their logs during the run.
    """

    cluster: EmulatedCluster
    requests: list[SentRequest]
    unmatched_answers: int
    pauses: list[Pause]
    idempotency_windows_ns: dict[str, int]
    drain_grace_ns: int
    discovery_silence_ns: tuple[int, int]
    process_violations: list[Violation]


def audit(record: RunRecord) -> list[Violation]:
    """Return all violations in the record of a run."""
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
    if request.cancelled_ns:
        return []
    if request.codes:
        delay_ns = request.answered_ns - request.sent_ns - request.timeout_ns
        delay_ns -= _paused_ns(request, pauses)
        if delay_ns > MAX_LATE_ANSWER_NS + SOCKET_SLACK_NS:
            text = f"{request.request_id}: answered {delay_ns / NS_PER_MS:.0f} ms after its time"
            return [Violation(Rule.LOST, text, request)]
        # A request with an idempotency key may be a repeat, which is answered without rows.
        may_be_repeat = bool(request.idempotency_key)
        if request.codes[0] == frames.SERVED and not (request.body or may_be_repeat):
            text = f"{request.request_id}: served without a row"
            return [Violation(Rule.WRONG_ANSWER, text, request)]
        return []
    if not request.connection_ended_ns:
        return [Violation(Rule.LOST, f"{request.request_id}: no answer", request)]
    age_ns = request.connection_ended_ns - request.sent_ns
    if request.crossed_connection_end:
        return []  # the client sends the request again
    event = "reset" if request.was_reset else "ended"
    text = f"{request.request_id}: connection {event} {age_ns / NS_PER_MS:.0f} ms after it was sent"
    return [Violation(Rule.LOST, text, request)]


def _paused_ns(request: SentRequest, pauses: list[Pause]) -> int:
    """Return how long the broker was paused between a request and its answer."""
    return sum(
        max(0, min(pause.ended_ns, request.answered_ns) - max(pause.began_ns, request.sent_ns))
        for pause in pauses
        if pause.broker == request.broker
    )


def _audit_runs(record: RunRecord) -> list[Violation]:
    """Check how often each request ran, from the ledgers of the engines."""
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
        window_ns = record.idempotency_windows_ns.get(request.request_class, 0)
        if request.idempotency_key and times[-1] - times[0] > window_ns + SOCKET_SLACK_NS:
            text = (
                f"{request.request_id}: ran again after {(times[-1] - times[0]) / NS_PER_MS:.0f} ms"
            )
            violations.append(Violation(Rule.KEY_WINDOW, text, request))
    return violations


def _audit_attempts(record: RunRecord) -> list[Violation]:
    """Check that no engine received an attempt after its drain grace or after a cancellation."""
    requests_by_id = {request.request_id: request for request in record.requests}
    drain_limits_ns = _drain_limits_ns(record)
    violations = []
    for uid, engine in record.cluster.engines.items():
        limit_ns = drain_limits_ns.get(uid)
        for query in engine.received_queries:
            request = requests_by_id.get(query.query_id.decode())
            if request is None:
                continue
            if limit_ns is not None and query.received_ns > limit_ns:
                delay_ms = (query.received_ns - limit_ns) / NS_PER_MS
                text = f"{request.request_id}: came to {uid} {delay_ms:.0f} ms after its grace"
                violations.append(Violation(Rule.DRAIN, text, request))
            cancelled_ns = request.cancelled_ns
            if (
                cancelled_ns
                and query.received_ns > cancelled_ns + MAX_ATTEMPT_AFTER_CANCEL_NS + SOCKET_SLACK_NS
            ):
                text = f"{request.request_id}: came to {uid} after its client had left"
                violations.append(Violation(Rule.ABANDONED, text, request))
    return violations


def _drain_limits_ns(record: RunRecord) -> dict[str, int]:
    """Return the time until which each draining or removed engine may receive queries."""
    limits_ns: dict[str, int] = {}
    silence_began_ns, silence_ended_ns = record.discovery_silence_ns
    for announcement in record.cluster.discovery.announcements:
        if announcement.state == "in_service":
            limits_ns.pop(announcement.uid, None)
            continue
        notified_ns = announcement.announced_ns
        if silence_began_ns <= notified_ns <= silence_ended_ns:
            notified_ns += MAX_NOTIFICATION_DELAY_NS
        limit_ns = notified_ns + record.drain_grace_ns + SOCKET_SLACK_NS
        limits_ns[announcement.uid] = min(limits_ns.get(announcement.uid, limit_ns), limit_ns)
    return limits_ns


def timeline(request: SentRequest, record: RunRecord) -> list[str]:
    """Return the recorded events of a request in order of time, one line each."""
    events = [(request.sent_ns, f"sent to n{request.broker} ({request.request_class})")]
    if request.cancelled_ns:
        events.append((request.cancelled_ns, "cancelled by its client"))
    if request.connection_ended_ns:
        events.append((request.connection_ended_ns, "its connection ended"))
    if request.answered_ns:
        events.append((request.answered_ns, f"answered with {request.codes}"))
    for uid, engine in record.cluster.engines.items():
        events += [
            (query.received_ns, f"came to {uid}")
            for query in engine.received_queries
            if query.query_id.decode() == request.request_id
        ]
    for pause in record.pauses:
        if pause.broker == request.broker:
            events += [(pause.began_ns, "broker paused"), (pause.ended_ns, "broker runs on")]
    begin_ns = request.sent_ns
    return [f"{(at_ns - begin_ns) / NS_PER_MS:+9.1f} ms  {text}" for at_ns, text in sorted(events)]


def count_violations_by_rule(violations: list[Violation]) -> Counter[Rule]:
    """Return the number of violations by rule."""
    return Counter(violation.rule for violation in violations)
