"""What the service of the consensus on outliers needs of the node and of the dispatcher.

Protocols only: the node and the dispatcher satisfy them by their shape.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..decisions.facade import AdministrativeChange, AttemptResult
from ..endpoints.administrative_state import AdministrativeState, AdministrativeStates
from ..endpoints.endpoint_table import EndpointTable
from ..quotas.collaborators import ServiceHost
from ..timer_wheel import TimerWheel


class ConsensusDispatcher(Protocol):
    """What the consensus on outliers uses of the dispatcher."""

    outcome: Callable[[int, AttemptResult], None] | None
    witness: list[Callable[[int, AttemptResult], None]]
    said: Callable[[str, bool], None] | None
    more_figures: list[Callable[[], bytes]]
    endpoint_table: EndpointTable
    administrative_states: AdministrativeStates
    wheel: TimerWheel

    def report_event(self, event: AdministrativeChange, /) -> None:
        """Let the decisions eject or readmit an endpoint."""

    def probe(self, endpoint: int, /) -> None:
        """Send a health check to an endpoint."""

    def apply_administrative_state(self, uid: str, state: AdministrativeState, /) -> None:
        """Disable or enable an endpoint administratively."""


class ConsensusHost(ServiceHost, Protocol):
    """The node as `OutlierConsensusService` sees it."""

    @property
    def dispatcher(self) -> ConsensusDispatcher:
        """The dispatcher."""
