"""Metrics of the broker, counted from the start of the process, and their text at ``/metrics``.

Performs no I/O. The text follows the Prometheus exposition format, version 0.0.4.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

#: Prefix of the metric names of this module. Dashboards use the names, so they must not change.
PREFIX = "edge_proxy_"


class ReplyStatus(IntEnum):
    """How a request was answered; the value is the index into the counts of the request class."""

    SUCCESS = 0
    OVERLOAD = 1
    ERROR = 2


SUCCESS = ReplyStatus.SUCCESS
OVERLOAD = ReplyStatus.OVERLOAD
ERROR = ReplyStatus.ERROR

#: Values of the label ``status``, indexed by `ReplyStatus`.
STATUS_LABELS = ("success", "overload", "error")


class MetricFamily(NamedTuple):
    """A metric's name without the prefix, its Prometheus type and its help text."""

    name: str
    metric_type: str
    help_text: str


METRIC_FAMILIES = (
    MetricFamily(
        "replies_total", "counter", "Requests answered, by class: served, refused, failed."
    ),
    MetricFamily("dispatches_total", "counter", "Attempts written whole to data engines."),
    MetricFamily("concurrent", "gauge", "Requests taken that have no final answer yet."),
    MetricFamily("targets", "gauge", "Data engines in the list."),
    MetricFamily(
        "targets_disabled", "gauge", "Listed data engines that are left out, by hand or by choice."
    ),
    MetricFamily("reload_success_total", "counter", "Configuration files taken at SIGHUP."),
    MetricFamily("reload_failure_total", "counter", "Configuration files turned down at SIGHUP."),
)


class Metrics:
    """The counters of one process.

    Attributes:
        replies: For each request class the number of replies, indexed by `ReplyStatus`.
        dispatches: Attempts whose last byte has been written to an endpoint.
        reloads_applied: Configuration files applied at SIGHUP.
        reloads_rejected: Configuration files rejected at SIGHUP.
    """

    def __init__(self, classes: Iterable[str]) -> None:
        """Start the time series of these request classes at 0."""
        self.replies: dict[str, list[int]] = {}
        self.dispatches = 0
        self.reloads_applied = 0
        self.reloads_rejected = 0
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Add the request classes of a configuration; the time series of new ones start at 0.

        A class that a new configuration drops keeps its counts, so that no counter decreases
        between two scrapes.
        """
        for name in classes:
            self.replies.setdefault(name, [0] * len(ReplyStatus))

    def count_reply(self, class_name: str, status: ReplyStatus) -> None:
        """Count one reply.

        Replies of unconfigured classes are not counted: clients may send any class name, and a
        time series for each would make the number of series unbounded.
        """
        counts = self.replies.get(class_name)
        if counts is not None:
            counts[status] += 1

    def text(self, concurrent: int, targets: int, disabled: int) -> bytes:
        """Return the metrics in the Prometheus text format.

        Args:
            concurrent: Requests that have no final answer yet.
            targets: Endpoints in the list.
            disabled: Listed endpoints that get no requests, whether disabled by an operator or by
                the broker.
        """
        values = {
            "dispatches_total": self.dispatches,
            "concurrent": concurrent,
            "targets": targets,
            "targets_disabled": disabled,
            "reload_success_total": self.reloads_applied,
            "reload_failure_total": self.reloads_rejected,
        }
        lines: list[str] = []
        for family in METRIC_FAMILIES:
            metric_name = PREFIX + family.name
            lines.append(f"# HELP {metric_name} {family.help_text}")
            lines.append(f"# TYPE {metric_name} {family.metric_type}")
            if family.name in values:
                lines.append(f"{metric_name} {values[family.name]}")
            else:
                lines += self._reply_lines(metric_name)
        return ("\n".join(lines) + "\n").encode()

    def _reply_lines(self, metric_name: str) -> Iterable[str]:
        for class_name, counts in self.replies.items():
            label = escape_label(class_name)
            for status, count in zip(STATUS_LABELS, counts, strict=True):
                yield f'{metric_name}{{type="{label}",status="{status}"}} {count}'


def escape_label(value: str) -> str:
    """Return a label value with backslashes, double quotes and line feeds escaped.

    An unescaped quote or line feed in a class name would make the complete text unparsable.
    """
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
