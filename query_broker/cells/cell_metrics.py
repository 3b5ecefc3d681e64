"""Metrics of cells, in the text format of Prometheus. Performs no I/O.

The names, labels and help texts are read by dashboards and stay as they are, in the older terms.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple, Protocol

from ..metrics import STATUS_LABELS, escape_label
from .borrowing import Ledger
from .cell_pools import CelledPools
from .migration_log import MigrationLog
from .model import CellMap
from .request_accounting import RequestAccounting
from .router import CellRouter

PREFIX = "larchhall_cell_"


class ReplyKey(NamedTuple):
    """By what the answers to requests are counted.

    Attributes:
        cell: The cell of the request.
        request_class: Its class.
        status: An index of `metrics.STATUSES`.
    """

    cell: str
    request_class: str
    status: int


class CellFamily(NamedTuple):
    """One metric with a time series for each cell.

    Attributes:
        name: Its name without the prefix.
        kind: Its Prometheus type.
        help_text: What it counts.
        values: Its value for each cell.
    """

    name: str
    kind: str
    help_text: str
    values: Mapping[str, float]


def _metric_head(name: str, kind: str, help_text: str) -> list[str]:
    """Return the two lines before a metric's values."""
    return [f"# HELP {PREFIX}{name} {help_text}", f"# TYPE {PREFIX}{name} {kind}"]


def _reply_lines(replies: Mapping[ReplyKey, int]) -> list[str]:
    """Return the lines of the counter of answers."""
    lines = _metric_head("replies_total", "counter", "Requests answered, by cell and class.")
    for (cell, request_class, status), count in sorted(replies.items()):
        lines.append(
            f'{PREFIX}replies_total{{cell="{escape_label(cell)}",type="{escape_label(request_class)}",'
            f'status="{STATUS_LABELS[status]}"}} {count}'
        )
    return lines


def _family_lines(family: CellFamily) -> list[str]:
    """Return the lines of a metric with a time series for each cell."""
    lines = _metric_head(family.name, family.kind, family.help_text)
    for cell, value in sorted(family.values.items()):
        lines.append(f'{PREFIX}{family.name}{{cell="{escape_label(cell)}"}} {value}')
    return lines


def _migration_lines(counts: Mapping[str, int]) -> list[str]:
    """Return the lines of the gauge of migrations by stage."""
    lines = _metric_head("moves", "gauge", "Moves on record, by stage.")
    for stage, count in sorted(counts.items()):
        lines.append(f'{PREFIX}moves{{stage="{stage}"}} {count}')
    return lines


def _single_lines(name: str, kind: str, help_text: str, value: int) -> list[str]:
    """Return the lines of a metric with one value."""
    return [*_metric_head(name, kind, help_text), f"{PREFIX}{name} {value}"]


class MetricsSource(Protocol):
    """The dispatcher, as far as the metrics need it."""

    map: CellMap
    migrations: MigrationLog
    replies: dict[ReplyKey, int]
    accounting: RequestAccounting
    cell_pools: CelledPools
    called_in: int

    @property
    def router(self) -> CellRouter:
        """The decisions of all cells."""


def render_cell_metrics(source: MetricsSource, now_ns: int) -> bytes:
    """Return the part of the metrics page that is about cells."""
    source.cell_pools.count_use()
    lines = _reply_lines(source.replies)
    for family in _ledger_families(source):
        lines += _family_lines(family)
    for family in _map_families(source, now_ns):
        lines += _family_lines(family)
    stages = Counter(move.stage.value for move in source.migrations.records.values())
    lines += _migration_lines(stages)
    lines += _single_lines(
        "called_in_total",
        "counter",
        "Requests on loan that were called in.",
        source.called_in,
    )
    lines += _single_lines("map_epoch", "gauge", "Epoch of the map in force.", source.map.epoch)
    return ("\n".join(lines) + "\n").encode()


def _ledger_families(source: MetricsSource) -> list[CellFamily]:
    """Return the metrics of what cells use, one time series for each account."""
    requests = source.accounting.requests
    borrowed = {cell: account.borrowed() for cell, account in requests.accounts.items()}
    return [
        CellFamily("open", "gauge", "Requests that hold a part of the room.", _used(requests)),
        CellFamily(
            "statement_bytes",
            "gauge",
            "Bytes of their statements.",
            _used(source.accounting.statements),
        ),
        CellFamily(
            "engine_connections",
            "gauge",
            "Connections to the cell's engines.",
            _used(source.cell_pools.ledger),
        ),
        CellFamily("lent", "gauge", "Requests beyond the cell's own part.", borrowed),
    ]


def _map_families(source: MetricsSource, now_ns: int) -> list[CellFamily]:
    """Return the metrics with one time series for each cell of the map."""
    names = [cell.name for cell in source.map.cells]
    fleets = {name: source.router.seats.fleet(name, now_ns) for name in names}
    ready = {name: fleet.ready_count for name, fleet in fleets.items()}
    cold = {name: fleet.warming_count for name, fleet in fleets.items()}
    rejected = {name: source.accounting.rejected.get(name, 0) for name in names}
    return [
        CellFamily("engines_ready", "gauge", "Engines that take new work.", ready),
        CellFamily("engines_cold", "gauge", "Those of them that are cold.", cold),
        CellFamily(
            "refused_for_room_total",
            "counter",
            "Requests refused since the cell's part was full.",
            rejected,
        ),
    ]


def _used(ledger: Ledger) -> dict[str, int]:
    return {cell: account.in_use for cell, account in ledger.accounts.items()}
