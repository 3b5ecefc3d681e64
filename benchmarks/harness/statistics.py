"""Ratios and counts over samples.

Percentiles are those of `query_broker.emulator.clients.quantile`, as in the tests.
"""

from __future__ import annotations

import statistics
from collections.abc import Sequence

from .results import Results


def lower_quartile(values: Sequence[float]) -> float:
    """Return the value below which a quarter of the values lies."""
    return sorted(values)[len(values) // 4]


def ratios(values: Sequence[float], bases: Sequence[float]) -> list[float]:
    """Return the ratio of each value to the base of the same round."""
    return [value / base for value, base in zip(values, bases, strict=True)]


def record_ratios(
    results: Results,
    name: str,
    values: Sequence[float],
    bases: Sequence[float],
    *,
    at_most: float,
) -> None:
    """Record the median ratio with its bound, and the least and the greatest ratio."""
    ratios_by_round = ratios(values, bases)
    results.record(name, statistics.median(ratios_by_round), at_most=at_most)
    results.record(f"{name}_least", min(ratios_by_round))
    results.record(f"{name}_greatest", max(ratios_by_round))


def busiest_window(times_s: Sequence[float], window_s: float = 1.0) -> int:
    """Return the maximum number of the given times within any window of this length."""
    ordered = sorted(times_s)
    first = 0
    greatest = 0
    for last, time_s in enumerate(ordered):
        while ordered[first] <= time_s - window_s:
            first += 1
        greatest = max(greatest, last - first + 1)
    return greatest
