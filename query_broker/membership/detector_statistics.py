"""Counters of the failure detector, named as in the metrics and the admin API status."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum


class Statistic(StrEnum):
    """Name of a counter."""

    SUSPICIONS = "suspicions"
    REFUTED = "refuted"
    FALSE_SUSPICIONS = "false_suspicions"
    REMOVALS = "removals"
    FALSE_REMOVALS = "false_removals"
    REMOVAL_MS = "removal_ms"
    UNPROVEN = "unproven"


DetectorStatistics = Counter[str]
