"""Interfaces of the node and the dispatcher that the service of the consensus on outliers uses.

The node and the dispatcher implement these protocols structurally.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..decisions.facade import AdministrativeChange
from ..endpoints.administrative_state import AdministrativeState, AdministrativeStates
from ..endpoints.endpoint_table import EndpointTable
from ..server.host import ServiceContext
from ..timer_wheel import TimerWheel

if TYPE_CHECKING:
    from ..dispatch.observers import DispatchExtensions, DispatchObserver


class HealthChecks(Protocol):
    """Starts health checks of endpoints."""

    def start(self, now_ns: int, endpoint: int, /) -> None:
        """Send a health check to an endpoint."""


class ConsensusDispatcher(Protocol):
    """The parts of the dispatcher that the consensus on outliers uses."""

    extensions: DispatchExtensions
    endpoint_table: EndpointTable
    administrative_states: AdministrativeStates
    timer_wheel: TimerWheel

    @property
    def health_checks(self) -> HealthChecks:
        """The health checks of endpoints."""

    def report_event(self, event: AdministrativeChange, /) -> None:
        """Report an ejection or readmission of an endpoint to the decisions."""

    def add_observer(self, observer: DispatchObserver, /) -> None:
        """Register an observer of attempts, health checks and administrative changes."""

    def apply_administrative_state(self, uid: str, state: AdministrativeState, /) -> None:
        """Disable or enable an endpoint administratively."""


class ConsensusHost(ServiceContext, Protocol):
    """The node as `OutlierConsensusService` sees it."""

    @property
    def dispatcher(self) -> ConsensusDispatcher:
        """The dispatcher."""
