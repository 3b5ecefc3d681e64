"""What the parts of a dispatcher know of the dispatcher itself."""

from __future__ import annotations

from typing import Protocol

from ..config import Config
from ..decisions.facade import Event
from ..endpoints.connection_pools import ConnectionPools
from ..log import LogWriter
from .requests import ActiveRequest, Client


class DispatchContext(Protocol):
    """The dispatcher, as its parts see it.

    Events lead to orders and orders to further events, so that each part must reach the decisions
    again. This is the only way back from a part to the dispatcher. `pools` is there before the
    first event.
    """

    @property
    def config(self) -> Config:
        """The configuration in force."""

    @property
    def log(self) -> LogWriter:
        """Where log lines go: takes the kind of a line and its text."""

    @property
    def pools(self) -> ConnectionPools:
        """The connections to endpoints."""

    def report_event(self, event: Event) -> None:
        """Report an event to the decisions and carry out their orders."""

    def begin_answer(self, request: ActiveRequest, status: int) -> Client:
        """Take the client that gets its final answer now."""

    def release(self, request: ActiveRequest) -> None:
        """Forget the request if nothing of it is open any more."""
