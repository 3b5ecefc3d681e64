"""Deadlines without input or output: gates, the outbox, scopes, budgets, stages, and a request's
story.
"""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from query_broker.deadlines import cancel_scopes as scopes
from query_broker.deadlines import retry_budget as further
from query_broker.deadlines.cancel_scopes import (
    CancelAction,
    CancelOutcome,
    CancelScope,
    PendingCancels,
    ScopeKind,
)
from query_broker.deadlines.handover_checks import HandOverState, StopReason, reason_to_stop
from query_broker.deadlines.retry_budget import RetryBudget, RetryBudgetSettings, attempt_time
from query_broker.deadlines.settings import (
    DeadlineSettings,
    HalfClosePolicy,
    LatencyStage,
    Logs,
    MarginSettings,
)
from query_broker.deadlines.stage_latencies import GENERATION_NS, Quantiles, StageLatencies
from query_broker.deadlines.write_queue import CONTROL, Frame, WriteQueue, rest
from query_broker.dispatch.observers import RequestEnding
from query_broker.dispatch.requests import ActiveRequest, Attempt
from query_broker.log import Log
from query_broker.operator_config.script import OperatorFileError, evaluate, run_script
from query_broker.protocols import resp
from query_broker.server.structured_log import StructuredLog, TraceObserver, is_sampled
from query_broker.timer_wheel import Clock

from ..support.sockets import ROOT

MS = 1_000_000
S = 1_000 * MS

# --- gates ---


@pytest.mark.parametrize(
    ("passing", "why"),
    [
        (HandOverState(True, 10), None),
        (HandOverState(False, 10), StopReason.CLIENT_LEFT),
        (HandOverState(True, 5), StopReason.DEADLINE_PASSED),
        (HandOverState(True, 4), StopReason.DEADLINE_PASSED),
        (HandOverState(True, 10, disabled=True), StopReason.ENDPOINT_DISABLED),
        (HandOverState(True, 10, draining_since_ns=5), StopReason.ENDPOINT_DRAINING),
        (HandOverState(True, 10, draining_since_ns=6), None),
        (HandOverState(True, 10, min_latency_ns=6), StopReason.INSUFFICIENT_TIME),
        (HandOverState(True, 10, min_latency_ns=5), None),
        (HandOverState(False, 4, 9, True, 1), StopReason.CLIENT_LEFT),
    ],
)  # nobody wants it: that says nothing of the engine
def test_a_gate_tells_the_first_reason_against_it(
    passing: HandOverState, why: StopReason | None
) -> None:
    assert reason_to_stop(5, passing) is why


# --- the outbox ---


class Wire:
    """An outbox and a socket that takes what it is told to."""

    def __init__(self) -> None:
        self.begun: list[object] = []
        self.gone: list[object] = []
        self.box = WriteQueue(self)
        self.out = b""
        self.stopped: set[object] = set()
        self.whole: dict[object, bytes] = {}

    def release_frame(self, frame: Frame) -> tuple[bytes, ...] | None:
        return None if frame.about in self.stopped else frame.pieces

    def frame_started(self, about: object) -> None:
        self.begun.append(about)

    def frame_written(self, about: object) -> None:
        self.gone.append(about)

    def put(self, name: str, level: int = 1, size: int = 10) -> None:
        pieces = (name[:1].encode() * (size // 2), name[:1].upper().encode() * (size - size // 2))
        self.whole[name] = b"".join(pieces)
        if self.box.enqueue(Frame(pieces, name.encode(), level, size, name)):
            self.flush(0)

    def flush(self, most: int) -> None:
        """The socket takes so many bytes in all."""
        while pieces := self.box.next():
            data = b"".join(pieces)[:most]
            most -= len(data)
            self.out += data
            if not self.box.wrote(len(data)):
                return


def test_frames_leave_by_priority_and_what_has_begun_first() -> None:
    wire = Wire()
    for name, level in (("a", 1), ("b", 0), ("c", 3), ("d", CONTROL), ("e", 3)):
        wire.put(name, level)
    wire.flush(3)
    assert wire.begun == ["d"]
    assert wire.out == b"ddd"
    wire.put("f", CONTROL)  # not before the rest of what has begun
    wire.flush(1_000)
    assert wire.gone == ["d", "f", "c", "e", "a", "b"]


def test_what_has_not_begun_is_taken_back_whole_and_what_has_is_not() -> None:
    wire = Wire()
    for name in "abc":
        wire.put(name)
    assert wire.box.withdraw(b"b")
    assert not wire.box.withdraw(b"b")
    assert not wire.box.withdraw(b"z")
    wire.flush(1)
    assert not wire.box.withdraw(b"a")
    assert wire.box.withdraw(b"c")
    assert not wire.box.empty()
    wire.flush(100)
    assert wire.out == b"aaaaaAAAAA"
    assert wire.box.empty()
    assert wire.box.waiting_bytes == 0


def test_a_gate_is_asked_right_before_the_first_byte() -> None:
    wire = Wire()
    for name in "abc":
        wire.put(name)
    wire.stopped = {"a", "c"}
    wire.flush(100)
    assert wire.gone == ["b"]
    assert not wire.box.keyed
    wire.put("c")  # under its key again: the one that was stopped is gone
    assert wire.box.withdraw(b"c")


def test_an_outbox_that_is_full_says_so() -> None:
    wire = Wire()
    for i in range(64):
        wire.put(f"{i}")
    assert wire.box.full()
    wire.flush(25)
    assert not wire.box.full()
    wire.box.abandon()
    assert wire.box.empty()
    assert wire.box.waiting_bytes == 0
    assert not wire.box.next()


def test_another_priority_holds_for_what_waits() -> None:
    wire = Wire()
    for name in "abc":
        wire.put(name)
    assert wire.box.raise_priority(b"c", 3)
    assert wire.box.raise_priority(b"b", 1)
    assert not wire.box.raise_priority(b"z", 3)
    wire.flush(100)
    assert wire.gone == ["c", "a", "b"]


@settings(max_examples=200)
@given(
    st.lists(
        st.tuples(st.sampled_from(["put", "back", "flush", "stop", "level"]), st.integers(0, 25))
    )
)
def test_whole_frames_leave_or_none_of_them(steps: list[tuple[str, int]]) -> None:
    wire, back, count = Wire(), set(), 0
    names: list[str] = []
    for word, number in steps:
        name = names[number % len(names)] if names else ""
        if word == "put":
            count += 1
            names.append(f"{chr(97 + count % 26)}{count}")
            wire.put(names[-1], number % 5, 2 + number)
        elif word == "flush":
            wire.flush(number)
        elif word == "back" and wire.box.withdraw(name.encode()):
            back.add(name)
        elif word == "stop" and name not in wire.begun:
            wire.stopped.add(name)
        elif word == "level":
            wire.box.raise_priority(name.encode(), number % 4)
        assert wire.box.waiting_bytes == sum(f.size for f in wire.box.keyed.values())
    wire.flush(1 << 20)
    assert wire.box.empty()
    assert not back & set(wire.begun)
    assert wire.begun == wire.gone
    assert set(names) == set(wire.gone) | back | (wire.stopped & set(names)) - set(wire.gone)
    assert wire.out == b"".join(wire.whole[name] for name in wire.gone)


def test_large_statements_are_not_copied() -> None:
    statement = b"x" * 200_000
    pieces = resp.pieces(b"do", b"1", b"-", statement)
    assert any(piece is statement for piece in pieces)
    assert b"".join(pieces) == resp.encode(b"do", b"1", b"-", statement)
    assert resp.pieces(b"do", b"1") == (resp.encode(b"do", b"1"),)
    views = rest(pieces, len(pieces[0]) + 10)
    assert b"".join(views) == b"".join(pieces)[len(pieces[0]) + 10 :]
    assert any(getattr(view, "obj", None) is statement for view in views)


# --- scopes ---


def tree() -> tuple[CancelScope, list[CancelScope]]:
    request = CancelScope(ScopeKind.REQUEST, "r")
    unsent, sent = request.open(ScopeKind.ATTEMPT, 0), request.open(ScopeKind.ATTEMPT, 1)
    sent.write_started = True
    page, probe = sent.open(ScopeKind.PAGE, "p"), sent.open(ScopeKind.HEALTH_CHECK, "q")
    return request, [unsent, sent, page, probe]


@pytest.mark.parametrize(
    ("honoured", "act"), [(True, CancelAction.CANCEL), (False, CancelAction.LET_RUN)]
)
def test_ending_a_scope_ends_all_below_it_children_first_and_once(
    honoured: bool, act: CancelAction
) -> None:
    request, (unsent, sent, page, probe) = tree()
    assert request.end(honoured) == [
        (CancelAction.WITHDRAW, unsent),
        (CancelAction.DISCARD_PAGES, page),
        (CancelAction.LET_RUN, probe),
        (act, sent),
        (CancelAction.END_REQUEST, request),
    ]
    assert request.end(honoured) == []
    assert sent.end(honoured) == []
    late = request.open(ScopeKind.ATTEMPT, 2)
    assert late.ended
    assert late.end(True) == []


def test_a_scope_that_is_over_by_itself_is_not_ended_with_the_rest() -> None:
    request, (unsent, sent, page, probe) = tree()
    sent.close()
    assert page.ended
    assert request.end(True) == [
        (CancelAction.WITHDRAW, unsent),
        (CancelAction.END_REQUEST, request),
    ]


def test_an_undo_is_said_again_within_bounds_and_ends_by_silence_or_answer() -> None:
    pending = PendingCancels()
    pending.begin(b"a", 0)
    pending.begin(b"b", 0)
    assert pending.check(scopes.RESEND_INTERVAL_NS - 1) == ([], [])
    assert pending.check(scopes.RESEND_INTERVAL_NS) == ([b"a", b"b"], [])
    assert pending.resolve_by_answer(b"a") is CancelOutcome.ANSWERED
    assert pending.resolve_by_answer(b"a") is None
    assert pending.check(2 * scopes.RESEND_INTERVAL_NS) == ([b"b"], [])
    assert pending.check(3 * scopes.RESEND_INTERVAL_NS) == (
        [],
        [],
    )
    assert pending.check(scopes.CONFIRMATION_NS) == ([], [b"b"])
    assert pending.clear() == 0
    pending.begin(b"c", 0)
    assert pending.clear() == 1
    assert not pending.by_id


# --- further attempts ---


def test_a_budget_gives_a_share_of_first_attempts_and_a_burst() -> None:
    budget = RetryBudget(
        RetryBudgetSettings(tokens_per_attempt=0.2, burst=3.0, classes=(("load", 0.0, 1.0),))
    )
    assert [budget.try_spend("glance", "x") for _ in range(4)] == [True, True, True, False]
    assert budget.try_spend("glance", "y")  # another tenant's is its own
    for _ in range(5):
        budget.record_first_attempt("glance", "x")
    assert budget.try_spend("glance", "x")
    assert not budget.try_spend("glance", "x")
    assert budget.refused == 2
    budget.refund("glance", "x")  # it never left
    assert budget.try_spend("glance", "x")
    assert budget.try_spend("load", "x")
    assert not budget.try_spend("load", "x")
    one = RetryBudget(RetryBudgetSettings(burst=1.0, by_tenant=False))
    assert one.try_spend("glance", "x")
    assert not one.try_spend("glance", "y")


@given(st.lists(st.booleans(), max_size=300), st.floats(0, 1), st.floats(1, 20))
def test_no_more_further_attempts_than_the_terms_allow(
    steps: list[bool], share: float, burst: float
) -> None:
    budget, firsts, made = RetryBudget(RetryBudgetSettings(share, burst)), 0, 0
    for first in steps:
        if first:
            budget.record_first_attempt("glance", "x")
            firsts += 1
        else:
            made += budget.try_spend("glance", "x")
        assert made <= burst + share * firsts + 1e-6


def test_books_of_many_tenants_are_bounded() -> None:
    budget = RetryBudget(RetryBudgetSettings())
    for i in range(3 * further.MOST_KEPT):
        budget.try_spend("glance", f"t{i}")
        budget.record_first_attempt("glance", f"t{i}")
    assert len(budget.tokens) <= further.MOST_KEPT + 1


@pytest.mark.parametrize(
    ("number", "repeatable", "first", "time"),
    [
        (0, True, 0.5, 500),
        (1, True, 0.5, 1_000),
        (0, False, 0.5, 1_000),
        (0, True, 1.0, 1_000),
        (0, True, 0.01, 100),
    ],
)
def test_a_first_attempt_that_can_be_made_again_may_be_cut_short(
    number: int, repeatable: bool, first: float, time: int
) -> None:
    assert (
        attempt_time(1_000 * MS, number, repeatable, RetryBudgetSettings(first=first)) == time * MS
    )
    assert attempt_time(50 * MS, number, repeatable, RetryBudgetSettings(first=first)) <= 50 * MS


# --- stages ---


def test_quantiles_follow_and_forget() -> None:
    known = Quantiles()
    assert known.quantile(0.5, 0) is None
    for i in range(1_000):
        known.add(i * MS, 0)
    middle = known.quantile(0.5, 0)
    assert middle is not None
    assert abs(middle - 500 * MS) < 20 * MS
    for i in range(1_000):
        known.add(MS, GENERATION_NS + i)
    for i in range(1_000):
        known.add(MS, 2 * GENERATION_NS + 2_000 + i)
    last = known.quantile(0.99, 2 * GENERATION_NS + 4_000)
    assert last is not None
    assert last <= 2 * MS
    assert sum(known.bucket_counts) == known.count == 3_000


def test_the_margin_starts_as_today_moves_slowly_and_stays_within_bounds() -> None:
    stages = StageLatencies(MarginSettings(max_ns=40 * MS))
    assert stages.learn_margin(0) == 10 * MS
    for slow in (30 * MS, 500 * MS):
        before = stages.margin_ns
        for i in range(200):
            stages.add("glance", LatencyStage.DECIDE, MS, i)
            stages.add("glance", LatencyStage.ANSWER, slow, i)
        assert before < stages.learn_margin(1_000) <= before * 1.25
    for _ in range(50):
        assert 2 * MS <= stages.learn_margin(2_000) <= 40 * MS
    assert stages.margin_ns == 40 * MS
    assert stages.min_latency_ns("glance", 0) == 0
    assert (
        MS <= stages.min_latency_ns("glance", 0, LatencyStage.DECIDE, LatencyStage.ENGINE) < 2 * MS
    )
    text = "\n".join(stages.metrics_lines("x_"))
    assert 'x_stage_seconds_bucket{type="glance",stage="answer",le="+Inf"} 400' in text


# --- the operators' words, and stories ---


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("deadlines(learn = 1)", "deadlines.learn"),
        ("deadlines(margin_ms = 1)", "deadlines.margin_ms"),
        ("deadlines(count_from = 'middle')", "deadlines.count_from"),
        ("deadlines()\ndeadlines()", "deadlines"),
        ("deadlines(half_close = 'x')", "deadlines.half_close"),
        ("deadlines(slow_reader = 0)", "deadlines.slow_reader"),
        ("further_attempts(share = -1)", "further_attempts.share"),
        ("further_attempts(burst = 0)", "further_attempts.burst"),
        ("further_attempts(first = 0)", "further_attempts.first"),
        ("further_class('x', 0.1, 1)", "further_class"),
        ("logs(format = 'xml')", "logs.format"),
        ("logs(stories = 2)", "logs.stories"),
        ("deadlines(margin_share = 1.5)", "deadlines.margin_share"),
    ],
)
def test_a_fault_in_the_words_on_deadlines_names_its_key(text: str, key: str) -> None:
    with pytest.raises(OperatorFileError, match=rf"^ops.star:\d+: {key}: "):
        run_script("ops.star", text, lambda: False)


def test_the_example_says_what_is_read() -> None:
    said = evaluate(str(ROOT / "deploy" / "operators.star"))
    assert said.deadlines is not None
    assert said.deadlines.learn_margin
    assert said.deadlines.half_close is HalfClosePolicy.AWAIT_ANSWERS
    assert said.deadlines.retry_budget == RetryBudgetSettings(
        0.2, 10, (("report", 0.1, 2.0),), True, 0.7
    )
    assert said.logs == Logs("json", 0.01)
    assert DeadlineSettings().retry_budget is None


class StoppedClock(Clock):
    """A clock that stands still."""

    def __init__(self, now_ns: int) -> None:
        super().__init__()
        self.now_ns = now_ns

    def now(self) -> int:
        return self.now_ns


def told(format: str, capsys: pytest.CaptureFixture[str], **more: Any) -> list[str]:
    log = Log("n0")
    lines = StructuredLog("n0", Logs(format, **more))  # type: ignore[arg-type]
    log.sink = lines
    observer = TraceObserver(log, lines, StoppedClock(2 * S))
    for i, deadline in enumerate((3 * S, S)):
        request = ActiveRequest(
            f"{i}", b"%016x" % i, b"glance", b"", None, 1, deadline, "acme", S, S + MS
        )
        attempt = Attempt(
            request,
            0,
            7,
            S + 2 * MS,
            deadline,
            deadline,
            assigned_ns=S + 2 * MS,
            written_ns=S + 3 * MS,
        )
        request.attempts[0] = attempt
        observer.request_ended(request, RequestEnding.SUCCESS)
    for _ in range(30):
        log("engine", "a line of its kind")
    return capsys.readouterr().err.splitlines()


def test_structured_lines_are_limited_and_late_requests_always_tell_their_story(
    capsys: pytest.CaptureFixture[str],
) -> None:
    lines = [json.loads(line) for line in told("json", capsys)]
    assert [line["kind"] for line in lines] == ["late", *["engine"] * 20]
    late = lines[0]
    assert late["trace"] == "0" * 15 + "1"
    assert late["total_ms"] == 1_000.0
    assert late["left_ms"] == -1_000.0
    assert (late["read_ms"], late["decide_ms"], late["connect_ms"], late["write_ms"]) == (
        1.0,
        1.0,
        0.0,
        1.0,
    )
    assert late["broker"] == "n0"
    assert late["engine_ms"] == 997.0
    assert "timestamp" in late
    both = told("text", capsys, traced_fraction=1.0)
    assert both[0].count("kind=story") == 1
    assert both[1].count("kind=late") == 1
    assert "broker=n0" in both[0]
    assert "customer=acme" in both[0]


def test_the_same_requests_are_sampled_everywhere() -> None:
    chosen = [i for i in range(10_000) if is_sampled(b"%016x" % i, 0.1)]
    assert 800 < len(chosen) < 1_200
    assert not is_sampled(b"x", 0.0)
    assert is_sampled(b"x", 1.0)


def test_the_clock_goes_on_when_the_machine_s_is_set_back(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock()
    before = clock.now()
    monkeypatch.setattr("time.time_ns", lambda: 0)
    assert clock.now() >= before
