"""Interface of the membership service for its parts."""

from __future__ import annotations

from typing import Protocol


class ServiceHost(Protocol):
    """The operations of the membership service that its parts call."""

    def now_ns(self) -> int:
        """Return the current time."""

    def log(self, text: str) -> None:
        """Write a line to the log."""

    def carry_out(self, now_ns: int) -> None:
        """Carry out the failure detector's results: send, exchange tables, publish."""

    def leave(self) -> None:
        """Announce the leave of this process."""
