"""The cancelled attempts of one connection to a data engine.

A cancelled attempt keeps its stream until the engine has answered it nevertheless, or has sent
nothing for it for long enough: an answer that crosses the cancellation must be recognised, so that
it can be dropped.
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
    """Sends cancellations, repeats unanswered ones, and recognises answers that cross them."""

    def __init__(self, observer: CancelObserver, writer: EngineWriter) -> None:
        """Start without cancellations; ``writer`` sends them."""
        self.observer = observer
        self.writer = writer
        self.pending = PendingCancels()

    def begin(self, request_id: bytes, now_ns: int) -> None:
        """Cancel the attempt with this request id."""
        self.pending.begin(request_id, now_ns)
        self.writer.send_cancel(now_ns, request_id)

    def check(self, now_ns: int) -> None:
        """Repeat unanswered cancellations, and report the attempts that count as stopped."""
        due = self.pending.check(now_ns)
        for request_id in due.to_resend:
            self.writer.send_command(now_ns, CANCEL, request_id)
        if due.stopped:
            self.observer.cancellations_ended(CancelOutcome.STOPPED, len(due.stopped))

    def handle_unmatched_answer(self, request_id: bytes) -> None:
        """Handle an answer to an attempt that is not in flight; it may have been cancelled."""
        outcome = self.pending.resolve_by_answer(request_id)
        if outcome is not None:
            self.observer.cancellations_ended(outcome, 1)

    def connection_ended(self) -> None:
        """Report as lost the cancellations that are unresolved when the connection ends."""
        lost_count = self.pending.clear()
        if lost_count:
            self.observer.cancellations_ended(CancelOutcome.CONNECTION_LOST, lost_count)
