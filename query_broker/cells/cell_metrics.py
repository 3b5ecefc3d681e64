"""Metrics of cells, in the text format of Prometheus. Performs no I/O.

Dashboards depend on the names, labels and help texts, which therefore keep older terms.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple, Protocol

from ..metrics import STATUS_LABELS, escape_label
from ..prometheus_text import metric_header, metrics_page, single_metric
from .borrowing import Ledger
from .cell_pools import CellConnectionPools
from .migration_log import MigrationLog
from .model import CellMap
from .request_accounting import RequestAccounting
from .router import CellRouter

PREFIX = "larchhall_cell_"


class ReplyKey(NamedTuple):
    """The key by which answers are counted.

    Attributes:
        cell: The cell of the request.
        request_class: The class of the request.
        status: The status of the answer, a `metrics.ReplyStatus`.
    """

    cell: str
    request_class: str
    status: int


class CellFamily(NamedTuple):
    """A metric with a time series for each cell.

    Attributes:
        name: The name without the prefix.
        kind: The Prometheus type.
        help_text: The help text.
        values: The value of each cell.
    """

    name: str
    kind: str
    help_text: str
    values: Mapping[str, float]


def _reply_lines(replies: Mapping[ReplyKey, int]) -> list[str]:
    """Return the lines of the counter of answers."""
    lines = metric_header(
        f"{PREFIX}replies_total", "Requests answered, by cell and class.", "counter"
    )
    for (cell, request_class, status), count in sorted(replies.items()):
        lines.append(
            f'{PREFIX}replies_total{{cell="{escape_label(cell)}",type="{escape_label(request_class)}",'
            f'status="{STATUS_LABELS[status]}"}} {count}'
        )
    return lines


def _family_lines(family: CellFamily) -> list[str]:
    """Return the lines of a metric with a time series for each cell."""
    lines = metric_header(f"{PREFIX}{family.name}", family.help_text, family.kind)
    for cell, value in sorted(family.values.items()):
        lines.append(f'{PREFIX}{family.name}{{cell="{escape_label(cell)}"}} {value}')
    return lines


def _migration_lines(counts: Mapping[str, int]) -> list[str]:
    """Return the lines of the gauge of migrations by stage."""
    lines = metric_header(f"{PREFIX}moves", "Moves on record, by stage.", "gauge")
    for stage, count in sorted(counts.items()):
        lines.append(f'{PREFIX}moves{{stage="{stage}"}} {count}')
    return lines


class MetricsSource(Protocol):
    """The part of the dispatcher that the metrics use."""

    map: CellMap
    migrations: MigrationLog
    replies: dict[ReplyKey, int]
    accounting: RequestAccounting
    cell_pools: CellConnectionPools
    called_in_count: int

    @property
    def router(self) -> CellRouter:
        """The decisions of all cells."""


def render_cell_metrics(source: MetricsSource, now_ns: int) -> bytes:
    """Return the cells' part of the metrics page."""
    source.cell_pools.count_use()
    lines = _reply_lines(source.replies)
    for family in _ledger_families(source):
        lines += _family_lines(family)
    for family in _map_families(source, now_ns):
        lines += _family_lines(family)
    stage_counts = Counter(
        migration.stage.value for migration in source.migrations.records.values()
    )
    lines += _migration_lines(stage_counts)
    lines += single_metric(
        f"{PREFIX}called_in_total",
        "Requests on loan that were called in.",
        "counter",
        source.called_in_count,
    )
    lines += single_metric(
        f"{PREFIX}map_epoch", "Epoch of the map in force.", "gauge", source.map.epoch
    )
    return metrics_page(lines)


def _ledger_families(source: MetricsSource) -> list[CellFamily]:
    """Return the metrics of amounts in use, with one time series for each account."""
    requests = source.accounting.requests
    borrowed = {cell: account.borrowed_amount() for cell, account in requests.accounts.items()}
    return [
        CellFamily(
            "open", "gauge", "Requests that hold a part of the room.", _amounts_in_use(requests)
        ),
        CellFamily(
            "statement_bytes",
            "gauge",
            "Bytes of their statements.",
            _amounts_in_use(source.accounting.statements),
        ),
        CellFamily(
            "engine_connections",
            "gauge",
            "Connections to the cell's engines.",
            _amounts_in_use(source.cell_pools.ledger),
        ),
        CellFamily("lent", "gauge", "Requests beyond the cell's own part.", borrowed),
    ]


def _map_families(source: MetricsSource, now_ns: int) -> list[CellFamily]:
    """Return the metrics with one time series for each cell of the map."""
    names = [cell.name for cell in source.map.cells]
    fleets = {name: source.router.seats.fleet(name, now_ns) for name in names}
    ready = {name: fleet.ready_count for name, fleet in fleets.items()}
    warming = {name: fleet.warming_count for name, fleet in fleets.items()}
    rejected = {name: source.accounting.rejection_counts.get(name, 0) for name in names}
    return [
        CellFamily("engines_ready", "gauge", "Engines that take new work.", ready),
        CellFamily("engines_cold", "gauge", "Those of them that are cold.", warming),
        CellFamily(
            "refused_for_room_total",
            "counter",
            "Requests refused since the cell's part was full.",
            rejected,
        ),
    ]


def _amounts_in_use(ledger: Ledger) -> dict[str, int]:
    return {cell: account.in_use for cell, account in ledger.accounts.items()}
