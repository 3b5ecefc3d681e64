"""The cell of a client connection, whose quota of descriptors the connection counts against."""

from __future__ import annotations

from abc import ABC, abstractmethod

#: The cell name of connections that have not sent a request yet; no cell of a map is called so.
UNASSIGNED = ""


class CellClient(ABC):
    """A client whose connection is accounted to a cell."""

    @abstractmethod
    def assign_to_cell(self, cell: str) -> bool:
        """Account the connection to this cell; return False if the cell has no capacity for it."""
