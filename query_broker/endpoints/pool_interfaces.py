"""What the connection pools ask of the dispatcher and of the services around it.

Each of these protocols is a call: bound methods satisfy them.
"""

from __future__ import annotations

from typing import Protocol

from ..deadlines.handover_checks import HandOver
from ..decisions.facade import AttemptResult
from ..dispatch.requests import Attempt


class UnsentObserver(Protocol):
    """Is notified of attempts that end before any byte of them has left."""

    def __call__(self, attempt: Attempt, result: AttemptResult, /) -> None:
        """End the attempt with this result; its endpoint never ran it."""


class HandOverGate(Protocol):
    """Decides whether an attempt is still wanted as it is handed on."""

    def __call__(self, attempt: Attempt, hand_over: HandOver, /) -> bool:
        """Return whether it may go on; where not, the gate has seen to its report."""


class ConnectPacing(Protocol):
    """Spreads the connects of many brokers to one endpoint over time."""

    def __call__(self, endpoint: int, /) -> int:
        """Return the nanoseconds that the next connect to this endpoint has to wait."""
