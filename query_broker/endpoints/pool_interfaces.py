"""The callables that connection pools need from the dispatcher and from other services.

Each protocol is satisfied by a function or a bound method.
"""

from __future__ import annotations

from typing import Protocol

from ..deadlines.handover_checks import HandOver
from ..decisions.facade import AttemptResult
from ..dispatch.requests import Attempt


class UnsentObserver(Protocol):
    """Is notified of attempts that end before any byte of them has been sent."""

    def __call__(self, attempt: Attempt, result: AttemptResult, /) -> None:
        """End the attempt with this result; its endpoint never ran it."""


class HandOverPolicy(Protocol):
    """Decides at a hand-over whether an attempt is still wanted."""

    def __call__(self, attempt: Attempt, hand_over: HandOver, /) -> bool:
        """Return whether the attempt may go on; if not, its end has been or will be reported."""


class ConnectPacing(Protocol):
    """Spreads the connects of many brokers to one endpoint over time."""

    def connect_delay_ns(self, endpoint: int, /) -> int:
        """Return the delay in nanoseconds before the next connect to this endpoint."""
