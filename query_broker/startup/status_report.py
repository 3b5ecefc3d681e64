"""The status of a start for operators: the answer to ``GET /start`` and the metrics.

Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ..protocols.json_answers import json_answer, wrong_method_answer
from ..protocols.operator_answers import HttpAnswer
from .settings import NS_PER_SECOND
from .stages import StartupStages

PATH = "/start"


def status_answer(method: str, status: Mapping[str, Any]) -> HttpAnswer:
    """Return the answer to a call of ``PATH``."""
    if method != "GET":
        return wrong_method_answer("GET")
    return json_answer(status)


def metrics_text(stages: StartupStages, now_ns: int) -> bytes:
    """Return the metrics: seconds in each stage so far, and the open part of the admission."""
    durations_ns = {completed.stage: completed.duration_ns for completed in stages.completed}
    durations_ns[stages.stage] = now_ns - stages.stage_started_ns
    lines = [
        "# HELP edge_proxy_start_seconds Time in each stage of the start.",
        "# TYPE edge_proxy_start_seconds gauge",
    ]
    for stage, duration_ns in durations_ns.items():
        seconds = duration_ns / NS_PER_SECOND
        lines.append(f'edge_proxy_start_seconds{{stage="{stage.value}"}} {seconds:.3f}')
    lines += [
        "# HELP edge_proxy_start_share Share of the admission that is open.",
        "# TYPE edge_proxy_start_share gauge",
        f"edge_proxy_start_share {stages.open_fraction:.4f}",
    ]
    return ("\n".join(lines) + "\n").encode()
