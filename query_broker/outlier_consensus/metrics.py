"""Metrics of the consensus on outliers. Performs no I/O."""

from __future__ import annotations

from ..prometheus_text import event_counter, metric_header, metrics_page
from .consensus import OutlierConsensus


def consensus_metrics(consensus: OutlierConsensus) -> bytes:
    """Return the part of the metrics page that is about the consensus on outliers."""
    gauge = "edge_proxy_verdicts"
    lines = [
        *metric_header(gauge, "Engines that shared verdicts hold out.", "gauge"),
        f"{gauge} {len(consensus.ejections)}",
        *event_counter(
            "edge_proxy_verdict_events_total",
            "Verdicts begun, lifted, or over the part.",
            consensus.event_counts,
        ),
    ]
    return metrics_page(lines)
