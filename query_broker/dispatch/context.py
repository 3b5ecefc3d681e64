"""The interface of the dispatcher that its own parts use."""

from __future__ import annotations

from typing import Protocol

from ..config import Config
from ..decisions.facade import Event
from ..endpoints.connection_pools import ConnectionPools
from ..log import LogWriter
from ..metrics import ReplyStatus
from .requests import ActiveRequest, Client


class DispatchContext(Protocol):
    """The members of the dispatcher that its parts use.

    Events lead to orders and orders to further events, so each part must be able to report events
    to the decisions. A part has no other reference to the dispatcher. `pools` is set before the
    first event.
    """

    @property
    def config(self) -> Config:
        """The configuration in force."""

    @property
    def log(self) -> LogWriter:
        """The function that writes a log line, given the kind of the line and its text."""

    @property
    def pools(self) -> ConnectionPools:
        """The connections to endpoints."""

    def report_event(self, event: Event) -> None:
        """Report an event to the decisions and carry out their orders."""

    def begin_answer(self, request: ActiveRequest, status: ReplyStatus) -> Client:
        """Return the client, to which the caller must now give the final answer."""

    def release(self, request: ActiveRequest) -> None:
        """Remove the request from the table if it is answered and no attempt is open."""
