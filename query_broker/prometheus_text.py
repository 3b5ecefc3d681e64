"""Metrics in the Prometheus text format. Performs no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping


def metric_header(name: str, help_text: str, metric_type: str) -> list[str]:
    """Return the HELP and TYPE lines of a metric."""
    return [f"# HELP {name} {help_text}", f"# TYPE {name} {metric_type}"]


def single_metric(name: str, help_text: str, metric_type: str, value: object) -> list[str]:
    """Return the lines of a metric with one time series."""
    return [*metric_header(name, help_text, metric_type), f"{name} {value}"]


def event_counter(name: str, help_text: str, counts: Mapping[str, int]) -> list[str]:
    """Return the lines of a counter that has one time series for each event."""
    samples = [f'{name}{{event="{event}"}} {count}' for event, count in counts.items()]
    return [*metric_header(name, help_text, "counter"), *samples]


def metrics_page(lines: Iterable[str]) -> bytes:
    """Join lines into a section of the metrics page."""
    return ("\n".join(lines) + "\n").encode()
