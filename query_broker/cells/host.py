"""The interface of a node with cells to its parts.

The parts depend on this protocol instead of the node, which is composed of them.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from ..log import LogWriter
from ..server.host import PeerProcessRegistry
from ..timer_wheel import Clock
from .cell_status import PeerCellStatus
from .dispatcher import CellDispatcher
from .model import CellMap


class CellHost(Protocol):
    """The part of the node that its migrations and its admin calls use."""

    closing_announced: bool  # clients were told that this process shuts down

    @property
    def map(self) -> CellMap:
        """The cell map in force."""

    @property
    def digest(self) -> str:
        """The digest of the cell map in force."""

    @property
    def peers(self) -> Mapping[str, PeerCellStatus]:
        """The status of the other processes of this broker, by their names."""

    @property
    def peer_processes(self) -> PeerProcessRegistry | None:
        """The other processes of this broker, where the clients' socket is inherited."""

    @property
    def celled(self) -> CellDispatcher:
        """The dispatcher."""

    @property
    def clock(self) -> Clock:
        """The clock of all parts, in Unix nanoseconds."""

    @property
    def log(self) -> LogWriter:
        """The function that writes a log line of a kind and a text."""
