"""Metrics of deadlines in the Prometheus text format. Performs no I/O."""

from __future__ import annotations

from .handover_checks import HandOverStatistics
from .retry_budget import RetryBudget
from .stage_latencies import StageLatencies

PREFIX = "larchhall_"
SINGLE = {
    "undone_total": "Running attempts that were undone.",
    "undone_stopped_total": "Of them, those that were silent from then on.",
    "undone_went_on_total": "Of them, those that answered all the same.",
    "answers_late_total": "Answers that came when nobody waited.",
}


def text(
    tally: HandOverStatistics, stages: StageLatencies, margin: int, budget: RetryBudget | None
) -> bytes:
    """Return the lines of all metrics of deadlines; ``margin`` in nanoseconds."""
    lines = [
        *_handover_lines(tally),
        *_cancellation_lines(tally),
        *_single(
            "margin_seconds",
            "gauge",
            "Kept of each request's time for its answer's way back.",
            f"{margin / 1e9:.6f}",
        ),
    ]
    if budget is not None:
        lines += _single(
            "further_refused_total",
            "counter",
            "Further attempts that the budget did not allow.",
            str(budget.refused),
        )
    return ("\n".join([*lines, *stages.metrics_lines(PREFIX)]) + "\n").encode()


def _head(name: str, kind: str, description: str) -> list[str]:
    return [f"# HELP {PREFIX}{name} {description}", f"# TYPE {PREFIX}{name} {kind}"]


def _single(name: str, kind: str, description: str, value: str) -> list[str]:
    return [*_head(name, kind, description), f"{PREFIX}{name} {value}"]


def _handover_lines(tally: HandOverStatistics) -> list[str]:
    """Attempts stopped at a hand-over, and those that were half written by then."""
    stopped = sorted((hand.value, why.value, count) for (hand, why), count in tally.stopped.items())
    begun_after = sorted((why.value, count) for why, count in tally.begun_after.items())
    return [
        *_head(
            "taken_back_total", "counter", "Attempts stopped at a hand-over before a byte left."
        ),
        *(
            f'{PREFIX}taken_back_total{{at="{hand}",cause="{cause}"}} {count}'
            for hand, cause, count in stopped
        ),
        *_head("begun_after_total", "counter", "Attempts half written when their request ended."),
        *(f'{PREFIX}begun_after_total{{cause="{cause}"}} {count}' for cause, count in begun_after),
    ]


def _cancellation_lines(tally: HandOverStatistics) -> list[str]:
    counts = (
        tally.cancels_sent,
        tally.stopped_after_cancel,
        tally.answered_after_cancel,
        tally.late_answers,
    )
    lines: list[str] = []
    for (name, description), count in zip(SINGLE.items(), counts, strict=True):
        lines += _single(name, "counter", description, str(count))
    return lines
