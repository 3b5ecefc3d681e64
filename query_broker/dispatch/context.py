"""The interface of the dispatcher towards its own parts."""

from __future__ import annotations

from typing import Protocol

from ..config import Config
from ..decisions.facade import Event
from ..endpoints.connection_pools import ConnectionPools
from ..log import LogWriter
from ..metrics import ReplyStatus
from .requests import ActiveRequest, Client


class DispatchContext(Protocol):
    """The dispatcher, as its parts see it.

    Events lead to orders and orders to further events, so that each part must be able to report to
    the decisions. This is the only reference from a part to the dispatcher. `pools` is set before
    the first event.
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

    def begin_answer(self, request: ActiveRequest, status: ReplyStatus) -> Client:
        """Return the client, which the caller must now give the final answer."""

    def release(self, request: ActiveRequest) -> None:
        """Remove the request from the table if it is answered and no attempt is open."""
