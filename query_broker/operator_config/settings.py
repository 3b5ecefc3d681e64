"""What an operators' file declares, as the broker uses it. Performs no I/O."""

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
    """What the operators' file declares; a part that it does not mention is None.

    Attributes:
        cell_map: Cells and the tenants in them.
        deadlines: Deadlines and the retry budget.
        logs: Format of the log, and sampling of traces.
        startup: How a broker starts in a fleet that starts.
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
