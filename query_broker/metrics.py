"""Counters since the start of the process, and their text at ``/metrics``.

Performs no I/O. The text follows the Prometheus exposition format, version 0.0.4.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

#: Starts the name of every metric that stands here. Dashboards know the names: they never change.
PREFIX = "edge_proxy_"


class ReplyStatus(IntEnum):
    """How a request was answered; the value indexes the counts of its class."""

    SUCCESS = 0
    OVERLOAD = 1
    ERROR = 2


SUCCESS = ReplyStatus.SUCCESS
OVERLOAD = ReplyStatus.OVERLOAD
ERROR = ReplyStatus.ERROR

#: The label ``status`` of each reply status, in the order of their values.
STATUS_LABELS = ("success", "overload", "error")


class MetricFamily(NamedTuple):
    """The head of one metric: its name without the prefix, its Prometheus type and help text."""

    name: str
    kind: str
    help_text: str


FAMILIES = (
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
        """Start every series of these request classes at 0."""
        self.replies: dict[str, list[int]] = {}
        self.dispatches = 0
        self.reloads_applied = 0
        self.reloads_rejected = 0
        self.add_classes(classes)

    def add_classes(self, classes: Iterable[str]) -> None:
        """Add the request classes of a configuration; every series is there from 0 on.

        A class that a new file drops keeps its counts: whoever scrapes them would see a counter
        run backwards otherwise.
        """
        for name in classes:
            self.replies.setdefault(name, [0] * len(ReplyStatus))

    def count_reply(self, class_name: str, status: ReplyStatus) -> None:
        """Count one reply.

        Classes that no configuration has named are not counted: clients name any class they like,
        and a series for each would grow without bound.
        """
        counts = self.replies.get(class_name)
        if counts is not None:
            counts[status] += 1

    def text(self, concurrent: int, targets: int, disabled: int) -> bytes:
        """Return the metrics in the Prometheus text format.

        Args:
            concurrent: Requests that have no final answer yet.
            targets: Endpoints in the list.
            disabled: Listed endpoints that take no requests, for whatever reason.
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
        for family in FAMILIES:
            name = PREFIX + family.name
            lines.append(f"# HELP {name} {family.help_text}")
            lines.append(f"# TYPE {name} {family.kind}")
            if family.name in values:
                lines.append(f"{name} {values[family.name]}")
            else:
                lines += self._reply_lines(name)
        return ("\n".join(lines) + "\n").encode()

    def _reply_lines(self, name: str) -> Iterable[str]:
        for class_name, counts in self.replies.items():
            label = escape_label(class_name)
            for status, count in zip(STATUS_LABELS, counts, strict=True):
                yield f'{name}{{type="{label}",status="{status}"}} {count}'


def escape_label(value: str) -> str:
    """Return a label's value with backslashes, quotes and line ends escaped.

    A bare quote or line end in the name of a class would make the complete text unreadable.
    """
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
