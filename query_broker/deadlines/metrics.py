"""What deadlines tell on the second address. Pure."""

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
    """Lines of the Prometheus text format."""
    lines = [
        f"# HELP {PREFIX}taken_back_total Attempts stopped at a hand-over before a byte left.",
        f"# TYPE {PREFIX}taken_back_total counter",
    ]
    lines += (
        f'{PREFIX}taken_back_total{{at="{hand.value}",cause="{why.value}"}} {count}'
        for (hand, why), count in sorted(
            tally.stopped.items(), key=lambda item: (item[0][0].value, item[0][1].value)
        )
    )
    lines += (
        f"# HELP {PREFIX}begun_after_total Attempts half written when their request ended.",
        f"# TYPE {PREFIX}begun_after_total counter",
    )
    lines += (
        f'{PREFIX}begun_after_total{{cause="{why.value}"}} {count}'
        for why, count in sorted(tally.begun_after.items(), key=lambda i: i[0].value)
    )
    values = dict(
        zip(SINGLE, (tally.undone, tally.cancelled, tally.went_on, tally.late), strict=True)
    )
    for name, help in SINGLE.items():
        lines += (
            f"# HELP {PREFIX}{name} {help}",
            f"# TYPE {PREFIX}{name} counter",
            f"{PREFIX}{name} {values[name]}",
        )
    lines += (
        f"# HELP {PREFIX}margin_seconds Kept of each request's time for its answer's way back.",
        f"# TYPE {PREFIX}margin_seconds gauge",
        f"{PREFIX}margin_seconds {margin / 1e9:.6f}",
    )
    if budget is not None:
        lines += (
            f"# HELP {PREFIX}further_refused_total Further attempts that the budget did not allow.",
            f"# TYPE {PREFIX}further_refused_total counter",
            f"{PREFIX}further_refused_total {budget.refused}",
        )
    return ("\n".join([*lines, *stages.text(PREFIX)]) + "\n").encode()
