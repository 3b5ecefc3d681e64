"""Collects the declarations of one script, and checks their consistency.

Performs no I/O, and is independent of Starlark.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from ..cells.model import Cell, CellMap, CellMapError, MigrationTimeouts, Tenant
from ..deadlines.retry_budget import ClassRate, RetryBudgetSettings
from ..deadlines.settings import DeadlineSettings, Logs
from ..membership.settings import MembershipSettings
from ..outlier_consensus.settings import OutlierConsensusSettings
from ..quotas.settings import LimitSettings, QuotaSettings
from ..startup.settings import StartupSettings
from .arguments import DirectiveError

#: Attributes of a cell whose values must not appear in another cell.
EXCLUSIVE_CELL_FIELDS = ("engines", "zones", "models")


@dataclass(slots=True)
class ConfigDraft:
    """The declarations of a script that is being evaluated.

    Attributes:
        call_count: Number of directive calls so far.
        epoch: Epoch of the cell map.
        default_cell: Cell of the tenants that the file does not name; empty if not declared.
        migration_timeouts: Time limits of the stages of a migration.
        cells: Cells by name, in the order of the file.
        tenants: Tenants by name, in the order of the file.
        declaring_calls: Number of the declaring call by directive and declared name; the name is
            empty for a directive that may be called only once.
        single_directives: The called directives that may be called only once.
        deadlines: Deadlines, without the retry budget.
        retry_budget: The retry budget, without those of single request classes.
        retry_budget_classes: Separate retry budgets by request class.
        logs: Format of the log, and sampling of traces.
        startup: How a broker starts while its whole fleet starts.
        membership: How brokers find each other.
        limits: Limits that brokers share, by name.
        quotas: How brokers share these limits.
        outlier_consensus: How brokers agree on outliers.
    """

    call_count: int = 0
    epoch: int = 0
    default_cell: str = ""
    migration_timeouts: MigrationTimeouts = field(default_factory=MigrationTimeouts)
    cells: dict[str, Cell] = field(default_factory=dict)
    tenants: dict[str, Tenant] = field(default_factory=dict)
    declaring_calls: dict[tuple[str, str], int] = field(default_factory=dict)
    single_directives: set[str] = field(default_factory=set)
    deadlines: DeadlineSettings | None = None
    retry_budget: RetryBudgetSettings | None = None
    retry_budget_classes: dict[str, ClassRate] = field(default_factory=dict)
    logs: Logs | None = None
    startup: StartupSettings | None = None
    membership: MembershipSettings | None = None
    limits: dict[str, LimitSettings] = field(default_factory=dict)
    quotas: QuotaSettings | None = None
    outlier_consensus: OutlierConsensusSettings | None = None

    def declare(self, directive: str, name: str, declared: Mapping[str, Any]) -> None:
        """Record the call that declares a name.

        Raises:
            DirectiveError: ``declared`` already has the name.
        """
        if name in declared:
            raise DirectiveError(f"{directive}.name", f"{name!r} is used twice")
        self.declaring_calls[directive, name] = self.call_count

    def declare_once(self, directive: str) -> None:
        """Record the call of a directive that a file may call only once.

        Raises:
            DirectiveError: The directive was called before.
        """
        if directive in self.single_directives:
            raise DirectiveError(directive, "is said twice")
        self.single_directives.add(directive)
        self.declaring_calls[directive, ""] = self.call_count

    def build_quotas(self) -> QuotaSettings | None:
        """Return the shared limits and the settings for sharing them; None without limits.

        Raises:
            DirectiveError: The file declares quotas or the consensus on outliers, but no
                ``members``.
        """
        declared_by_directive = {"limit": self.limits, "verdicts": self.outlier_consensus}
        for directive, declared in declared_by_directive.items():
            if declared and self.membership is None:
                raise DirectiveError(
                    directive,
                    "needs members(...): brokers that don't know each other share nothing",
                )
        if not self.limits:
            return None
        return replace(self.quotas or QuotaSettings(), limits=tuple(self.limits.values()))

    def build_deadlines(self) -> DeadlineSettings | None:
        """Return the deadlines with the retry budget; None if the file declares neither."""
        if self.deadlines is None and self.retry_budget is None:
            return None
        retry_budget = self.retry_budget
        if retry_budget is not None:
            class_rates = tuple(self.retry_budget_classes.values())
            retry_budget = replace(retry_budget, class_rates=class_rates)
        return replace(self.deadlines or DeadlineSettings(), retry_budget=retry_budget)

    def build_cell_map(self) -> CellMap | None:
        """Return the cell map; None if the file declares no cells.

        Raises:
            DirectiveError: The directives are inconsistent.
        """
        self._check_retry_budget_classes()
        if not self.cells:
            self._check_no_tenants()
            return None
        self._check_tenant_cells()
        default_cell = self._find_default_cell()
        self._check_exclusive_cell_fields()
        cells = tuple(self.cells.values())
        try:
            return CellMap(self.epoch, cells, default_cell, self.tenants, self.migration_timeouts)
        except CellMapError as error:
            key, _, problem = str(error).partition(": ")  # all its texts have this form
            raise DirectiveError(key, problem, self.call_count) from None

    def _check_retry_budget_classes(self) -> None:
        if self.retry_budget_classes and self.retry_budget is None:
            first = next(iter(self.retry_budget_classes))
            raise DirectiveError(
                "further_class",
                "needs further_attempts",
                self.declaring_calls["further_class", first],
            )

    def _check_no_tenants(self) -> None:
        if self.tenants:
            first = next(iter(self.tenants))
            raise DirectiveError(
                "tenant.cell", "the file names no cell", self.declaring_calls["tenant", first]
            )

    def _check_tenant_cells(self) -> None:
        for tenant in self.tenants.values():
            for cell in tenant.cells:
                if cell not in self.cells:
                    raise DirectiveError(
                        "tenant.cell",
                        f"{cell!r} of {tenant.name!r} is no cell",
                        self.declaring_calls["tenant", tenant.name],
                    )

    def _find_default_cell(self) -> str:
        default_cell = self.default_cell
        if not default_cell and len(self.cells) == 1:
            default_cell = next(iter(self.cells))
        if not default_cell:
            raise DirectiveError("default_cell", "is missing", self.call_count)
        if default_cell not in self.cells:
            raise DirectiveError(
                "default_cell",
                f"{default_cell!r} is no cell",
                self.declaring_calls["default_cell", ""],
            )
        return default_cell

    def _check_exclusive_cell_fields(self) -> None:
        owners: dict[tuple[str, str], str] = {}
        for cell in self.cells.values():
            for key in EXCLUSIVE_CELL_FIELDS:
                for value in getattr(cell, key):
                    owner = owners.setdefault((key, value), cell.name)
                    if owner != cell.name:
                        raise DirectiveError(
                            f"cell.{key}",
                            f"{value!r} is in {owner!r} already",
                            self.declaring_calls["cell", cell.name],
                        )
