"""The interface of the service that its parts depend on."""

from __future__ import annotations

from typing import Protocol


class ServiceHost(Protocol):
    """The service, as its parts see it."""

    def now_ns(self) -> int:
        """Return the present time."""

    def log(self, text: str) -> None:
        """Write a line to the log."""

    def carry_out(self, now_ns: int) -> None:
        """Carry out what the failure detector has decided: send, exchange tables, publish."""

    def leave(self) -> None:
        """Announce the leave of this process."""
