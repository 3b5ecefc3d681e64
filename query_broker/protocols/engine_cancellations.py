"""The cancelled attempts of one connection to a data engine.

A cancelled attempt holds its stream until the engine has been silent about it for long enough, or
has answered it all the same: an answer that crosses the cancellation must be known, so that it can
be dropped.
"""

from __future__ import annotations

from typing import Protocol

from ..deadlines.cancel_scopes import CancelOutcome, PendingCancels
from .engine_messages import CANCEL
from .engine_writer import EngineWriter


class CancelObserver(Protocol):
    """Who is notified of what became of cancelled attempts."""

    def cancellations_ended(self, outcome: CancelOutcome, count: int) -> None:
        """Take note that so many cancellations have had this outcome."""


class EngineCancellations:
    """Sends cancellations, repeats those that nothing answers, and knows what crosses them."""

    def __init__(self, observer: CancelObserver, writer: EngineWriter) -> None:
        """Take whom to notify, and where cancellations are written."""
        self.observer = observer
        self.writer = writer
        self.pending = PendingCancels()

    def begin(self, request_id: bytes, now: int) -> None:
        """Cancel the attempt under this id."""
        self.pending.begin(request_id, now)
        self.writer.send_cancel(now, request_id)

    def check(self, now: int) -> None:
        """Repeat what may not have been heard, and report what counts as stopped."""
        found = self.pending.check(now)
        for request_id in found.to_resend:
            self.writer.send_command(now, CANCEL, request_id)
        if found.stopped:
            self.observer.cancellations_ended(CancelOutcome.STOPPED, len(found.stopped))

    def answered(self, request_id: bytes) -> None:
        """Take note of an answer to no attempt that is in flight: it may be a cancelled one's."""
        outcome = self.pending.resolve_by_answer(request_id)
        if outcome is not None:
            self.observer.cancellations_ended(outcome, 1)

    def connection_ended(self) -> None:
        """Report those that were not known to have stopped."""
        lost = self.pending.clear()
        if lost:
            self.observer.cancellations_ended(CancelOutcome.CONNECTION_LOST, lost)
