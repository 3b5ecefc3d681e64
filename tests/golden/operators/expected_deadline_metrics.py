"""The metrics of deadlines, as Prometheus reads them."""

from __future__ import annotations

DEADLINE_METRICS = (
    "# HELP larchhall_taken_back_total Attempts stopped at a hand-over before a "
    "byte left.\n"
    "# TYPE larchhall_taken_back_total counter\n"
    'larchhall_taken_back_total{at="connection",cause="budget"} 2\n'
    'larchhall_taken_back_total{at="connection",cause="drained"} 2\n'
    'larchhall_taken_back_total{at="connection",cause="left"} 2\n'
    'larchhall_taken_back_total{at="connection",cause="out"} 2\n'
    'larchhall_taken_back_total{at="connection",cause="past"} 2\n'
    'larchhall_taken_back_total{at="connection",cause="too late"} 2\n'
    'larchhall_taken_back_total{at="pool",cause="budget"} 1\n'
    'larchhall_taken_back_total{at="pool",cause="drained"} 1\n'
    'larchhall_taken_back_total{at="pool",cause="left"} 1\n'
    'larchhall_taken_back_total{at="pool",cause="out"} 1\n'
    'larchhall_taken_back_total{at="pool",cause="past"} 1\n'
    'larchhall_taken_back_total{at="pool",cause="too late"} 1\n'
    'larchhall_taken_back_total{at="socket",cause="budget"} 3\n'
    'larchhall_taken_back_total{at="socket",cause="drained"} 3\n'
    'larchhall_taken_back_total{at="socket",cause="left"} 3\n'
    'larchhall_taken_back_total{at="socket",cause="out"} 3\n'
    'larchhall_taken_back_total{at="socket",cause="past"} 3\n'
    'larchhall_taken_back_total{at="socket",cause="too late"} 3\n'
    "# HELP larchhall_begun_after_total Attempts half written when their request "
    "ended.\n"
    "# TYPE larchhall_begun_after_total counter\n"
    'larchhall_begun_after_total{cause="budget"} 6\n'
    'larchhall_begun_after_total{cause="drained"} 5\n'
    'larchhall_begun_after_total{cause="left"} 1\n'
    'larchhall_begun_after_total{cause="out"} 4\n'
    'larchhall_begun_after_total{cause="past"} 2\n'
    'larchhall_begun_after_total{cause="too late"} 3\n'
    "# HELP larchhall_undone_total Running attempts that were undone.\n"
    "# TYPE larchhall_undone_total counter\n"
    "larchhall_undone_total 3\n"
    "# HELP larchhall_undone_stopped_total Of them, those that were silent from "
    "then on.\n"
    "# TYPE larchhall_undone_stopped_total counter\n"
    "larchhall_undone_stopped_total 1\n"
    "# HELP larchhall_undone_went_on_total Of them, those that answered all the "
    "same.\n"
    "# TYPE larchhall_undone_went_on_total counter\n"
    "larchhall_undone_went_on_total 2\n"
    "# HELP larchhall_answers_late_total Answers that came when nobody waited.\n"
    "# TYPE larchhall_answers_late_total counter\n"
    "larchhall_answers_late_total 4\n"
    "# HELP larchhall_margin_seconds Kept of each request's time for its "
    "answer's way back.\n"
    "# TYPE larchhall_margin_seconds gauge\n"
    "larchhall_margin_seconds 0.010000\n"
    "# HELP larchhall_further_refused_total Further attempts that the budget did "
    "not allow.\n"
    "# TYPE larchhall_further_refused_total counter\n"
    "larchhall_further_refused_total 6\n"
    "# HELP larchhall_stage_seconds Time that requests spent in each stage.\n"
    "# TYPE larchhall_stage_seconds histogram\n"
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.0001"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.00025"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.0005"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.001"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.0025"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.005"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.01"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.025"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.05"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.25"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="0.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="2.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="10"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="30"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="answer",le="+Inf"} 1\n'
    'larchhall_stage_seconds_sum{type="glance",stage="answer"} 0.006000\n'
    'larchhall_stage_seconds_count{type="glance",stage="answer"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.0001"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.00025"} '
    "0\n"
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.0005"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.001"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.0025"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.005"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.01"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.025"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.05"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.25"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="0.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="2.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="10"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="30"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="connect",le="+Inf"} 1\n'
    'larchhall_stage_seconds_sum{type="glance",stage="connect"} 0.003000\n'
    'larchhall_stage_seconds_count{type="glance",stage="connect"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.0001"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.00025"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.0005"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.001"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.0025"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.005"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.01"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.025"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.05"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.25"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="0.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="2.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="10"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="30"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="decide",le="+Inf"} 1\n'
    'larchhall_stage_seconds_sum{type="glance",stage="decide"} 0.002000\n'
    'larchhall_stage_seconds_count{type="glance",stage="decide"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.0001"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.00025"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.0005"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.001"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.0025"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.005"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.01"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.025"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.05"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.25"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="0.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="2.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="10"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="30"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="engine",le="+Inf"} 1\n'
    'larchhall_stage_seconds_sum{type="glance",stage="engine"} 0.005000\n'
    'larchhall_stage_seconds_count{type="glance",stage="engine"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.0001"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.00025"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.0005"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.001"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.0025"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.005"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.01"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.025"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.05"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.25"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="0.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="2.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="10"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="30"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="read",le="+Inf"} 1\n'
    'larchhall_stage_seconds_sum{type="glance",stage="read"} 0.001000\n'
    'larchhall_stage_seconds_count{type="glance",stage="read"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.0001"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.00025"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.0005"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.001"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.0025"} 0\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.005"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.01"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.025"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.05"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.25"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="0.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="1"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="2.5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="5"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="10"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="30"} 1\n'
    'larchhall_stage_seconds_bucket{type="glance",stage="write",le="+Inf"} 1\n'
    'larchhall_stage_seconds_sum{type="glance",stage="write"} 0.004000\n'
    'larchhall_stage_seconds_count{type="glance",stage="write"} 1\n'
)
# Of a broker that has served no request and has no retry budget.
METRICS_WITHOUT_A_RETRY_BUDGET = (
    "# HELP larchhall_taken_back_total Attempts stopped at a hand-over before a "
    "byte left.\n"
    "# TYPE larchhall_taken_back_total counter\n"
    "# HELP larchhall_begun_after_total Attempts half written when their request "
    "ended.\n"
    "# TYPE larchhall_begun_after_total counter\n"
    "# HELP larchhall_undone_total Running attempts that were undone.\n"
    "# TYPE larchhall_undone_total counter\n"
    "larchhall_undone_total 0\n"
    "# HELP larchhall_undone_stopped_total Of them, those that were silent from "
    "then on.\n"
    "# TYPE larchhall_undone_stopped_total counter\n"
    "larchhall_undone_stopped_total 0\n"
    "# HELP larchhall_undone_went_on_total Of them, those that answered all the "
    "same.\n"
    "# TYPE larchhall_undone_went_on_total counter\n"
    "larchhall_undone_went_on_total 0\n"
    "# HELP larchhall_answers_late_total Answers that came when nobody waited.\n"
    "# TYPE larchhall_answers_late_total counter\n"
    "larchhall_answers_late_total 0\n"
    "# HELP larchhall_margin_seconds Kept of each request's time for its "
    "answer's way back.\n"
    "# TYPE larchhall_margin_seconds gauge\n"
    "larchhall_margin_seconds 0.010000\n"
    "# HELP larchhall_stage_seconds Time that requests spent in each stage.\n"
    "# TYPE larchhall_stage_seconds histogram\n"
)
