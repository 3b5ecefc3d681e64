"""What the service of the consensus on outliers needs of the node and of the dispatcher.

Protocols only: the node and the dispatcher satisfy them by their shape.
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
    """What the consensus on outliers uses of the dispatcher."""

    extensions: DispatchExtensions
    endpoint_table: EndpointTable
    administrative_states: AdministrativeStates
    timer_wheel: TimerWheel

    @property
    def health_checks(self) -> HealthChecks:
        """Starts health checks."""

    def report_event(self, event: AdministrativeChange, /) -> None:
        """Let the decisions eject or readmit an endpoint."""

    def add_observer(self, observer: DispatchObserver, /) -> None:
        """Register an observer of attempts, health checks and administrative changes."""

    def apply_administrative_state(self, uid: str, state: AdministrativeState, /) -> None:
        """Disable or enable an endpoint administratively."""


class ConsensusHost(ServiceContext, Protocol):
    """The node as `OutlierConsensusService` sees it."""

    @property
    def dispatcher(self) -> ConsensusDispatcher:
        """The dispatcher."""
