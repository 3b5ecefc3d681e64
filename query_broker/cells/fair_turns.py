"""Deficit round robin over the cells, by the event-loop time that each has used.

After M. Shreedhar and G. Varghese, "Efficient Fair Queueing using Deficit Round Robin", 1995. A
cell that is the only active one may use the complete round. A cell that competes with others gets
its quantum, and what it uses beyond that is carried over as debt. Performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping

#: The maximum debt that is carried over, in quanta, so that a single large read does not block a
#: cell for many rounds.
MAX_CARRIED_DEBT_QUANTA = 4.0


class DeficitRoundRobin:
    """The balances of all cells in the current round.

    Attributes:
        round_cost: The cost that all cells together may use in a round, in the unit of `charge`.
        quantum_by_cell: The credit that each cell gets per round.
        balance_by_cell: The cost that each cell may still use; a negative balance is debt.
        active_cells: The cells that were charged in this round.
    """

    def __init__(self, weights: Mapping[str, float], round_cost: float) -> None:
        """Start a round with these cells and their weights."""
        self.round_cost = round_cost
        self.quantum_by_cell: dict[str, float] = {}
        self.balance_by_cell: dict[str, float] = {}
        self.active_cells: set[str] = set()
        self.set_weights(weights)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the cells and their weights; a cell that stays keeps its balance."""
        total = sum(weights.values()) or 1.0
        quanta = {name: self.round_cost * weight / total for name, weight in weights.items()}
        balances = self.balance_by_cell
        self.quantum_by_cell = quanta
        self.balance_by_cell = {
            name: balances.get(name, quantum) for name, quantum in quanta.items()
        }

    def may_proceed(self, name: str) -> bool:
        """Return whether the cell may use more of this round.

        While no other cell is active, waiting would help no one, so the only active cell may use
        the cost of the complete round.
        """
        balance = self.balance_by_cell.get(name, 0.0)
        if balance > 0:
            return True
        is_only_active = self.active_cells <= {name}
        return is_only_active and balance > self.quantum_by_cell.get(name, 0.0) - self.round_cost

    def charge(self, name: str, cost: float) -> None:
        """Charge a cost to a cell; ignored if the cell is unknown."""
        if name in self.balance_by_cell:
            self.balance_by_cell[name] -= cost
            self.active_cells.add(name)

    def begin_round(self) -> None:
        """Begin a new round: each cell is credited with its quantum."""
        contended = len(self.active_cells) > 1
        for name, quantum in self.quantum_by_cell.items():
            # Debt from a round with a single active cell delayed no other cell and is cancelled;
            # debt from a contended round is carried over.
            min_balance = -MAX_CARRIED_DEBT_QUANTA * quantum if contended else 0.0
            carried = max(self.balance_by_cell[name], min_balance)
            self.balance_by_cell[name] = min(quantum, carried + quantum)
        self.active_cells.clear()
