"""The membership metrics of `/metrics`, in the Prometheus text format.

The names of the metrics are a public interface: dashboards and alerts use them.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from .codec import Codec
from .failure_detector import FailureDetector
from .messages import Status
from .traffic import TrafficCounters
from .views import MembershipView

PREFIX = "edge_proxy_members"
MEMBER_STATUSES = (Status.ALIVE, Status.SUSPECT, Status.DEAD, Status.LEFT)


class Metric(NamedTuple):
    """A metric without labels: its name without the prefix, whether it is a gauge, and its help."""

    name: str
    is_gauge: bool
    help_text: str


METRICS = (
    Metric("view_epoch", True, "Number of the view."),
    Metric("view_certain", True, "1: limits go by the view."),
    Metric("view_limits_by", True, "Brokers that limits are divided by."),
    Metric("doubt", True, "How far the broker doubts its own senses, 0 to 8."),
    Metric("suspicions", False, "Members that were suspected."),
    Metric("refuted", False, "Suspicions of this broker that it refuted."),
    Metric("false_suspicions", False, "Suspicions known to be false afterwards."),
    Metric("removals", False, "Members that were removed."),
    Metric("false_removals", False, "Removed members that came back."),
    Metric("removal_ms", False, "Milliseconds from the last word of a member to its removal."),
    Metric("bytes_in", False, "Bytes from members."),
    Metric("bytes_out", False, "Bytes to members."),
    Metric("flooded", False, "Datagrams that were not looked at, being too many."),
)


def render_metrics(
    detector: FailureDetector, view: MembershipView, codec: Codec, traffic: TrafficCounters
) -> bytes:
    """Return the text of all metrics of the membership."""
    values: dict[str, int] = {
        **detector.statistics,
        "view_epoch": view.epoch,
        "view_certain": int(view.is_certain),
        "view_limits_by": view.effective_size,
        "doubt": detector.health.score,
        "flooded": traffic.rate_limited_datagrams,
        "bytes_in": traffic.received_bytes,
        "bytes_out": traffic.sent_bytes,
    }
    lines = [
        *_member_lines(detector),
        *_value_lines(values),
        *_dropped_lines(codec.dropped),
    ]
    return ("\n".join(lines) + "\n").encode()


def _member_lines(detector: FailureDetector) -> Iterator[str]:
    yield f"# HELP {PREFIX} Other members by what they are held to be."
    yield f"# TYPE {PREFIX} gauge"
    statuses = [record.status for record in detector.table.records.values()]
    for status in MEMBER_STATUSES:
        yield f'{PREFIX}{{status="{status.name.lower()}"}} {statuses.count(status)}'


def _value_lines(values: Mapping[str, int]) -> Iterator[str]:
    for metric in METRICS:
        kind = "gauge" if metric.is_gauge else "counter"
        suffix = "" if metric.is_gauge else "_total"
        name = f"{PREFIX}_{metric.name}{suffix}"
        yield f"# HELP {name} {metric.help_text}"
        yield f"# TYPE {name} {kind}"
        yield f"{name} {values.get(metric.name, 0)}"


def _dropped_lines(dropped: Mapping[str, int]) -> Iterator[str]:
    name = f"{PREFIX}_dropped_total"
    yield f"# HELP {name} Datagrams that changed nothing, by why."
    yield f"# TYPE {name} counter"
    for reason, count in dropped.items():
        yield f'{name}{{why="{reason}"}} {count}'
