"""The interfaces of a node that its parts depend on.

The parts depend on these protocols instead of the node class, which is composed of the parts.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Mapping
from typing import Any, Protocol

from ..config import Config
from ..dispatch.dispatcher import Dispatcher
from ..log import LogWriter
from ..protocols.client_connection import ClientConnection
from ..protocols.partial_frames import PartialFrameMemory
from ..timer_wheel import Clock
from .process_status import ProcessStatus


class PeerProcessRegistry(Protocol):
    """The other processes of this broker, and the exchange of status with them."""

    accepting: bool  # whether this process accepts new connections

    @property
    def others(self) -> Collection[str]:
        """The names of the other processes that are alive."""

    def poll(self) -> None:
        """Read the status of each other process and apply what has changed."""

    def has_successor(self) -> bool:
        """Return whether another process accepts new connections."""

    def publish_status(self) -> None:
        """Publish the current status of this process."""


class ServiceContext(Protocol):
    """The part of a node that services need, independent of its dispatcher."""

    @property
    def config(self) -> Config:
        """The configuration in force."""

    @property
    def clock(self) -> Clock:
        """The clock of all parts, in Unix nanoseconds."""

    @property
    def log(self) -> LogWriter:
        """Writes a line of a kind; the lines of each kind are rate-limited."""


class NodeContext(ServiceContext, Protocol):
    """The part of a node that its own parts and the subsystems need."""

    closing_announced: bool  # whether clients have been asked to leave; the node is then not ready
    endpoint_list_known: bool  # whether the settings or the service have provided a list

    @property
    def dispatcher(self) -> Dispatcher:
        """Carries requests to the endpoints; owns the timer wheel."""

    @property
    def clients(self) -> Collection[ClientConnection]:
        """The client connections that have been admitted."""

    @property
    def partial_frames(self) -> PartialFrameMemory:
        """The memory of client frames that are not complete yet."""

    @property
    def partial_frame_bytes(self) -> int:
        """Bytes of client frames that are not complete yet."""

    @property
    def server(self) -> asyncio.Server | None:
        """The clients' server, once it listens."""

    @property
    def peer_processes(self) -> PeerProcessRegistry | None:
        """The other processes of this broker; None unless the clients' socket is inherited."""

    def ready(self) -> bool:
        """Return whether clients should send their requests here."""

    def earliest_signal_ns(self, now_ns: int) -> int:
        """Return the earliest time at which a signal that is handled now may have come."""

    def stop(self) -> None:
        """Release all resources; ``run`` returns."""

    def apply_peer_statuses(self, others: Collection[ProcessStatus]) -> None:
        """Divide the broker's limits with these other processes."""

    def status_extension(self) -> Mapping[str, Any]:
        """Return the keys that subsystems add to the status file, as plain JSON values."""
