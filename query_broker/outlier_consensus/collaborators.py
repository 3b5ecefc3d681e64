"""What the service of the consensus on outliers needs of the node and of the dispatcher.

Protocols only: the node and the dispatcher satisfy them by their shape.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..decisions.facade import Ban, Result
from ..endpoints.administrative_state import Bans, Word
from ..endpoints.endpoint_table import EngineTable
from ..quotas.collaborators import ServiceHost
from ..timer_wheel import Wheel


class ConsensusDispatcher(Protocol):
    """What the consensus on outliers uses of the dispatcher."""

    outcome: Callable[[int, Result], None] | None
    witness: list[Callable[[int, Result], None]]
    said: Callable[[str, bool], None] | None
    more_figures: list[Callable[[], bytes]]
    engines: EngineTable
    bans: Bans
    wheel: Wheel

    def tell(self, event: Ban, /) -> None:
        """Let the decisions eject or readmit an endpoint."""

    def probe(self, endpoint: int, /) -> None:
        """Send a health check to an endpoint."""

    def take_word(self, uid: str, state: Word, /) -> None:
        """Disable or enable an endpoint administratively."""


class ConsensusHost(ServiceHost, Protocol):
    """The node as `OutlierConsensusService` sees it."""

    @property
    def broker(self) -> ConsensusDispatcher:
        """The dispatcher."""
