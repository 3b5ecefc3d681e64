"""The configuration that an operators' file declares. Performs no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from ..cells.model import CellMap
from ..deadlines.settings import DeadlineSettings, Logs
from ..membership.settings import MembershipSettings
from ..outlier_consensus.settings import OutlierConsensusSettings
from ..quotas.settings import QuotaSettings
from ..startup.settings import StartupSettings


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """The declarations of an operators' file; None for a part that the file does not declare.

    Attributes:
        cell_map: Cells and the tenants in them.
        deadlines: Deadlines and the retry budget.
        logs: Format of the log, and sampling of traces.
        startup: How a broker starts while its whole fleet starts.
        membership: How brokers find each other.
        quotas: Limits that brokers share.
        outlier_consensus: How brokers agree on outliers.
    """

    cell_map: CellMap | None = None
    deadlines: DeadlineSettings | None = None
    logs: Logs | None = None
    startup: StartupSettings | None = None
    membership: MembershipSettings | None = None
    quotas: QuotaSettings | None = None
    outlier_consensus: OutlierConsensusSettings | None = None
