"""The cancelled attempts of one connection to a data engine.

A cancelled attempt holds its stream until the engine has answered it all the same, or has sent
nothing about it for long enough: an answer that crosses the cancellation must be recognised, so
that it can be dropped.
"""

from __future__ import annotations

from typing import Protocol

from ..deadlines.cancel_scopes import CancelOutcome, PendingCancels
from .engine_messages import CANCEL
from .engine_writer import EngineWriter


class CancelObserver(Protocol):
    """Is notified of the outcomes of cancellations."""

    def cancellations_ended(self, outcome: CancelOutcome, count: int) -> None:
        """Count cancellations that have had this outcome."""


class EngineCancellations:
    """Sends cancellations, repeats unanswered ones, and recognises the answers that cross them."""

    def __init__(self, observer: CancelObserver, writer: EngineWriter) -> None:
        """Begin without cancellations; ``writer`` sends them."""
        self.observer = observer
        self.writer = writer
        self.pending = PendingCancels()

    def begin(self, request_id: bytes, now_ns: int) -> None:
        """Cancel the attempt under this id."""
        self.pending.begin(request_id, now_ns)
        self.writer.send_cancel(now_ns, request_id)

    def check(self, now_ns: int) -> None:
        """Repeat unanswered cancellations, and report the attempts that count as stopped."""
        found = self.pending.check(now_ns)
        for request_id in found.to_resend:
            self.writer.send_command(now_ns, CANCEL, request_id)
        if found.stopped:
            self.observer.cancellations_ended(CancelOutcome.STOPPED, len(found.stopped))

    def answered(self, request_id: bytes) -> None:
        """Handle an answer to no attempt in flight: it may be that of a cancelled one."""
        outcome = self.pending.resolve_by_answer(request_id)
        if outcome is not None:
            self.observer.cancellations_ended(outcome, 1)

    def connection_ended(self) -> None:
        """Report the attempts that had not stopped when the connection ended as lost."""
        lost = self.pending.clear()
        if lost:
            self.observer.cancellations_ended(CancelOutcome.CONNECTION_LOST, lost)
