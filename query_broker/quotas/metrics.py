"""Metrics of the shared limits. Performs no I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from ..prometheus_text import event_counter, metric_header, metrics_page
from .demand_tracker import DemandTracker
from .quota_rates import QuotaRates
from .settings import LimitSettings

PREFIX = "edge_proxy_limit"


class LimitGauge(NamedTuple):
    """A gauge with one time series per limit."""

    name: str
    help_text: str
    value: Callable[[LimitSettings], float]


def quota_metrics(rates: QuotaRates, tracker: DemandTracker, now_ns: int) -> bytes:
    """Return the part of the metrics page that is about shared limits."""
    gauges = (
        LimitGauge(
            "ours",
            "What this broker may use of a limit, a second.",
            lambda limit: rates.quota_per_s(limit, now_ns),
        ),
        LimitGauge(
            "asked",
            "What was asked of it in the last second.",
            lambda limit: tracker.forecasts[limit.name].last_demand_per_s,
        ),
        LimitGauge(
            "held",
            "What of it is leased.",
            lambda limit: rates.leases.amount_per_s(limit.name, now_ns),
        ),
        LimitGauge(
            "overshoot_promised",
            "By how much all may be over.",
            tracker.overshoot_bound_per_s,
        ),
        LimitGauge(
            "overshoot_seen",
            "By how much all were seen to be over.",
            lambda limit: tracker.worst_overshoot_per_s.get(limit.name, 0.0),
        ),
    )
    lines: list[str] = []
    for gauge in gauges:
        name = f"{PREFIX}_{gauge.name}"
        lines += metric_header(name, gauge.help_text, "gauge")
        for limit in rates.settings.limits:
            lines.append(f'{name}{{limit="{limit.name}"}} {gauge.value(limit):.6g}')
    counts = {**rates.leases.state.event_counts, "breaches": tracker.breaches}
    lines += event_counter(f"{PREFIX}_events_total", "What became of leases.", counts)
    return metrics_page(lines)
