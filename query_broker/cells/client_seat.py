"""The seat of a client connection: the cell whose quota of descriptors it counts against."""

from __future__ import annotations

from abc import ABC, abstractmethod

#: The cell of connections that have not sent a request yet; no cell of a map has this name.
UNASSIGNED = ""


class SeatedClient(ABC):
    """A client whose connection is accounted to a cell."""

    @abstractmethod
    def settle(self, cell: str) -> bool:
        """Account the connection to this cell; False where the cell has no capacity for it."""
