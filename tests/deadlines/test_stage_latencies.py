"""Latencies of each stage, and the margin learned from them."""

from __future__ import annotations

import pytest

from query_broker.deadlines.settings import LatencyStage, MarginSettings
from query_broker.deadlines.stage_latencies import (
    GENERATION_AGE_NS,
    LatencyDistribution,
    StageLatencies,
)
from query_broker.timer_wheel import Clock

MS = 1_000_000


def test_quantiles_follow_recent_latencies_and_drop_old_ones() -> None:
    latencies = LatencyDistribution()
    assert latencies.quantile(0.5, 0) is None
    for number in range(1_000):
        latencies.add(number * MS, 0)
    median = latencies.quantile(0.5, 0)
    assert median is not None
    assert abs(median - 500 * MS) < 20 * MS
    for number in range(1_000):
        latencies.add(MS, GENERATION_AGE_NS + number)
    for number in range(1_000):
        latencies.add(MS, 2 * GENERATION_AGE_NS + 2_000 + number)
    latest = latencies.quantile(0.99, 2 * GENERATION_AGE_NS + 4_000)
    assert latest is not None
    assert latest <= 2 * MS
    assert sum(latencies.bucket_counts) == latencies.count == 3_000


def test_the_margin_starts_at_its_initial_value_moves_slowly_and_stays_within_bounds() -> None:
    stages = StageLatencies(MarginSettings(max_ns=40 * MS))
    assert stages.learn_margin(0) == 10 * MS
    for slow_ns in (30 * MS, 500 * MS):
        margin_before_ns = stages.margin_ns
        for number in range(200):
            stages.add("glance", LatencyStage.DECIDE, MS, number)
            stages.add("glance", LatencyStage.ANSWER, slow_ns, number)
        assert margin_before_ns < stages.learn_margin(1_000) <= margin_before_ns * 1.25
    for _ in range(50):
        assert 2 * MS <= stages.learn_margin(2_000) <= 40 * MS
    assert stages.margin_ns == 40 * MS
    assert stages.min_latency_ns("glance", 0) == 0
    assert (
        MS <= stages.min_latency_ns("glance", 0, LatencyStage.DECIDE, LatencyStage.ENGINE) < 2 * MS
    )
    text = "\n".join(stages.metrics_lines("x_"))
    assert 'x_stage_seconds_bucket{type="glance",stage="answer",le="+Inf"} 400' in text


def test_the_clock_does_not_go_back_when_the_system_clock_is_set_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = Clock()
    before_ns = clock.now()
    monkeypatch.setattr("time.time_ns", lambda: 0)
    assert clock.now() >= before_ns
