"""Accounting of open requests to cells: their number, their statements and what is called in.

Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from ..decisions.facade import Settings
from ..decisions.settings import Effect
from ..dispatch.requests import ActiveRequest
from .borrowing import Ledger

#: Bytes of the capacity for statements for each request that may be open: a broker with little
#: memory admits fewer of them.
STATEMENT_BYTES_PER_REQUEST = 4_096


class Charge(NamedTuple):
    """What an open request is charged to its cell.

    Attributes:
        cell: The cell.
        statement_bytes: The size of its statement.
        firm: Whether its work must not be cut short, since it may have been executed.
    """

    cell: str
    statement_bytes: int
    firm: bool


@dataclass(slots=True)
class RequestAccounting:
    """The ledgers of open requests.

    Attributes:
        requests: Open requests.
        statements: Bytes of their statements.
        charges: What each open request is charged, the oldest first.
        rejected: Requests that were rejected for lack of capacity, by cell.
        firm_classes: The request classes whose work must not be cut short.
    """

    requests: Ledger = field(default_factory=Ledger)
    statements: Ledger = field(default_factory=Ledger)
    charges: dict[str, Charge] = field(default_factory=dict)
    rejected: dict[str, int] = field(default_factory=dict)
    firm_classes: frozenset[str] = frozenset()

    def divide(self, statement_bytes: int, weights: Mapping[str, float]) -> None:
        """Set the capacity and the cells' quotas of it anew."""
        self.statements.divide(statement_bytes, weights)
        self.requests.divide(statement_bytes // STATEMENT_BYTES_PER_REQUEST, weights)

    def set_firm_classes(self, settings: Settings) -> None:
        """Take the classes whose work must not be cut short, since it may have been executed."""
        self.firm_classes = frozenset(
            request_class.name
            for request_class in settings.classes
            if request_class.effect is not Effect.IDEMPOTENT
        )

    def is_firm(self, request: ActiveRequest) -> bool:
        """Return whether the request's work must not be cut short."""
        return request.class_name.decode() in self.firm_classes

    def take(self, request_id: str, charge: Charge, now_ns: int) -> bool:
        """Charge a request to its cell; False where the cell has no capacity for it."""
        cell, statement_bytes, firm = charge
        if not self.requests.acquire(cell, 1, now_ns, firm):
            return False
        if not self.statements.acquire(cell, statement_bytes, now_ns, firm):
            self.requests.release(cell, 1, firm)
            return False
        self.charges[request_id] = charge
        return True

    def count_rejection(self, cell: str) -> None:
        """Count a request that the cell has no capacity for."""
        self.rejected[cell] = self.rejected.get(cell, 0) + 1

    def release(self, request_id: str) -> None:
        """Give back what a request is charged, if it still is."""
        charge = self.charges.pop(request_id, None)
        if charge is not None:
            self.requests.release(charge.cell, 1, charge.firm)
            self.statements.release(charge.cell, charge.statement_bytes, charge.firm)

    def youngest_borrowers(self, ledger: Ledger, cell: str, amount: int) -> list[str]:
        """Return the cell's youngest requests that may be called in, up to an amount.

        Args:
            ledger: `requests` or `statements`; it says what the amount counts.
            cell: The borrower.
            amount: How much it has to give back: requests or bytes.
        """
        called_in: list[str] = []
        for request_id, charge in reversed(self.charges.items()):
            if amount <= 0:
                break
            if charge.cell == cell and not charge.firm:
                called_in.append(request_id)
                amount -= 1 if ledger is self.requests else charge.statement_bytes
        return called_in
