"""Accounts open requests and their statements to cells, and selects those to call in.

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

#: The bytes of statement capacity per open request. The limit on open requests follows from it, so
#: that a broker with little memory admits fewer.
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
        requests: The ledger of the number of open requests.
        statements: The ledger of the bytes of their statements.
        charges: The charge of each open request by its id, the oldest first.
        rejection_counts: How many requests were rejected for lack of capacity, by cell.
        firm_classes: The request classes whose work must not be cut short.
    """

    requests: Ledger = field(default_factory=Ledger)
    statements: Ledger = field(default_factory=Ledger)
    charges: dict[str, Charge] = field(default_factory=dict)
    rejection_counts: dict[str, int] = field(default_factory=dict)
    firm_classes: frozenset[str] = frozenset()

    def divide(self, statement_bytes: int, weights: Mapping[str, float]) -> None:
        """Replace the capacity and divide it into the cells' quotas."""
        self.statements.divide(statement_bytes, weights)
        self.requests.divide(statement_bytes // STATEMENT_BYTES_PER_REQUEST, weights)

    def set_firm_classes(self, settings: Settings) -> None:
        """Set the classes whose work must not be cut short, since they may have been executed."""
        self.firm_classes = frozenset(
            request_class.name
            for request_class in settings.classes
            if request_class.effect is not Effect.IDEMPOTENT
        )

    def is_firm(self, request: ActiveRequest) -> bool:
        """Return whether the request's work must not be cut short."""
        return request.class_name.decode() in self.firm_classes

    def charge_request(self, request_id: str, charge: Charge, now_ns: int) -> bool:
        """Charge a request to its cell; return False if the cell has no capacity for it."""
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
        self.rejection_counts[cell] = self.rejection_counts.get(cell, 0) + 1

    def release(self, request_id: str) -> None:
        """Release the charge of a request, if it still has one."""
        charge = self.charges.pop(request_id, None)
        if charge is not None:
            self.requests.release(charge.cell, 1, charge.firm)
            self.statements.release(charge.cell, charge.statement_bytes, charge.firm)

    def youngest_borrowers(self, ledger: Ledger, cell: str, amount: int) -> list[str]:
        """Return the cell's most recent requests that may be called in, up to an amount.

        Args:
            ledger: `requests` or `statements`; the unit of the amount is requests or bytes.
            cell: The cell that has borrowed.
            amount: How much the cell has to give back.
        """
        called_in: list[str] = []
        for request_id, charge in reversed(self.charges.items()):
            if amount <= 0:
                break
            if charge.cell == cell and not charge.firm:
                called_in.append(request_id)
                amount -= 1 if ledger is self.requests else charge.statement_bytes
        return called_in
